package sqcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqfleet"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmachine"
)

// TestNumbersGoOnInATerm loses the lease and gets it back without an election:
// no number may come again.
func TestNumbersGoOnInATerm(t *testing.T) {
	cfg := Config{Log: sqlog.New(sqlog.Config{Name: "test", Output: t.Output()})}
	h := &holder{cfg: cfg, log: cfg.Log, machine: sqmachine.New()}
	first := h.begin(start(), start(), 3)
	for range 5 {
		h.fencing(first)
	}
	first.fleet.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "e1"}})
	h.mu.Lock()
	h.end()
	h.mu.Unlock()

	second := h.begin(start().Add(time.Second), start(), 3)
	assert.Equal(t, h.fencing(second).Sequence, uint64(6))
	// A duty of the ended tenure may still change its list.
	first.fleet.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "e1"}, {ID: "e2"}})
	assert.Assert(t, second.fleet.Revision() > first.fleet.Revision())

	third := h.begin(start().Add(time.Minute), start(), 4)
	assert.Equal(t, h.fencing(third).Sequence, uint64(1))
	assert.Assert(t, third.fleet.Revision() > second.fleet.Revision())
}
