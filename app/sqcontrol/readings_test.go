package sqcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqfleet"
	"sequoiadock/io/sqrpc"
)

// readingFleet returns a table with the engines e1, e2 and e3.
func readingFleet() *sqfleet.Table {
	table := sqfleet.New(sqfleet.Config{}, 100)
	var list []sqfleet.EndpointConfig
	for _, id := range []string{"e1", "e2", "e3"} {
		list = append(list, sqfleet.EndpointConfig{ID: id, Address: id, Kind: sqfleet.EngineKind, State: sqfleet.Live})
	}
	table.ApplyList(start(), list)
	return table
}

// report is the watch of an entry that read the endpoint at a place.
func report(entry string, revision uint64, place, running uint32, age time.Duration) *sqrpc.WatchRequest {
	return &sqrpc.WatchRequest{Entry: entry, KnownFleetRevision: revision, Readings: &sqrpc.Readings{
		Places: []uint32{place}, Ages: []uint32{uint32(age / (10 * time.Millisecond))}, Running: []uint32{running},
		Queued: []uint32{0}, PrefillTokens: []uint32{10}, DecodeTokens: []uint32{20},
	}}
}

func filled(r *readingTable, now time.Time, fleet *sqfleet.Table, entry string, known uint64) *sqrpc.WatchResponse {
	res := &sqrpc.WatchResponse{}
	r.fill(now, fleet, &sqrpc.WatchRequest{Entry: entry, KnownReadings: known}, res)
	return res
}

func TestReadingsReachTheOthersOnce(t *testing.T) {
	fleet := readingFleet()
	r := newReadingTable(7)
	now := start()
	r.take(now, fleet, report("a", fleet.Revision(), 1, 4, 100*time.Millisecond))
	later := now.Add(200 * time.Millisecond)
	res := filled(r, later, fleet, "b", 0)
	assert.DeepEqual(t, res.GetReadings().GetPlaces(), []uint32{1})
	assert.DeepEqual(t, res.GetReadings().GetRunning(), []uint32{4})
	assert.DeepEqual(t, res.GetReadings().GetAges(), []uint32{30})
	assert.Assert(t, filled(r, later, fleet, "b", res.GetReadingsUntil()).GetReadings() == nil, "known already")
	assert.Assert(t, filled(r, later, fleet, "a", 0).GetReadings() == nil, "its own")
	r.take(later, fleet, report("c", fleet.Revision(), 1, 4, 0))
	assert.Assert(t, filled(r, later, fleet, "b", res.GetReadingsUntil()).GetReadings() == nil, "the same just after")
	r.take(later, fleet, report("c", fleet.Revision(), 1, 9, 350*time.Millisecond))
	assert.Assert(t, filled(r, later, fleet, "b", res.GetReadingsUntil()).GetReadings() == nil, "an older one")
	old := now.Add(time.Minute)
	assert.Assert(t, filled(r, old, fleet, "b", 0).GetReadings() == nil, "too old to hand on")
}

func TestReadingsOfAnotherListCountForNothing(t *testing.T) {
	fleet := readingFleet()
	r := newReadingTable(0)
	r.take(start(), fleet, report("a", fleet.Revision()-1, 1, 4, 0))
	r.take(start(), fleet, report("a", fleet.Revision(), 3, 4, 0))
	cut := report("a", fleet.Revision(), 1, 4, 0)
	cut.Readings.Queued = nil
	r.take(start(), fleet, cut)
	assert.Assert(t, filled(r, start(), fleet, "b", 0).GetReadings() == nil)
}

// TestSilenceNeedsAllReaders: an endpoint is silent when one reader says so and
// no other has heard of it for a while; the next reading ends it.
func TestSilenceNeedsAllReaders(t *testing.T) {
	fleet := readingFleet()
	r := newReadingTable(0)
	now := start()
	silent := &sqrpc.WatchRequest{Entry: "a", KnownFleetRevision: fleet.Revision(), Readings: &sqrpc.Readings{Silent: []uint32{2}}}
	r.take(now, fleet, report("c", fleet.Revision(), 2, 1, 0))
	r.take(now.Add(silentAfter/2), fleet, silent)
	assert.Equal(t, len(filled(r, now.Add(silentAfter/2), fleet, "b", 0).GetReadings().GetSilent()), 0)
	now = now.Add(silentAfter)
	r.take(now, fleet, silent)
	assert.DeepEqual(t, filled(r, now, fleet, "b", 0).GetReadings().GetSilent(), []uint32{2})
	now = now.Add(time.Second)
	r.take(now, fleet, report("c", fleet.Revision(), 2, 1, 0))
	res := filled(r, now, fleet, "b", 0)
	assert.Equal(t, len(res.GetReadings().GetSilent()), 0)
	assert.DeepEqual(t, res.GetReadings().GetPlaces(), []uint32{2})
}

// TestWorkByPlace: an entry's work comes back under the endpoints' names, and
// the others get the sums of the endpoints that nobody has read just before.
func TestWorkByPlace(t *testing.T) {
	tn := newTenure(Config{Timings: Timings{Fresh: 3 * time.Second}}, newTermNumbers(1), start(), start(), nil)
	tn.fleet, tn.listed = readingFleet(), true
	now := start()
	work := func(entry string, revision uint64) *sqrpc.WatchRequest {
		return &sqrpc.WatchRequest{Entry: entry, Run: "run", KnownFleetRevision: revision, Work: &sqrpc.Readings{
			Places: []uint32{0, 2}, Running: []uint32{3, 4}, PrefillTokens: []uint32{30, 40}, DecodeTokens: []uint32{5, 6},
		}}
	}
	take := func(req *sqrpc.WatchRequest) {
		tn.takeLoads(now, req)
		tn.demand.record(now, req)
	}
	take(work("a", tn.fleet.Revision()))
	take(work("a", tn.fleet.Revision()-1))
	tn.readings.take(now, tn.fleet, report("c", tn.fleet.Revision(), 2, 9, 0))
	res := &sqrpc.WatchResponse{}
	tn.readings.fillWork(now, tn.fleet, tn.demand.otherWork(now, "b"), res)
	assert.DeepEqual(t, res.GetOtherWork().GetPlaces(), []uint32{0})
	assert.DeepEqual(t, res.GetOtherWork().GetRunning(), []uint32{3})
	tn.readings.fillWork(now.Add(knownFor), tn.fleet, tn.demand.otherWork(now, "b"), res)
	assert.DeepEqual(t, res.GetOtherWork().GetPlaces(), []uint32{0, 2})
	assert.DeepEqual(t, res.GetOtherWork().GetRunning(), []uint32{3, 4})
	assert.Equal(t, len(tn.demand.otherWork(now, "a")), 0)
}
