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

// TestLeavingTakesNothing follows an engine from live to draining: it takes
// nothing new, running work may go on there, and the holder hears that it is
// free only after the last work is done.
func TestLeavingTakesNothing(t *testing.T) {
	f := newFleet("a", 1, "")
	now := sqclock.Now()
	set := func(state string) {
		f.set(now, []*sqrpc.EndpointView{{Id: "e", Zone: "a", Kind: "engine", State: state, Models: []string{"m"}}})
	}
	set(stateLive)
	cfg := sqroute.QueryConfig{Model: "m", PromptTokens: 1, OutputTokens: 1}
	q := sqroute.NewQuery(cfg)
	d, ok := f.begin(now, "e", &q, 0, false, false)
	assert.Assert(t, ok)
	for _, state := range []string{"draining", stateLeaving} {
		set(state)
		assert.Assert(t, !f.accepts("e"))
		assert.Assert(t, !f.estimate(now, cfg).OK())
		_, ok = f.begin(now, "e", &q, 0, false, false)
		assert.Assert(t, !ok)
		again, ok := f.begin(now, "e", &q, 0, false, true)
		assert.Assert(t, ok)
		f.done(now, again, sqroute.DispatchResult{})
		assert.Equal(t, len(f.stopped()), 0)
	}
	f.done(now, d, sqroute.DispatchResult{})
	assert.DeepEqual(t, f.stopped(), []string{"e"})
}

// TestSilentEndpointTakesNothing closes an endpoint that answers no polls and
// opens it again when it does.
func TestSilentEndpointTakesNothing(t *testing.T) {
	f := newFleet("a", 1, "")
	now, wall := sqclock.Now(), time.Unix(100, 0)
	f.set(now, []*sqrpc.EndpointView{{Id: "e", Zone: "a", Kind: "engine", State: stateLive, Models: []string{"m"}}})
	for i := range missesToClose {
		assert.Assert(t, f.accepts("e"))
		changed, closed := f.polled(now, wall, "e", sqendpoint.Load{}, notRun(0, ""))
		assert.Equal(t, changed, i == missesToClose-1)
		assert.Equal(t, closed, i == missesToClose-1)
	}
	assert.Assert(t, !f.accepts("e"))
	changed, closed := f.polled(now, wall, "e", sqendpoint.Load{AtUnixNano: wall.UnixNano()}, nil)
	assert.Assert(t, changed && !closed)
	assert.Assert(t, f.accepts("e"))
}
