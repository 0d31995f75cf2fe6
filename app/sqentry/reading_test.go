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

// sharedFleet returns a fleet of one engine whose polling is shared by four
// entries.
func sharedFleet(now time.Time, self string) *fleet {
	f := newFleet("a", 1, "")
	f.setEndpoints(now, []*sqrpc.EndpointView{{Id: "e", Zone: "a", Kind: "engine", State: stateLive, Models: []string{"m"}}})
	var views []*sqrpc.EntryView
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		views = append(views, &sqrpc.EntryView{Entry: name, Zone: "a", Fresh: true})
	}
	f.setEntries(self, views)
	return f
}

// TestReadingsReachOtherEntries shares the poll of one entry with another,
// which then routes as if it had polled itself.
func TestReadingsReachOtherEntries(t *testing.T) {
	now, wall := sqclock.Now(), time.Unix(100, 0)
	from, to := sharedFleet(now, "n1"), sharedFleet(now, "n2")
	measuredAt := wall.Add(-50 * time.Millisecond)
	load := sqendpoint.Load{AtUnixNano: measuredAt.UnixNano(), Running: 40, Queued: 20, PrefillTokens: 50000, DecodeTokens: 5000}
	from.recordPoll(now, wall, "e", load, nil)
	readings := from.readingsToShare(now)
	assert.DeepEqual(t, readings.GetAges(), []uint32{5})
	assert.Equal(t, len(from.readingsToShare(now).GetPlaces()), 0)
	cfg := sqroute.QueryConfig{Model: "m", PromptTokens: 100, OutputTokens: 10}
	idle := to.estimate(now, cfg).FirstTokenLatency()
	assert.Equal(t, len(to.applyReadings(now, readings)), 0)
	assert.Equal(t, to.estimate(now, cfg).FirstTokenLatency(), from.estimate(now, cfg).FirstTokenLatency())
	assert.Assert(t, to.estimate(now, cfg).FirstTokenLatency() > idle)
	truncated := &sqrpc.Readings{Places: []uint32{0}, Silent: []uint32{7}}
	assert.Equal(t, len(to.applyReadings(now, truncated)), 0)
}

// TestTwoEntriesShareNoReadings checks that with two entries each polls all
// endpoints itself.
func TestTwoEntriesShareNoReadings(t *testing.T) {
	now := sqclock.Now()
	f := sharedFleet(now, "n1")
	f.setEntries("n1", []*sqrpc.EntryView{
		{Entry: "n1", Fresh: true}, {Entry: "n2", Fresh: true}, {Entry: "n3", Leaving: true, Fresh: true}, {Entry: "n4"},
	})
	f.recordPoll(now, time.Unix(100, 0), "e", sqendpoint.Load{}, nil)
	assert.Assert(t, f.readingsToShare(now) == nil)
}

// TestEndpointSilentToItsReaders checks that an endpoint gets no new requests
// when its readers report it silent, unless the entry recently got a response
// itself, and that the entry then polls it in each round.
func TestEndpointSilentToItsReaders(t *testing.T) {
	now, wall := sqclock.Now(), time.Unix(100, 0)
	from, to := sharedFleet(now, "n1"), sharedFleet(now, "n2")
	for range maxMissedPolls {
		from.recordPoll(now, wall, "e", sqendpoint.Load{}, notRunError(0, ""))
	}
	readings := from.readingsToShare(now)
	assert.DeepEqual(t, readings.GetSilent(), []uint32{0})
	to.recordPoll(now, wall, "e", sqendpoint.Load{AtUnixNano: wall.UnixNano()}, nil)
	assert.Equal(t, len(to.applyReadings(now, readings)), 0)
	assert.Assert(t, to.acceptsNewWork("e"))
	now = now.Add(ownResponseValidity + time.Millisecond)
	assert.DeepEqual(t, to.applyReadings(now, readings), []string{"e"})
	assert.Assert(t, !to.acceptsNewWork("e"))
	_, states, _ := to.pollTargets(nil)
	assert.Assert(t, states[0].Suspect)
	assert.Equal(t, len(to.readingsToShare(now).GetSilent()), 0)
	changed, closed := to.recordPoll(now, wall, "e", sqendpoint.Load{AtUnixNano: wall.UnixNano()}, nil)
	assert.Assert(t, changed && !closed)
	assert.Assert(t, to.acceptsNewWork("e"))
}

// TestPeerWorkByIndex checks that without a load report an entry estimates the
// load from the sum of the other entries' work.
func TestPeerWorkByIndex(t *testing.T) {
	now := sqclock.Now()
	f := sharedFleet(now, "n1")
	cfg := sqroute.QueryConfig{Model: "m", PromptTokens: 100, OutputTokens: 10}
	idle := f.estimate(now, cfg).FirstTokenLatency()
	q := sqroute.NewQuery(sqroute.QueryConfig{Model: "m", PromptTokens: 50000, OutputTokens: 10})
	busy := sharedFleet(now, "n2")
	_, ok := busy.startDispatch(now, "e", &q, 0, false, false)
	assert.Assert(t, ok)
	f.setPeerWork(now, busy.ownWork())
	assert.Assert(t, f.estimate(now, cfg).FirstTokenLatency() > idle)
	f.setPeerWork(now, &sqrpc.Readings{Places: []uint32{0}})
	assert.Assert(t, f.estimate(now, cfg).FirstTokenLatency() > idle, "a column is missing")
	f.setPeerWork(now, nil)
	assert.Equal(t, f.estimate(now, cfg).FirstTokenLatency(), idle)
}
