package sqcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqfleet"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmachine"
)

// TestCountersContinueWithinTerm loses the lease and regains it without an
// election. No number may be assigned twice.
func TestCountersContinueWithinTerm(t *testing.T) {
	cfg := Config{Log: sqlog.New(sqlog.Config{Name: "test", Output: t.Output()})}
	h := &holder{cfg: cfg, log: cfg.Log, machine: sqmachine.New()}
	first := h.beginTerm(start(), start(), 3)
	for range 5 {
		h.nextFencing(first)
	}
	first.fleet.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "e1"}})
	h.mu.Lock()
	h.endTerm()
	h.mu.Unlock()

	second := h.beginTerm(start().Add(time.Second), start(), 3)
	assert.Equal(t, h.nextFencing(second).Sequence, uint64(6))
	// A job of the ended state may still change its endpoint list.
	first.fleet.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "e1"}, {ID: "e2"}})
	assert.Assert(t, second.fleet.Revision() > first.fleet.Revision())

	third := h.beginTerm(start().Add(time.Minute), start(), 4)
	assert.Equal(t, h.nextFencing(third).Sequence, uint64(1))
	assert.Assert(t, third.fleet.Revision() > second.fleet.Revision())
}
