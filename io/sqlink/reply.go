package sqlink

import (
	"io"
	"net/http"
)

// Response is an answer whose body is still to be read.
type Response struct {
	pool     *Pool
	endpoint string
	stop     func() bool
	conn     *conn
	res      *http.Response
	// written gets the outcome of writing the request.
	written chan error
	whole   bool
	closed  bool
}

// Status returns the status code.
func (r *Response) Status() int { return r.res.StatusCode }

// Header returns the headers.
func (r *Response) Header() http.Header { return r.res.Header }

// Length returns the length of the body, or -1 if the head does not tell it.
func (r *Response) Length() int64 { return r.res.ContentLength }

// Read implements io.Reader. It gives io.EOF only after the whole body; an
// error of any other kind means that the answer broke off.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.res.Body.Read(b)
	if err == io.EOF {
		r.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, r.conn.failed("the answer broke off", err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept for the next call if the whole
// answer was read and nothing follows it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	uninterrupted := r.stop()
	if !uninterrupted || !r.reusable() {
		r.pool.drop(r.endpoint, r.conn)
		return
	}
	r.conn.idleFor = keepAlive(r.res.Header)
	r.pool.keep(r.endpoint, r.conn)
}

func (r *Response) reusable() bool {
	if !r.whole || r.res.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		// The endpoint answered before it read the whole request.
		return false
	}
}
