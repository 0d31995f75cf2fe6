// Package sqwatch is the client by which an entry talks to the control processes.
// It renews the freshness lease of the entry, keeps a View of the deployment, and
// submits commands to the lease holder.
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
	// RenewInterval is the time between renewals of the freshness lease.
	RenewInterval time.Duration
	// MaxLease bounds the duration of the freshness lease.
	MaxLease time.Duration
	// CommandTimeout bounds one attempt to submit a command, and the opening of a
	// connection unless HTTPClient is set.
	CommandTimeout time.Duration
	// RenewTimeout bounds the request to one control process, so that all of them
	// can be tried within one lease; 0 means a sixth of MaxLease.
	RenewTimeout time.Duration
	// Report returns the report of the entry to the lease holder. The client adds
	// its own name and the versions that it already has.
	Report func(now time.Time) *sqrpc.WatchRequest
	// OnChange is called with the new view after each response and before the next
	// request. If the lease was not held, it is called before the lease begins.
	OnChange func(v *View)
	Log      *sqlog.Log
	// HTTPClient is used if set; otherwise New creates one.
	HTTPClient *http.Client
}

// Client sends watch requests and commands to the lease holder. It is safe for
// concurrent use.
type Client struct {
	cfg           Config
	controls      *controls
	view          atomic.Pointer[View]
	renewNow      chan struct{}
	lastOperation atomic.Uint64

	mu sync.Mutex
	// attemptDone is closed when the current attempt to renew ends.
	attemptDone chan struct{}
	// lastFailed is true if the last attempt to renew failed.
	lastFailed bool
}

// New returns a client without a freshness lease: a restarted entry has an empty
// view until the lease holder has answered.
func New(cfg Config) *Client {
	if cfg.RenewTimeout == 0 {
		cfg.RenewTimeout = cfg.MaxLease / 6
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = newHTTPClient(cfg.CommandTimeout)
	}
	c := &Client{
		cfg:         cfg,
		controls:    newControls(cfg.Controls, cfg.HTTPClient),
		renewNow:    make(chan struct{}, 1),
		attemptDone: make(chan struct{}),
	}
	c.view.Store(&View{keys: sqkey.New(sqkey.Config{})})
	return c
}

// View returns the current view, which is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Fresh reports whether the freshness lease holds at now.
func (c *Client) Fresh(now time.Time) bool { return c.View().Fresh(now) }

// RenewNow makes Run renew the lease at once, to report a change to the lease
// holder.
func (c *Client) RenewNow() {
	select {
	case c.renewNow <- struct{}{}:
	default:
	}
}

// Refresh reports whether the freshness lease holds. If the lease has expired and
// the last renewal did not fail, as after a pause of the process, Refresh first
// waits up to RenewTimeout for a renewal. If the last renewal failed, Refresh
// returns false at once.
func (c *Client) Refresh(ctx context.Context) bool {
	if c.Fresh(sqclock.Now()) {
		return true
	}
	c.mu.Lock()
	attemptDone, lastFailed := c.attemptDone, c.lastFailed
	c.mu.Unlock()
	if lastFailed {
		return false
	}
	c.RenewNow()
	t := time.NewTimer(c.cfg.RenewTimeout)
	defer t.Stop()
	select {
	case <-attemptDone:
	case <-t.C:
	case <-ctx.Done():
	}
	return c.Fresh(sqclock.Now())
}

// finishAttempt records the result of an attempt to renew and wakes the waiting
// Refresh calls.
func (c *Client) finishAttempt(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailed = err != nil
	close(c.attemptDone)
	c.attemptDone = make(chan struct{})
}

// Run renews the freshness lease until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		prev := c.View()
		err := c.renew(ctx)
		c.finishAttempt(err)
		c.logChange(prev, err)
		if !c.wait(ctx, err) {
			return
		}
	}
}

// wait pauses until the next renewal. The pause is shorter after a failure, because
// an entry without a lease refuses requests. It returns false if ctx has ended.
func (c *Client) wait(ctx context.Context, err error) bool {
	delay := c.cfg.RenewInterval
	if err != nil {
		delay = c.cfg.RenewInterval / 4
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.renewNow:
	case <-t.C:
	}
	return true
}

func (c *Client) logChange(prev *View, err error) {
	now := sqclock.Now()
	v := c.View()
	lost := !prev.freshUntil.IsZero() && !v.Fresh(now)
	switch {
	case err != nil && lost && v.freshUntil.Add(c.cfg.RenewInterval).After(now):
		c.cfg.Log.Event(sqevent.EntryLeaseLost, c.cfg.Entry)
	case err == nil && (prev.freshUntil.IsZero() || !prev.Fresh(now)):
		c.cfg.Log.Event(sqevent.EntryLeaseGained, c.cfg.Entry, v.holder, v.version)
	}
	if v.holder != prev.holder {
		c.cfg.Log.Event(sqevent.HolderFound, v.holder)
	}
	if v.version != prev.version || v.keyRevision != prev.keyRevision {
		c.cfg.Log.Event(sqevent.EntryConfigurationInForce, v.version, v.keyRevision)
	}
}

// renew makes one attempt to renew the lease. It follows redirects of other control
// processes to the holder, but not to a process that has just failed to answer:
// the others redirect to a paused holder until they have elected the next one.
func (c *Client) renew(ctx context.Context) error {
	var err error
	unusable := make(map[string]bool, len(c.cfg.Controls))
	for range len(c.cfg.Controls) + 1 {
		address, control := c.controls.current()
		if unusable[address] {
			c.controls.markFailed(address, nil)
			continue
		}
		err = c.watchOnce(ctx, address, control)
		if err == nil || ctx.Err() != nil {
			return err
		}
		unusable[address] = isUnusable(err)
		c.controls.markFailed(address, err)
	}
	return unreachableError(err)
}

func (c *Client) watchOnce(ctx context.Context, address string, control sqrpc.Control) error {
	v := c.View()
	// The lease counts from the send time: the holder may have read its state at any
	// time after the request was sent.
	sent := sqclock.Now()
	req := c.cfg.Report(sent)
	req.Entry = c.cfg.Entry
	req.Run = c.cfg.RunID
	req.KnownVersion = v.version
	req.KnownKeyRevision = v.keyRevision
	req.KnownFleetRevision = v.fleetRevision
	req.KnownEntries = v.entriesHash
	req.KnownShares = v.sharesHash
	req.KnownAnswer = v.lastAnswer
	req.KnownReadings = v.readingsUntil
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RenewTimeout)
	defer cancel()
	resp, err := control.Watch(ctx, req)
	if err != nil {
		return sqrpc.FromTwirp(err)
	}
	if v.isNewerThan(resp) || v.lacksConfiguration(resp) {
		c.cfg.Log.Event(sqevent.VersionRegressed, address, v.version, resp.GetVersion())
		return sqerror.New(sqerror.Config{Kind: sqerror.Conflict, Detail: "the holder answered with an older version"})
	}
	updated := v.apply(resp, address, sent, sqclock.Now(), c.cfg.MaxLease)
	if v.Fresh(sent) {
		// New requests are checked against the new keys from here on. OnChange then
		// stops running requests whose keys were withdrawn.
		c.view.Store(updated)
		c.cfg.OnChange(updated)
		return nil
	}
	// No request begins without the lease, so the new view is applied before any
	// request can use it.
	c.cfg.OnChange(updated)
	c.view.Store(updated)
	return nil
}
