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
	"sequoiadock/io/sqresponse"
)

// WriteCheck decides, just before bytes of a request are written, whether they may
// still be sent. It returns the end of that permission, or a zero time if the
// permission has no end. now and until are on sqclock's clock.
type WriteCheck func(now time.Time) (until time.Time, err error)

// writeTracker checks the writes of one request and records whether any was made.
type writeTracker struct {
	writeCheck WriteCheck
	// watchdog makes the kernel kill a process that freezes between the check and
	// the write.
	watchdog bool
	// writeMu is held from the start of a write to the end of the check after it.
	writeMu sync.Mutex

	mu      sync.Mutex
	started bool
	closed  bool
	err     error
	// until is the end of the permission that the last write check gave.
	until time.Time
}

// close reports whether a byte may have reached the endpoint. An abandoned round
// trip may still have a write pending; if close returned false, that write fails
// and sends nothing.
func (s *writeTracker) close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.started
}

// beginWrite records that bytes are about to be written. It returns false if they
// must not be written, because close has reported that nothing was sent.
func (s *writeTracker) beginWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed && !s.started {
		return false
	}
	s.started = true
	return true
}

// errAfterWrite returns the error of a write whose permission had expired when the
// write returned, or nil. A response may arrive before the check after the write,
// so errAfterWrite waits for that check, unless the permission has not expired at
// now: the endpoint may respond without reading the rest of the request, and
// what was written until now was permitted.
func (s *writeTracker) errAfterWrite(now time.Time) error {
	if !s.writeMu.TryLock() {
		if s.permittedAt(now) {
			return s.checkErr()
		}
		s.writeMu.Lock()
	}
	defer s.writeMu.Unlock()
	return s.checkErr()
}

// permittedAt reports whether the last write check permitted writes at now.
func (s *writeTracker) permittedAt(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until.IsZero() || now.Before(s.until)
}

// checkErr returns the error by which a write check stopped the request, or nil.
func (s *writeTracker) checkErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *writeTracker) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// withTrace returns a context whose request sets s as the tracker of the
// connection that it is sent on.
func (s *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.tracker.Store(s)
			}
		},
	})
}

// conn is a connection to an endpoint. It applies the write check of the current
// request to each write.
type conn struct {
	net.Conn
	// socket is the connection below Conn.
	socket  *sqresponse.Conn
	tracker atomic.Pointer[writeTracker]
}

// Write runs the write check, writes p, and checks the permission again. The first
// check stops a request whose permission has expired. The write deadline stops a
// request that waits for socket buffer space. The second check handles a process
// that was paused between the first check and the write: it closes the
// connection, so that the endpoint sees an aborted request, and reports that the
// request may have run.
func (c *conn) Write(p []byte) (int, error) {
	s := c.tracker.Load()
	if s == nil {
		return c.Conn.Write(p)
	}
	now := sqclock.Now()
	until, err := s.runCheck(now)
	if err != nil {
		return 0, err
	}
	if err := c.SetWriteDeadline(writeDeadline(now, until)); err != nil {
		return 0, err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if !s.beginWrite() {
		return 0, net.ErrClosed
	}
	n, err := c.write(s, p)
	if err != nil {
		return n, err
	}
	return n, c.checkAfterWrite(s, until)
}

func (c *conn) write(s *writeTracker, p []byte) (int, error) {
	if s.watchdog {
		return c.socket.RecordWrite(func() (int, error) { return c.writeWithWatchdog(s, p) })
	}
	return c.Conn.Write(p)
}

func (s *writeTracker) runCheck(now time.Time) (time.Time, error) {
	if s.writeCheck == nil {
		return time.Time{}, nil
	}
	until, err := s.writeCheck(now)
	if err != nil {
		s.setErr(err)
		return until, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = until
	return until, nil
}

func (c *conn) checkAfterWrite(s *writeTracker, until time.Time) error {
	if until.IsZero() || sqclock.Now().Before(until) {
		return nil
	}
	err := sqerror.New(sqerror.Config{
		Kind:      sqerror.StaleEntry,
		Detail:    "the freshness lease ran out while the request was written",
		Execution: sqerror.MayHaveRun,
	})
	s.setErr(err)
	c.Close()
	return err
}

// writeDeadline converts until from sqclock's clock to Go's clock. A zero until
// gives a zero deadline.
func writeDeadline(now, until time.Time) time.Time {
	if until.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(until.Sub(now))
}
