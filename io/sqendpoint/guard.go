package sqendpoint

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// WriteCheck decides, just before bytes of a request are written, whether the request
// may still go out. It returns the end of that permission, or a zero time when
// there is none. now is on sqclock's clock.
type WriteCheck func(now time.Time) (until time.Time, err error)

// sending follows the bytes of one request.
type sending struct {
	guard WriteCheck
	// watched has the kernel end a process that freezes between check and write.
	watched bool
	// writing is held from a write to the check after it.
	writing sync.Mutex

	mu      sync.Mutex
	started bool
	sealed  bool
	err     error
}

// seal ends the sending and reports whether a byte may have reached the
// endpoint. A round trip that was given up may leave a write on its way; after
// seal has said no, that write does not go out.
func (s *sending) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return s.started
}

// start notes that bytes are about to go out, and reports whether they may.
func (s *sending) start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed && !s.started {
		return false
	}
	s.started = true
	return true
}

// late returns the error of a write whose permission was over when it returned,
// or nil. An answer may overtake that check, so it waits for the write to end.
func (s *sending) late() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.stopped()
}

// stopped returns the error by which the guard stopped the request, or nil.
func (s *sending) stopped() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *sending) stop(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// trace makes the connection that the request gets follow s.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.sending.Store(s)
			}
		},
	})
}

// conn is a connection to an endpoint whose writes pass the guard of the request
// that they belong to.
type conn struct {
	net.Conn
	sending atomic.Pointer[sending]
}

// Write checks the guard, writes, and checks again. The first check stops a
// request whose permission is over. The write deadline stops one that waits in
// the socket. The second check is for a process that was paused between the
// first one and the write: the connection is closed, so that the endpoint sees
// a request that its sender gave up, and the outcome is told as unknown.
func (c *conn) Write(p []byte) (int, error) {
	s := c.sending.Load()
	if s == nil {
		return c.Conn.Write(p)
	}
	now := sqclock.Now()
	until, err := s.check(now)
	if err != nil {
		return 0, err
	}
	if err := c.SetWriteDeadline(writeDeadline(now, until)); err != nil {
		return 0, err
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	if !s.start() {
		return 0, net.ErrClosed
	}
	n, err := c.write(s, p)
	if err != nil {
		return n, err
	}
	return n, c.checkAfter(s, until)
}

func (c *conn) write(s *sending, p []byte) (int, error) {
	if s.watched {
		return c.writeWatched(s, p)
	}
	return c.Conn.Write(p)
}

func (s *sending) check(now time.Time) (time.Time, error) {
	if s.guard == nil {
		return time.Time{}, nil
	}
	until, err := s.guard(now)
	if err != nil {
		s.stop(err)
	}
	return until, err
}

func (c *conn) checkAfter(s *sending, until time.Time) error {
	if until.IsZero() || sqclock.Now().Before(until) {
		return nil
	}
	err := sqerror.New(sqerror.Config{
		Kind:      sqerror.StaleEntry,
		Detail:    "the freshness lease ran out while the request was written",
		Execution: sqerror.MayHaveRun,
	})
	s.stop(err)
	c.Close()
	return err
}

// writeDeadline turns a time of sqclock's clock into one of Go's clock.
func writeDeadline(now, until time.Time) time.Time {
	if until.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(until.Sub(now))
}
