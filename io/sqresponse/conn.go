package sqresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
)

// tcpClose is the state TCP_CLOSE of a socket: it was reset, timed out or closed by both sides.
const tcpClose = 7

// Conn is a TCP connection on which the end of the peer's bytes can be told from a failure.
//
// The kernel reports the failure of a connection, such as a reset, to one system call only. If
// that is a write, as during a long upload, the next read returns the end of the stream, and a
// response that ends with the connection looks complete. Conn therefore remembers the errors
// of writes, and Read returns them in place of io.EOF.
type Conn struct {
	net.Conn

	// writeMu is held during a write.
	writeMu  sync.Mutex
	writeErr error
}

// NewConn returns a Conn that uses c. What writes to c directly must do so in RecordWrite.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialContext returns a function that dials as d does and returns a Conn, for http.Transport.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "the connection is no socket"})
	}
	return raw.SyscallConn()
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	return c.RecordWrite(func() (int, error) { return c.Conn.Write(b) })
}

// RecordWrite calls write, which writes to the socket, and remembers its error.
func (c *Conn) RecordWrite(write func() (int, error)) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := write()
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its bytes.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.isClosed() {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// isClosed reports whether the socket is in the state TCP_CLOSE, or this side has closed it. After
// the end of the peer's bytes alone, it is in another state.
func (c *Conn) isClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	inState := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inState = err == nil && info.State == tcpClose
	})
	return inState || err != nil
}

// failure returns the error with which the connection failed if a write has got it, or nil. It
// waits for a write that is under way: on a closed socket it returns at once. If the peer's
// bytes had ended before the failure, that error is EPIPE.
func (c *Conn) failure() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != unix.EPIPE {
		return c.writeErr
	}
	return nil
}
