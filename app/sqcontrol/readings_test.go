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
		list = append(list, sqfleet.EndpointConfig{ID: id, Address: id, Kind: sqfleet.KindEngine, State: sqfleet.Live})
	}
	table.ApplyList(start(), list)
	return table
}

// readingReport returns the watch of an entry that read the endpoint at a place.
func readingReport(entry string, revision uint64, place, running uint32, age time.Duration) *sqrpc.WatchRequest {
	return &sqrpc.WatchRequest{Entry: entry, KnownFleetRevision: revision, Readings: &sqrpc.Readings{
		Places: []uint32{place}, Ages: []uint32{uint32(age / (10 * time.Millisecond))}, Running: []uint32{running},
		Queued: []uint32{0}, PrefillTokens: []uint32{10}, DecodeTokens: []uint32{20},
	}}
}

func fillReadingsFor(r *readingTable, now time.Time, fleet *sqfleet.Table, entry string, known uint64) *sqrpc.WatchResponse {
	res := &sqrpc.WatchResponse{}
	r.fillReadings(now, fleet, &sqrpc.WatchRequest{Entry: entry, KnownReadings: known}, res)
	return res
}

func TestReadingsForwardedOnce(t *testing.T) {
	fleet := readingFleet()
	r := newReadingTable(7)
	now := start()
	r.recordReport(now, fleet, readingReport("a", fleet.Revision(), 1, 4, 100*time.Millisecond))
	later := now.Add(200 * time.Millisecond)
	res := fillReadingsFor(r, later, fleet, "b", 0)
	assert.DeepEqual(t, res.GetReadings().GetPlaces(), []uint32{1})
	assert.DeepEqual(t, res.GetReadings().GetRunning(), []uint32{4})
	assert.DeepEqual(t, res.GetReadings().GetAges(), []uint32{30})
	assert.Assert(t, fillReadingsFor(r, later, fleet, "b", res.GetReadingsUntil()).GetReadings() == nil, "an already known reading")
	assert.Assert(t, fillReadingsFor(r, later, fleet, "a", 0).GetReadings() == nil, "its own reading")
	r.recordReport(later, fleet, readingReport("c", fleet.Revision(), 1, 4, 0))
	assert.Assert(t, fillReadingsFor(r, later, fleet, "b", res.GetReadingsUntil()).GetReadings() == nil, "an unchanged reading")
	r.recordReport(later, fleet, readingReport("c", fleet.Revision(), 1, 9, 350*time.Millisecond))
	assert.Assert(t, fillReadingsFor(r, later, fleet, "b", res.GetReadingsUntil()).GetReadings() == nil, "an older reading")
	old := now.Add(time.Minute)
	assert.Assert(t, fillReadingsFor(r, old, fleet, "b", 0).GetReadings() == nil, "too old to forward")
}

func TestReadingsOfOtherRevisionIgnored(t *testing.T) {
	fleet := readingFleet()
	r := newReadingTable(0)
	r.recordReport(start(), fleet, readingReport("a", fleet.Revision()-1, 1, 4, 0))
	r.recordReport(start(), fleet, readingReport("a", fleet.Revision(), 3, 4, 0))
	truncated := readingReport("a", fleet.Revision(), 1, 4, 0)
	truncated.Readings.Queued = nil
	r.recordReport(start(), fleet, truncated)
	assert.Assert(t, fillReadingsFor(r, start(), fleet, "b", 0).GetReadings() == nil)
}

// TestSilenceIgnoredAfterRecentReading checks that an endpoint counts as silent
// once one entry reports so and no other entry has read the endpoint for
// minSilence. The next reading ends the silence.
func TestSilenceIgnoredAfterRecentReading(t *testing.T) {
	fleet := readingFleet()
	r := newReadingTable(0)
	now := start()
	silent := &sqrpc.WatchRequest{Entry: "a", KnownFleetRevision: fleet.Revision(), Readings: &sqrpc.Readings{Silent: []uint32{2}}}
	r.recordReport(now, fleet, readingReport("c", fleet.Revision(), 2, 1, 0))
	r.recordReport(now.Add(minSilence/2), fleet, silent)
	assert.Equal(t, len(fillReadingsFor(r, now.Add(minSilence/2), fleet, "b", 0).GetReadings().GetSilent()), 0)
	now = now.Add(minSilence)
	r.recordReport(now, fleet, silent)
	assert.DeepEqual(t, fillReadingsFor(r, now, fleet, "b", 0).GetReadings().GetSilent(), []uint32{2})
	now = now.Add(time.Second)
	r.recordReport(now, fleet, readingReport("c", fleet.Revision(), 2, 1, 0))
	res := fillReadingsFor(r, now, fleet, "b", 0)
	assert.Equal(t, len(res.GetReadings().GetSilent()), 0)
	assert.DeepEqual(t, res.GetReadings().GetPlaces(), []uint32{2})
}

// TestWorkByEndpointIndex checks that an entry's work is resolved to the endpoints'
// ids, and that the other entries receive the sums for the endpoints without a
// recent reading.
func TestWorkByEndpointIndex(t *testing.T) {
	term := newTermState(Config{Timings: Timings{FreshnessLease: 3 * time.Second}}, newTermCounters(1), start(), start(), nil)
	term.fleet, term.listRead = readingFleet(), true
	now := start()
	work := func(entry string, revision uint64) *sqrpc.WatchRequest {
		return &sqrpc.WatchRequest{Entry: entry, Run: "run", KnownFleetRevision: revision, Work: &sqrpc.Readings{
			Places: []uint32{0, 2}, Running: []uint32{3, 4}, PrefillTokens: []uint32{30, 40}, DecodeTokens: []uint32{5, 6},
		}}
	}
	take := func(req *sqrpc.WatchRequest) {
		term.applyLoads(now, req)
		term.demand.record(now, req)
	}
	take(work("a", term.fleet.Revision()))
	take(work("a", term.fleet.Revision()-1))
	term.readings.recordReport(now, term.fleet, readingReport("c", term.fleet.Revision(), 2, 9, 0))
	res := &sqrpc.WatchResponse{}
	term.readings.fillWork(now, term.fleet, term.demand.otherWork(now, "b"), res)
	assert.DeepEqual(t, res.GetOtherWork().GetPlaces(), []uint32{0})
	assert.DeepEqual(t, res.GetOtherWork().GetRunning(), []uint32{3})
	term.readings.fillWork(now.Add(recentReadingAge), term.fleet, term.demand.otherWork(now, "b"), res)
	assert.DeepEqual(t, res.GetOtherWork().GetPlaces(), []uint32{0, 2})
	assert.DeepEqual(t, res.GetOtherWork().GetRunning(), []uint32{3, 4})
	assert.Equal(t, len(term.demand.otherWork(now, "a")), 0)
}
