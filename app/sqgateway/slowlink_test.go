package sqgateway

import (
	"net"
	"sync"
	"time"
)

// slowListener accepts connections that share one link: everything that is written to
// them takes its time by the link's rate.
type slowListener struct {
	net.Listener
	link *link
}

// link is a network link with a fixed rate. It is safe for concurrent use.
type link struct {
	bitsPerSecond float64

	mu       sync.Mutex
	freeFrom time.Time
}

// send waits for as long as n bytes take on the link, behind the bytes sent before.
func (l *link) send(n int) {
	l.mu.Lock()
	if now := time.Now(); l.freeFrom.Before(now) {
		l.freeFrom = now
	}
	l.freeFrom = l.freeFrom.Add(time.Duration(float64(n*8) / l.bitsPerSecond * float64(time.Second)))
	until := l.freeFrom
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Accept implements net.Listener.
func (s slowListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{Conn: c, link: s.link}, nil
}

type slowConn struct {
	net.Conn
	link *link
}

// linkPacketBytes is how many bytes cross the link at a time.
const linkPacketBytes = 1400

// Write implements net.Conn.
func (c slowConn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		n := min(len(b), linkPacketBytes)
		c.link.send(n)
		m, err := c.Conn.Write(b[:n])
		written += m
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}
