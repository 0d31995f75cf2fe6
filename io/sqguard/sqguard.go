// Package sqguard makes connections whose every write is covered by a lease:
// the lease is checked before the write, bounds the write's deadline, and a
// kernel timer ends the process if it freezes in between.
package sqguard

import (
	"context"
	"net"
	"net/http"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqpoint"
)

// writeMargin is how long before the end of the lease a blocked write gives
// up, so that a full socket buffer does not trip the watchdog.
const writeMargin = 50 * time.Millisecond

// Lease returns until when the lease is held, on the clock of now, and false
// if it is not held. It must be safe for concurrent use.
type Lease func(now time.Time) (until time.Time, held bool)

// Config configures a Guard.
type Config struct {
	// Lease is asked before every write.
	Lease Lease
	// Now is the clock of the lease: sqclock.Now outside of tests.
	Now func() time.Time
	// Timeout bounds one exchange, from dialing to the end of the answer.
	Timeout time.Duration
	// Fenced is set if the receiver refuses a fencing number below the highest it
	// has seen. A write that a frozen process makes long after its check then has
	// no effect, and no kernel timer is needed to stop it.
	Fenced bool
}

// Guard makes guarded connections. It is safe for concurrent use.
type Guard struct {
	cfg Config
}

// New returns a guard as cfg describes.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg}
}

// Client returns an HTTP client that opens a guarded connection for each
// request. Connections are not kept: an idle one could carry an order that a
// frozen process wrote long after its check.
func (g *Guard) Client() *http.Client {
	timeout := g.cfg.Timeout
	if sqpoint.Off(sqpoint.Guard) || sqpoint.Off(sqpoint.Watchdog) {
		// A proof without protection must see the late write; the timeout, which is
		// due when the process goes on, would hide it now and then.
		timeout = 0
	}
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:       g.dial,
			DisableKeepAlives: true,
		},
	}
}

func (g *Guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: g.cfg.Timeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guard: g}, nil
}

// conn checks the lease before each write.
type conn struct {
	net.Conn
	guard *Guard
}

// Write writes b if the lease is held now; it fails with LostAuthority, and
// nothing is sent, if it is not.
func (c *conn) Write(b []byte) (int, error) {
	if sqpoint.Off(sqpoint.Guard) {
		sqpoint.Reach(sqpoint.GuardChecked)
		return c.Conn.Write(b)
	}
	now := c.guard.cfg.Now()
	until, held := c.guard.cfg.Lease(now)
	left := until.Sub(now) - writeMargin
	if !held || left <= 0 {
		return 0, sqerror.New(sqerror.Config{Kind: sqerror.LeaseLost, Detail: "the lease ended before the order was sent"})
	}
	if sqpoint.Off(sqpoint.Watchdog) {
		sqpoint.Reach(sqpoint.GuardChecked)
		return c.Conn.Write(b)
	}
	// The deadline ends a write that a full socket buffer blocks. It does not stop
	// a process that was frozen before the write: the runtime notices a deadline
	// that has passed only some time after the process goes on.
	if err := c.SetWriteDeadline(time.Now().Add(left)); err != nil {
		return 0, err
	}
	if c.guard.cfg.Fenced {
		return c.Conn.Write(b)
	}
	return c.writeWatched(b, until)
}

func (c *conn) writeWatched(b []byte, until time.Time) (int, error) {
	w, err := Arm(until)
	if err != nil {
		return 0, err
	}
	defer w.Disarm()
	sqpoint.Reach(sqpoint.GuardChecked)
	return c.Conn.Write(b)
}
