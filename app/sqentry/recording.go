package sqentry

import (
	"context"
	"sync"

	"sequoiadock/core/sqcommand"
)

// pendingOutcomes holds the outcomes that were sent to callers while their
// commits are in progress. It is safe for concurrent use.
type pendingOutcomes struct {
	mu     sync.Mutex
	byCall map[callID]*pendingOutcome
}

// callID identifies a once-only call.
type callID struct{ team, identity string }

// pendingOutcome is one outcome whose commit is in progress.
type pendingOutcome struct {
	outcome *sqcommand.Outcome
	done    chan struct{}
	// failed is set before done is closed.
	failed bool
}

func newPendingOutcomes() *pendingOutcomes {
	return &pendingOutcomes{byCall: map[callID]*pendingOutcome{}}
}

func (r *pendingOutcomes) add(id callID, o *sqcommand.Outcome) *pendingOutcome {
	pending := &pendingOutcome{outcome: o, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byCall[id] = pending
	return pending
}

func (r *pendingOutcomes) resolve(id callID, pending *pendingOutcome, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byCall, id)
	pending.failed = err != nil
	close(pending.done)
}

// find returns the pending outcome of a call, or nil.
func (r *pendingOutcomes) find(id callID) *pendingOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byCall[id]
}

// awaitRecorded waits for the commit and reports whether it succeeded before
// ctx ended. It returns false for a nil receiver.
func (r *pendingOutcome) awaitRecorded(ctx context.Context) bool {
	if r == nil {
		return false
	}
	select {
	case <-r.done:
		return !r.failed
	case <-ctx.Done():
		return false
	}
}
