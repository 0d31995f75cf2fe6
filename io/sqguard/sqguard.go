// Package sqguard opens connections that write only while a lease is held: the
// lease is checked before each write and sets the write deadline, and a kernel
// timer kills the process if it freezes between the check and the write.
package sqguard

import (
	"context"
	"net"
	"net/http"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqpoint"
)

// writeMargin is how long before the end of the lease a blocked write fails, so
// that a full socket buffer does not trigger the watchdog.
const writeMargin = 50 * time.Millisecond

// maxResponseHeaderBytes limits the headers of a response.
const maxResponseHeaderBytes = 64 << 10

// Lease returns the end of the lease, on the clock of now, and whether the lease
// is held. It must be safe for concurrent use.
type Lease func(now time.Time) (until time.Time, held bool)

// Config configures a Guard.
type Config struct {
	// Lease is called before every write.
	Lease Lease
	// Now returns the time on the clock of the lease; it is sqclock.Now outside of
	// tests.
	Now func() time.Time
	// Timeout bounds one request, from dialing to the end of the response.
	Timeout time.Duration
	// Fenced is set if the receiver rejects a fencing number below the highest one
	// that it has seen. A write that a frozen process makes long after its check then
	// has no effect, and no kernel timer is needed to prevent it.
	Fenced bool
}

// Guard opens connections whose writes are checked against a lease. It is safe for
// concurrent use.
type Guard struct {
	cfg Config
}

// New returns a guard configured by cfg.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg}
}

// Client returns an HTTP client that opens a guarded connection for each
// request. Connections are not reused: an idle connection could carry an order
// that a frozen process wrote long after its check.
func (g *Guard) Client() *http.Client {
	timeout := g.cfg.Timeout
	if sqpoint.Disabled(sqpoint.LeaseCheck) || sqpoint.Disabled(sqpoint.Watchdog) {
		// A test that disables a protection must observe the late write. The timeout
		// has expired when the process continues, and would sometimes hide that write.
		timeout = 0
	}
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:            g.dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
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

// Write writes b if the lease is held now. Otherwise it sends nothing and fails
// with LeaseLost.
func (c *conn) Write(b []byte) (int, error) {
	if sqpoint.Disabled(sqpoint.LeaseCheck) {
		sqpoint.StopIfRequested(sqpoint.OrderWriteChecked)
		return c.Conn.Write(b)
	}
	now := c.guard.cfg.Now()
	until, held := c.guard.cfg.Lease(now)
	remaining := until.Sub(now) - writeMargin
	if !held || remaining <= 0 {
		return 0, sqerror.New(sqerror.Config{Kind: sqerror.LeaseLost, Detail: "the lease ended before the order was sent"})
	}
	if sqpoint.Disabled(sqpoint.Watchdog) {
		sqpoint.StopIfRequested(sqpoint.OrderWriteChecked)
		return c.Conn.Write(b)
	}
	// The deadline ends a write that is blocked by a full socket buffer. It does not
	// stop a process that was frozen before the write: the runtime detects an expired
	// deadline only some time after the process continues.
	if err := c.SetWriteDeadline(time.Now().Add(remaining)); err != nil {
		return 0, err
	}
	if c.guard.cfg.Fenced {
		return c.Conn.Write(b)
	}
	return c.writeWithWatchdog(b, until)
}

func (c *conn) writeWithWatchdog(b []byte, until time.Time) (int, error) {
	w, err := ArmWatchdog(until)
	if err != nil {
		return 0, err
	}
	defer w.Disarm()
	sqpoint.StopIfRequested(sqpoint.OrderWriteChecked)
	return c.Conn.Write(b)
}
