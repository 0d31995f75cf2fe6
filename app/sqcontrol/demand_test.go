package sqcontrol

import (
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqmember"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqrpc"
)

func TestBurnCountsPerRun(t *testing.T) {
	d := newDemandTable(time.Minute)
	expect := func(run string, good, late uint32, want map[burnKey]burnCount) {
		t.Helper()
		got := d.record(start(), &sqrpc.WatchRequest{Entry: "n1", Run: run, Counts: []*sqrpc.BurnCount{
			{Team: "a", Service: "s", Good: uint64(good), Late: uint64(late), Failed: 1, Refused: 2},
		}})
		assert.Equal(t, len(got), len(want))
		for key, n := range want {
			assert.Equal(t, got[key], n)
		}
	}
	key := burnKey{team: "a", service: "s"}
	expect("run1", 10, 0, nil)
	expect("run1", 15, 3, map[burnKey]burnCount{key: {good: 5, bad: 3}})
	expect("run1", 15, 3, nil)
	expect("run2", 99, 9, nil)
	expect("run2", 98, 9, nil)
	expect("run2", 99, 9, map[burnKey]burnCount{key: {good: 1}})
}

func TestSumDemands(t *testing.T) {
	d := newDemandTable(3 * time.Second)
	record := func(at time.Duration, entry string, prefill, decode, onDemandShare uint64) {
		d.record(start().Add(at), &sqrpc.WatchRequest{
			Entry: entry, Run: "run",
			Models: []*sqrpc.ModelDemand{{
				Model: "m", PrefillArrived: prefill, DecodeArrived: decode, DearArrived: onDemandShare,
				PrefillOpen: 100, DecodeOpen: 10, PrefillSpeed: 500, DecodeSpeed: 50,
			}},
			Loads: []*sqrpc.EndpointLoad{{Endpoint: "e1", Running: 2, PrefillTokens: 30, DecodeTokens: 4}},
		})
	}
	for s := range 60 {
		at := time.Duration(s) * time.Second
		record(at, "n1", uint64(s)*1000, uint64(s)*100, uint64(s)*275)
		record(at, "n2", uint64(s)*1000, uint64(s)*100, 0)
	}
	end := start().Add(59 * time.Second)
	demands, onDemandShare := sumDemands(end, d)
	assert.Equal(t, len(demands), 1)
	near(t, demands[0].PrefillArrivalRate, 2000)
	near(t, demands[0].DecodeArrivalRate, 200)
	near(t, demands[0].PrefillOutstanding, 200)
	near(t, demands[0].DecodeOutstanding, 20)
	assert.Equal(t, demands[0].EnginePrefillRate, 500.0)
	near(t, onDemandShare, 0.125)

	others := d.otherLoads(end, "n1")
	assert.Equal(t, len(others), 1)
	assert.Equal(t, others[0].GetRunning(), uint32(2))
	assert.Equal(t, len(d.otherLoads(end, "n3")), 1)
	assert.Equal(t, d.otherLoads(end, "n3")[0].GetPrefillTokens(), uint64(60))

	// Reports older than a freshness lease are ignored.
	demands, onDemandShare = sumDemands(end.Add(4*time.Second), d)
	assert.Equal(t, len(demands), 0)
	assert.Equal(t, onDemandShare, 0.0)
}

// TestOtherWorkMatchesNaive generates reports that arrive, change and grow old, and
// compares the maintained sums with an iteration over all reports.
func TestOtherWorkMatchesNaive(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	names := []string{"n1", "n2", "n3", "n4"}
	d := newDemandTable(3 * time.Second)
	now := start()
	for step := range 2000 {
		now = now.Add(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		req := &sqrpc.WatchRequest{Entry: names[rnd.IntN(len(names))], Run: "run"}
		for _, id := range []string{"e1", "e2", "e3"} {
			if n := rnd.Uint32N(4); n > 0 {
				req.Loads = append(req.Loads, &sqrpc.EndpointLoad{Endpoint: id, Running: n, PrefillTokens: uint64(10 * n)})
			}
		}
		d.record(now, req)
		self := names[rnd.IntN(len(names))]
		got, want := d.otherWork(now, self), naiveOtherWork(d, now, self)
		assert.Assert(t, maps.Equal(got, want), "step %d: %v, naive %v", step, got, want)
	}
}

func naiveOtherWork(d *demandTable, now time.Time, self string) map[string]workSum {
	sums := map[string]workSum{}
	for name, rep := range d.reports {
		if name == self || now.Sub(rep.receivedAt) > d.maxReportAge {
			continue
		}
		for _, l := range rep.loads {
			sums[l.GetEndpoint()] = sums[l.GetEndpoint()].add(l)
		}
	}
	return sums
}

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 0.01*want, "got %v, want %v", got, want)
}

func TestSmoothedRate(t *testing.T) {
	m := smoothedRate{}.update(500, time.Second, true)
	assert.Equal(t, m.rate, 0.0)
	m = m.update(800, time.Second, false)
	near(t, m.rate, 300*(1-math.Exp(-1.0/3)))
	// A count that decreased is a new starting point.
	before := m.rate
	m = m.update(10, time.Second, false)
	assert.Equal(t, m.rate, before)
	m = m.update(10, 0, false)
	assert.Equal(t, m.rate, before)
	m = m.update(10, time.Hour, false)
	near(t, m.rate, 0)
}

func TestEntryList(t *testing.T) {
	term := newTestTermState()
	h := &holder{machine: sqmachine.New()}
	watch := func(req *sqrpc.WatchRequest) *sqrpc.WatchResponse {
		term.entries.Renew(start(), sqmember.Heartbeat{Entry: req.GetEntry(), Address: req.GetAddress(), Leaving: req.GetLeaving()})
		res := &sqrpc.WatchResponse{}
		h.fillEntries(start(), term, req, res)
		return res
	}
	first := watch(&sqrpc.WatchRequest{Entry: "n1", Address: "a1"})
	assert.Equal(t, len(first.GetEntries()), 1)
	again := watch(&sqrpc.WatchRequest{Entry: "n1", Address: "a1", KnownEntries: first.GetEntriesHash()})
	assert.Equal(t, len(again.GetEntries()), 0)
	assert.Equal(t, again.GetEntriesHash(), first.GetEntriesHash())

	second := watch(&sqrpc.WatchRequest{Entry: "n2", Address: "a2"})
	assert.Equal(t, len(second.GetEntries()), 2)
	leaving := watch(&sqrpc.WatchRequest{Entry: "n2", Address: "a2", Leaving: true, KnownEntries: second.GetEntriesHash()})
	assert.Equal(t, len(leaving.GetEntries()), 2)
	assert.Assert(t, leaving.GetEntriesHash() != second.GetEntriesHash())
	// The other entries receive the change in their next watch.
	assert.Equal(t, len(watch(&sqrpc.WatchRequest{Entry: "n1", Address: "a1", KnownEntries: first.GetEntriesHash()}).GetEntries()), 2)
}
