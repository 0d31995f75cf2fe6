// Package sqguard opens connections that write only while a lease is held: the
// lease is checked before each write and sets the write deadline, and a kernel
// timer kills the process if it freezes between the check and the write.
package sqguard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqduty"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqpoint"
	"sequoiadock/io/sqresponse"
)

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
	// DeliveryTimeout bounds how long the kernel keeps written bytes that the receiver
	// has not acknowledged, also if this process is stopped meanwhile. 0 means no bound,
	// which is for receivers that are Fenced.
	DeliveryTimeout time.Duration
	// NoWatchdog is called before the write if the kernel has no timer for the watchdog.
	// If it is nil, nothing is written then.
	NoWatchdog func(cause error)
	// Withheld, if set, is called when a write is refused, with the time that was left of
	// the lease: 0 if the lease is not held.
	Withheld func(left time.Duration)
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
		Transport: sqresponse.NewTransport(&http.Transport{
			DialContext:            g.dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}, 0),
	}
}

func (g *Guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: g.cfg.Timeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	guarded := &conn{Conn: c, guard: g}
	if err := guarded.boundDelivery(); err != nil {
		_ = c.Close()
		return nil, err
	}
	guarded.Conn = sqresponse.NewConn(c)
	return guarded, nil
}

// conn checks the lease before each write.
type conn struct {
	net.Conn
	guard *Guard
	// discarding is the socket while closing it discards unsent bytes, otherwise nil.
	discarding *net.TCPConn
}

// boundDelivery makes the kernel discard bytes that were written but not acknowledged: after
// DeliveryTimeout, and at once if the connection is closed. Otherwise a link that recovers
// would deliver them at any later time.
func (c *conn) boundDelivery() error {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if c.guard.cfg.DeliveryTimeout <= 0 || !isTCP {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	timeout := int(max(1, c.guard.cfg.DeliveryTimeout.Milliseconds()))
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	})
	if err = errors.Join(err, setErr); err != nil {
		return err
	}
	c.discarding = tcp
	return tcp.SetLinger(0)
}

// Read reads from the connection. The first byte of the response shows that the request has
// arrived, so that the connection may end in the ordinary way.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.discarding != nil {
		_ = c.discarding.SetLinger(-1) // a failure ends the connection with a reset
		c.discarding = nil
	}
	return n, err
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
	remaining := sqduty.WriteTime(now, until)
	if !held || remaining <= 0 {
		c.withheld(now, until, held)
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
	if err != nil && c.guard.cfg.NoWatchdog == nil {
		return 0, err
	}
	if err != nil {
		c.guard.cfg.NoWatchdog(err)
		return c.Conn.Write(b)
	}
	defer w.Disarm()
	sqpoint.StopIfRequested(sqpoint.OrderWriteChecked)
	return c.Conn.Write(b)
}

func (c *conn) withheld(now, until time.Time, held bool) {
	if c.guard.cfg.Withheld == nil {
		return
	}
	left := time.Duration(0)
	if held {
		left = until.Sub(now)
	}
	c.guard.cfg.Withheld(left)
}
