package sqhttp

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqmemory"
)

const (
	// bytesPerHeader is what one header takes beyond its length, and headerCopies how often
	// its bytes are held while the headers are read.
	bytesPerHeader = 128
	headerCopies   = 2
	// minRequestBytes is reserved with the first byte of a request.
	minRequestBytes = 8 << 10
	// minProgressBytes is how many bytes count as progress of a request.
	minProgressBytes = 1 << 10
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// refusal is the response to a request whose headers do not fit into the budget.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// listener accepts connections within the limits of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. A connection over the limit closes the one that has made
// no progress for longest, or is closed itself.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			_ = nc.Close()
			continue
		}
		if c := l.server.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
		l.server.report(l.server.refusedConnections, tcp.RemoteAddr(), "too many connections")
	}
}

// admit returns the connection, or nil if there is no room for it.
func (s *Server) admit(tcp *net.TCPConn) *conn {
	now := sqclock.Now()
	if s.OpenConnections() >= s.maxConnections && !s.guard.budget.EvictFrom(now, s.cfg.Name) {
		return nil
	}
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	c := &conn{TCPConn: tcp, server: s}
	c.account = s.guard.budget.Open(now, sqmemory.AccountConfig{Group: s.cfg.Name, Share: s.share, Interrupt: c.interrupt, Close: c.evict})
	return c
}

// connKey is the context key of a connection.
type connKey struct{}

// conn is an accepted connection with its account in the budget.
type conn struct {
	*net.TCPConn
	server  *Server
	account *sqmemory.Account
	closed  sync.Once
	// active is set from the end of a request's headers to the end of its response. What is
	// read meanwhile is its body, which is reserved elsewhere, or a few bytes of the next
	// request that the server reads ahead.
	active atomic.Bool
	// headerBytes and headerLines count what was read of the headers, and requestReserved
	// is what is reserved for the request without its body. Only the goroutine that serves
	// the connection uses them.
	headerBytes, headerLines, requestReserved int64
	// bytesSinceProgress is what was read since progress was last recorded. Only Read uses it,
	// which is never called concurrently.
	bytesSinceProgress int
}

// Read implements net.Conn. It reserves memory for headers before they are parsed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.server.cfg.Traffic.AddRead(n)
	c.recordProgress(n)
	if c.active.Load() || c.reserveHeaders(b[:n]) {
		return n, err
	}
	c.server.report(c.server.refusedRequests, c.RemoteAddr(), "no memory for headers")
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusal))
	// The server closes a connection without a response after this error.
	return 0, os.ErrDeadlineExceeded
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.server.cfg.Traffic.AddWritten(n)
	return n, err
}

// recordProgress records that n bytes came. The first bytes of a request are progress, later
// ones only once there are minProgressBytes, so that a caller that sends a byte now and then
// gives way to others.
func (c *conn) recordProgress(n int) {
	c.bytesSinceProgress += n
	begins := !c.active.Load() && c.requestReserved == 0
	if begins || c.bytesSinceProgress >= minProgressBytes {
		c.account.RecordProgress(sqclock.Now())
		c.bytesSinceProgress = 0
	}
}

// reserveHeaders reserves the memory for the headers of a request, of which b was read.
func (c *conn) reserveHeaders(b []byte) bool {
	c.headerBytes += int64(len(b))
	c.headerLines += int64(bytes.Count(b, []byte{'\n'}))
	return c.reserveAtLeast(minRequestBytes + headerCopies*c.headerBytes + bytesPerHeader*c.headerLines)
}

// reserveAtLeast makes the reservation for a request, without its body, n bytes large if it
// is smaller.
func (c *conn) reserveAtLeast(n int64) bool {
	if n <= c.requestReserved {
		return true
	}
	if !c.account.Reserve(n - c.requestReserved) {
		return false
	}
	c.requestReserved = n
	return true
}

// setState records what the server does with the connection.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.active.Store(true)
	case http.StateIdle:
		c.releaseAll()
		c.active.Store(false)
	}
}

// releaseAll releases what the connection holds at the end of a request.
func (c *conn) releaseAll() {
	c.account.ReleaseAll()
	c.headerBytes, c.headerLines, c.requestReserved = 0, 0, 0
}

// interrupt makes the server's current read fail, as after a timeout. The handler can still
// write a response.
func (c *conn) interrupt() {
	c.server.report(c.server.evicted, c.RemoteAddr(), "no progress")
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// evict closes the connection without a response.
func (c *conn) evict() {
	c.server.report(c.server.evicted, c.RemoteAddr(), "no progress")
	_ = c.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closed.Do(func() {
		err = c.TCPConn.Close()
		c.account.Close()
		c.server.mu.Lock()
		c.server.open--
		c.server.mu.Unlock()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// guardedHandler reserves the memory of each request while it is handled.
type guardedHandler struct {
	server *Server
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (h guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	if !c.reserveAtLeast(requestBytes) {
		h.server.report(h.server.refusedRequests, c.RemoteAddr(), "no memory for a request")
		refuse(w)
		return
	}
	c.account.SetServing(true)
	defer func() {
		c.releaseAll()
		// The end of the response is still to be written, so the connection must not be
		// evicted at once.
		c.account.RecordProgress(sqclock.Now())
		c.account.SetServing(false)
	}()
	if h.server.cfg.BodyCost > 0 && r.ContentLength != 0 {
		r.Body = &countedBody{ReadCloser: r.Body, conn: c, left: h.server.maxBodyBytes()}
	}
	h.next.ServeHTTP(w, r)
}

// refuse refuses a request that has not run, for want of memory.
func refuse(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Retry-After", "1")
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// AccountOf returns the account of the connection on which a request came, or nil if a
// guard does not count it.
func AccountOf(r *http.Request) *sqmemory.Account {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.account
}
