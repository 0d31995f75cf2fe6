// Package sqmeter measures what the process uses of its VM: memory, processor time, and the
// bytes that pass through its connections.
package sqmeter

import (
	"net"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Traffic counts bytes. It is safe for concurrent use, and a nil Traffic counts nothing.
type Traffic struct {
	read, written atomic.Int64
}

// AddRead counts bytes that were read from a connection.
func (t *Traffic) AddRead(n int) {
	if t != nil {
		t.read.Add(int64(n))
	}
}

// AddWritten counts bytes that were written to a connection.
func (t *Traffic) AddWritten(n int) {
	if t != nil {
		t.written.Add(int64(n))
	}
}

// Read returns the bytes that were read.
func (t *Traffic) Read() int64 { return t.read.Load() }

// Written returns the bytes that were written.
func (t *Traffic) Written() int64 { return t.written.Load() }

// Listener returns a listener whose connections count what they carry.
func (t *Traffic) Listener(ln net.Listener) net.Listener { return listener{Listener: ln, traffic: t} }

type listener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, traffic: l.traffic}, nil
}

// conn is a connection that counts what it carries.
type conn struct {
	net.Conn
	traffic *Traffic
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.AddRead(n)
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.AddWritten(n)
	return n, err
}

// CloseWrite closes the sending side, which an HTTP server does before it closes a
// connection with unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what closing the connection does with unsent bytes.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// ProcessorTime returns the processor time that the process has used since its start.
func ProcessorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory reads the memory that the process uses. It is not safe for concurrent use.
type Memory struct {
	samples []metrics.Sample
}

// NewMemory returns a reader of the memory in use.
func NewMemory() *Memory {
	return &Memory{samples: []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/unused:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/gc/heap/live:bytes"},
	}}
}

// InUse returns the bytes that the process needs: what the last garbage collection left of
// the heap, and all memory outside the heap. Garbage is not counted, since the collector's
// limit bounds it.
func (m *Memory) InUse() int64 {
	metrics.Read(m.samples)
	value := func(i int) int64 { return int64(m.samples[i].Value.Uint64()) }
	outsideHeap := value(0) - value(1) - value(2) - value(3) - value(4)
	return outsideHeap + value(5)
}
