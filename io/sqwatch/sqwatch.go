// Package sqwatch is the entry's client of the control processes. It keeps the
// freshness lease and what an entry must know, and submits commands.
package sqwatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqkey"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// Config configures a Client.
type Config struct {
	// Entry is the name of the entry.
	Entry string
	// RunID is unique for each start of the process.
	RunID string
	// Controls are the "ip:port" addresses of the control processes.
	Controls []string
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// MaxLease bounds the freshness lease.
	MaxLease time.Duration
	// CommandTimeout bounds one command.
	CommandTimeout time.Duration
	// RenewTimeout bounds one try to renew, so that all controls can be tried
	// within one lease; 0 is a sixth of Fresh.
	RenewTimeout time.Duration
	// Report returns what the entry tells the holder; the client adds what it
	// knows already.
	Report func(now time.Time) *sqrpc.WatchRequest
	// OnChange is called after each answer, before the next request is sent; before
	// the lease begins if it was not held.
	OnChange func(v *View)
	Log      *sqlog.Log
	// HTTP, if set, is used in place of a client of its own.
	HTTPClient *http.Client
}

// Client watches the holder. It is safe for concurrent use.
type Client struct {
	cfg      Config
	controls *controls
	view     atomic.Pointer[View]
	wake     chan struct{}
	sequence atomic.Uint64

	mu sync.Mutex
	// tried closes when the present try to renew ends.
	tried chan struct{}
	// failed is true when the last try found no holder.
	failed bool
}

// New returns a client that has no freshness lease yet: a restarted entry knows
// nothing until the holder has answered.
func New(cfg Config) *Client {
	if cfg.RenewTimeout == 0 {
		cfg.RenewTimeout = cfg.MaxLease / 6
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = newHTTPClient(cfg.CommandTimeout)
	}
	c := &Client{
		cfg:      cfg,
		controls: newControls(cfg.Controls, cfg.HTTPClient),
		wake:     make(chan struct{}, 1),
		tried:    make(chan struct{}),
	}
	c.view.Store(&View{keys: sqkey.New(sqkey.Config{})})
	return c
}

// View returns what is known now; never nil.
func (c *Client) View() *View { return c.view.Load() }

// Fresh reports whether the freshness lease holds at now.
func (c *Client) Fresh(now time.Time) bool { return c.View().Fresh(now) }

// RenewNow makes the client renew at once, to tell the holder of a change.
func (c *Client) RenewNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Refresh reports whether the freshness lease holds, after a try to renew it if
// it ran out because the process itself was paused. When the last try found no
// holder it answers at once.
func (c *Client) Refresh(ctx context.Context) bool {
	if c.Fresh(sqclock.Now()) {
		return true
	}
	c.mu.Lock()
	tried, failed := c.tried, c.failed
	c.mu.Unlock()
	if failed {
		return false
	}
	c.RenewNow()
	t := time.NewTimer(c.cfg.RenewTimeout)
	defer t.Stop()
	select {
	case <-tried:
	case <-t.C:
	case <-ctx.Done():
	}
	return c.Fresh(sqclock.Now())
}

// endTry tells those who wait how a try to renew went.
func (c *Client) endTry(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = err != nil
	close(c.tried)
	c.tried = make(chan struct{})
}

// Run renews the freshness lease until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		was := c.View()
		err := c.renew(ctx)
		c.endTry(err)
		c.logChange(was, err)
		if !c.wait(ctx, err) {
			return
		}
	}
}

// wait pauses until the next renewal. After a failure it is short, because a
// lease that runs out stops the entry.
func (c *Client) wait(ctx context.Context, err error) bool {
	d := c.cfg.RenewInterval
	if err != nil {
		d = c.cfg.RenewInterval / 4
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.wake:
	case <-t.C:
	}
	return true
}

func (c *Client) logChange(was *View, err error) {
	now := sqclock.Now()
	v := c.View()
	lost := !was.freshUntil.IsZero() && !v.Fresh(now)
	switch {
	case err != nil && lost && v.freshUntil.Add(c.cfg.RenewInterval).After(now):
		c.cfg.Log.Event(sqevent.EntryLeaseLost, c.cfg.Entry)
	case err == nil && (was.freshUntil.IsZero() || !was.Fresh(now)):
		c.cfg.Log.Event(sqevent.EntryLeaseGained, c.cfg.Entry, v.holder, v.version)
	}
	if v.holder != was.holder {
		c.cfg.Log.Event(sqevent.HolderFound, v.holder)
	}
	if v.version != was.version || v.keyRevision != was.keyRevision {
		c.cfg.Log.Event(sqevent.EntryConfigurationInForce, v.version, v.keyRevision)
	}
}

// renew asks the holder once. It follows the holder that other controls name,
// but not to one that has just been silent: others name a paused holder until
// they have elected the next.
func (c *Client) renew(ctx context.Context) error {
	var err error
	silent := make(map[string]bool, len(c.cfg.Controls))
	for range len(c.cfg.Controls) + 1 {
		address, control := c.controls.current()
		if silent[address] {
			c.controls.failed(address, nil)
			continue
		}
		err = c.ask(ctx, address, control)
		if err == nil || ctx.Err() != nil {
			return err
		}
		silent[address] = noUse(err)
		c.controls.failed(address, err)
	}
	return unreachable(err)
}

func (c *Client) ask(ctx context.Context, address string, control sqrpc.Control) error {
	v := c.View()
	// The lease counts from here: the holder may have taken its own knowledge
	// any time after the request left.
	sent := sqclock.Now()
	req := c.cfg.Report(sent)
	req.Entry = c.cfg.Entry
	req.Run = c.cfg.RunID
	req.KnownVersion = v.version
	req.KnownKeyRevision = v.keyRevision
	req.KnownFleetRevision = v.fleetRevision
	req.KnownEntries = v.entriesHash
	req.KnownShares = v.sharesHash
	req.KnownAnswer = v.answer
	req.KnownReadings = v.readingsUntil
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RenewTimeout)
	defer cancel()
	resp, err := control.Watch(ctx, req)
	if err != nil {
		return sqrpc.FromTwirp(err)
	}
	if v.goesBack(resp) || v.incomplete(resp) {
		c.cfg.Log.Event(sqevent.VersionRegressed, address, v.version, resp.GetVersion())
		return sqerror.New(sqerror.Config{Kind: sqerror.Conflict, Detail: "the holder answered with an older version"})
	}
	next := v.next(resp, address, sent, sqclock.Now(), c.cfg.MaxLease)
	if v.Fresh(sent) {
		// Requests that begin from now on check the new keys; those that run with
		// withdrawn ones are then stopped.
		c.view.Store(next)
		c.cfg.OnChange(next)
		return nil
	}
	// Nothing begins without the lease, so what is new is applied before anybody may
	// act on it.
	c.cfg.OnChange(next)
	c.view.Store(next)
	return nil
}
