package sqhttp

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
)

// SocketBuffers are the sizes of the kernel's buffers of a connection. The kernel takes up
// to twice as much for each. Without them it takes several megabytes of what a peer sends or
// does not read. With send buffers of less than 48 KB, a response of 4 MB takes 2 s on a
// loopback connection, whose segments are as long as the buffer.
type SocketBuffers struct {
	Receive, Send int
}

// Control sets the sizes of a socket before it is connected or listens, as in net.Dialer
// and net.ListenConfig. Set later, packets within the window that was announced would be
// dropped.
func (b SocketBuffers) Control(_, _ string, raw syscall.RawConn) error {
	// A kernel that refuses a size keeps its own.
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.Receive)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, b.Send)
	})
}

// ListenBuffered listens on a TCP address; accepted connections have these buffers. Its
// errors are of kind Unreachable.
func ListenBuffered(address string, buffers SocketBuffers) (net.Listener, error) {
	lc := net.ListenConfig{Control: buffers.Control}
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "cannot listen on " + address, Cause: err})
	}
	return ln, nil
}
