package sqentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqroute"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqrpc"
)

// TestLeavingEndpointTakesNoNewWork checks that a draining or leaving engine
// gets no new requests, that running ones may resume there, and that the holder
// is told that the engine is drained only after the last one is done.
func TestLeavingEndpointTakesNoNewWork(t *testing.T) {
	f := newFleet("a", 1, "")
	now := sqclock.Now()
	set := func(state string) {
		f.setEndpoints(now, []*sqrpc.EndpointView{{Id: "e", Zone: "a", Kind: "engine", State: state, Models: []string{"m"}}})
	}
	set(stateLive)
	cfg := sqroute.QueryConfig{Model: "m", PromptTokens: 1, OutputTokens: 1}
	q := sqroute.NewQuery(cfg)
	d, ok := f.startDispatch(now, "e", &q, 0, false, false)
	assert.Assert(t, ok)
	for _, state := range []string{"draining", stateLeaving} {
		set(state)
		assert.Assert(t, !f.acceptsNewWork("e"))
		assert.Assert(t, !f.estimate(now, cfg).OK())
		_, ok = f.startDispatch(now, "e", &q, 0, false, false)
		assert.Assert(t, !ok)
		again, ok := f.startDispatch(now, "e", &q, 0, false, true)
		assert.Assert(t, ok)
		f.finishDispatch(now, again, sqroute.DispatchResult{})
		assert.Equal(t, len(f.drainedEndpoints()), 0)
	}
	f.finishDispatch(now, d, sqroute.DispatchResult{})
	assert.DeepEqual(t, f.drainedEndpoints(), []string{"e"})
}

// TestSilentEndpointTakesNoNewWork checks that an endpoint that misses polls
// gets no new requests until it answers a poll again.
func TestSilentEndpointTakesNoNewWork(t *testing.T) {
	f := newFleet("a", 1, "")
	now, wall := sqclock.Now(), time.Unix(100, 0)
	f.setEndpoints(now, []*sqrpc.EndpointView{{Id: "e", Zone: "a", Kind: "engine", State: stateLive, Models: []string{"m"}}})
	for i := range maxMissedPolls {
		assert.Assert(t, f.acceptsNewWork("e"))
		changed, closed := f.recordPoll(now, wall, "e", sqendpoint.Load{}, notRunError(0, ""))
		assert.Equal(t, changed, i == maxMissedPolls-1)
		assert.Equal(t, closed, i == maxMissedPolls-1)
	}
	assert.Assert(t, !f.acceptsNewWork("e"))
	changed, closed := f.recordPoll(now, wall, "e", sqendpoint.Load{AtUnixNano: wall.UnixNano()}, nil)
	assert.Assert(t, changed && !closed)
	assert.Assert(t, f.acceptsNewWork("e"))
}
