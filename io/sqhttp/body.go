package sqhttp

import (
	"errors"
	"io"
	"net/http"

	"sequoiadock/core/sqerror"
)

const (
	// minBodyBytes is the first buffer for a body of unknown length. Up to
	// wholeBodyBytes, a buffer for the announced length is allocated at once; longer
	// ones grow by bodyGrowth, so that callers hold little more than they have sent.
	minBodyBytes   = 4 << 10
	wholeBodyBytes = 64 << 10
	bodyGrowth     = 4
	// maxCountedRead is the most that countedBody reserves before one read.
	maxCountedRead = 32 << 10
	// maxBodyPercent is how long a body may be, in percent of what the connection may hold:
	// while its buffer grows, the one before it is held too.
	maxBodyPercent = 70
)

// noMemory returns the error of a body for which there is no memory.
func noMemory() error {
	return sqerror.New(sqerror.Config{Kind: sqerror.Overloaded, Execution: sqerror.NotRun, Detail: "no memory for the body"})
}

// ReadBody reads the whole body of a request into memory, which is reserved first and
// released when the request ends, or with an error. Its errors are *http.MaxBytesError after limit bytes, one
// of kind Overloaded if there is no memory, and those of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (content []byte, err error) {
	account := AccountOf(r)
	if share := account.Share(); share > 0 {
		limit = min(limit, share*maxBodyPercent/100)
	}
	body := LimitBody(w, r.Body, limit)
	account.SetReceiving(true)
	defer account.SetReceiving(false)
	if r.ContentLength > limit {
		// The limit is reached before the end, unless the connection fails.
		_, err := io.Copy(io.Discard, body)
		return nil, err
	}
	announced := r.ContentLength
	end := announced
	if announced < 0 {
		// One more byte than the limit shows whether more follow.
		end = limit + 1
	}
	var buf []byte
	defer func() {
		if err != nil {
			account.Release(int64(cap(buf)))
		}
	}()
	for size := firstBodyBytes(announced); ; size = min(nextBodyBytes(size), end) {
		if !account.Reserve(size) {
			refuseBody(r)
			return nil, noMemory()
		}
		grown := make([]byte, len(buf), size)
		copy(grown, buf)
		account.Release(int64(cap(buf)))
		buf = grown
		n, readErr := readFull(body, buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(readErr, io.EOF):
			return buf, nil
		case readErr != nil:
			return nil, readErr
		case int64(len(buf)) == announced:
			return buf, nil
		}
	}
}

// firstBodyBytes returns the size of the first buffer; announced is negative if the length
// of the body is unknown.
func firstBodyBytes(announced int64) int64 {
	if announced < 0 {
		return minBodyBytes
	}
	return min(announced, wholeBodyBytes)
}

func nextBodyBytes(size int64) int64 { return size * bodyGrowth }

// readFull reads until buf is full or an error occurs. Unlike io.ReadFull it returns the
// errors of r, io.EOF among them, as they are.
func readFull(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}

// refuseBody reports that there was no memory for the body of a request.
func refuseBody(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.server.report(c.server.refusedRequests, c.RemoteAddr(), "no memory for a body")
	}
}

// maxBodyBytes returns the longest body that a handler of the server may read.
func (s *Server) maxBodyBytes() int64 {
	return (s.share-requestBytes)/int64(s.cfg.BodyCost) - maxCountedRead
}

// countedBody reserves the memory of a body that a handler reads as a whole, before each
// read. It is released when the request ends.
type countedBody struct {
	io.ReadCloser
	conn *conn
	left int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	cost := int64(b.conn.server.cfg.BodyCost)
	p = p[:min(len(p), maxCountedRead)]
	account := b.conn.account
	if b.left <= 0 || !account.Reserve(int64(len(p))*cost) {
		b.conn.server.report(b.conn.server.refusedRequests, b.conn.RemoteAddr(), "no memory for a body")
		return 0, noMemory()
	}
	account.SetReceiving(true)
	n, err := b.ReadCloser.Read(p)
	account.SetReceiving(false)
	account.Release(int64(len(p)-n) * cost)
	b.left -= int64(n)
	return n, err
}
