package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// Probe implements sqrpc.Coordinator.
func (c *coordinator) Probe(_ context.Context, req *sqrpc.ProbeRequest) (*sqrpc.ProbeResponse, error) {
	now := sqclock.Now()
	t, err := c.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	trait := sqrpc.ToTrait(req.GetTrait())
	entries := c.quarantineEntries(now, sqclock.Wall())
	c.mu.Lock()
	granted, wait := t.quarantine.Probe(now, trait, entries)
	c.mu.Unlock()
	c.log.Event(sqevent.ProbeDecided, trait.Kind.String(), trait.Service, trait.ID, req.GetGateway(), granted, wait.Milliseconds())
	return &sqrpc.ProbeResponse{Granted: granted, RetryAfterMillis: uint32(wait / time.Millisecond)}, nil
}
