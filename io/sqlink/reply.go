package sqlink

import (
	"io"
	"net/http"
)

// Response is a response whose body has not been read yet.
type Response struct {
	pool       *Pool
	endpoint   string
	stopCancel func() bool
	conn       *conn
	res        *http.Response
	owner      Owner
	// writeResult receives the result of writing the request.
	writeResult chan error
	complete    bool
	closed      bool
}

// Status returns the status code.
func (r *Response) Status() int { return r.res.StatusCode }

// Header returns the headers.
func (r *Response) Header() http.Header { return r.res.Header }

// Length returns the length of the body in bytes, or -1 if the headers do not give it.
func (r *Response) Length() int64 { return r.res.ContentLength }

// Framing returns how the end of the body is marked.
func (r *Response) Framing() Framing {
	switch {
	case r.res.ContentLength >= 0:
		return LengthFraming
	case len(r.res.TransferEncoding) > 0:
		return ChunkedFraming
	default:
		return CloseFraming
	}
}

// Read implements io.Reader. It returns io.EOF only after the whole body; any other
// error means that the response is incomplete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.res.Body.Read(b)
	if err == io.EOF {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, r.conn.endpointError("the answer broke off", err)
	}
	return n, nil
}

// Close ends the call. The connection returns to the pool if the whole response was
// read, no bytes follow it, and it names its request: on a reused connection, only such
// responses can be told from earlier ones.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	notCanceled := r.stopCancel()
	if !notCanceled || !r.reusable() {
		r.pool.discard(r.endpoint, r.conn)
		return
	}
	r.conn.idleTimeout = idleTimeout(r.res.Header)
	r.pool.putIdle(r.endpoint, r.conn)
}

func (r *Response) reusable() bool {
	if !r.complete || r.res.Close || r.conn.br.Buffered() > 0 || r.owner != OwnerThis {
		return false
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		// The endpoint responded before it read the whole request.
		return false
	}
}
