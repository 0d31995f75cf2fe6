package sqcoordinator

import (
	"context"
	"slices"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquarantine"
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
	granted, wait := t.probe(now, trait, entries)
	c.mu.Unlock()
	c.log.Event(sqevent.ProbeDecided, trait.Kind.String(), trait.Service, trait.ID, req.GetGateway(), granted, wait.Milliseconds())
	return &sqrpc.ProbeResponse{Granted: granted, RetryAfterMillis: uint32(wait / time.Millisecond)}, nil
}

// probe reports whether one request with the trait may be sent, and otherwise when to ask
// again. The caller must hold the coordinator's mu.
func (t *termState) probe(now time.Time, trait sqquarantine.Trait, entries []sqquarantine.Entry) (granted bool, wait time.Duration) {
	isCaution := func(e sqquarantine.Entry) bool { return e.Trait == trait }
	if slices.ContainsFunc(t.suspects.cautions, isCaution) {
		return t.quarantine.ProbeCaution(now, trait)
	}
	return t.quarantine.Probe(now, trait, entries)
}
