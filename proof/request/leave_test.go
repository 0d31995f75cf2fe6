package request

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

// maxNewWorkTime bounds the time from a VM's notice, or the operator's drain, to the
// start of the last new request on it.
const maxNewWorkTime = 3 * time.Second

type reclaimRequest struct {
	Zone         string `json:"zone"`
	NoticeMillis int    `json:"noticeMillis"`
}

type leaveRequest struct {
	VM           string `json:"vm"`
	NoticeMillis int    `json:"noticeMillis"`
}

// fleetWithCheapEngines has one on-demand and one spot engine in each zone, with small
// batches so that the load needs several of them.
func fleetWithCheapEngines() sqfleet.Settings {
	return sqfleet.Settings{
		Engines:  sqfleet.EngineSettings{Count: 3, SpotCount: 3, MaxBatch: 4},
		Platform: sqfleet.PlatformSettings{ListLagMillis: 10_000},
	}
}

// longAnswerLoad returns a load whose long answers keep several engines of
// fleetWithCheapEngines busy.
func longAnswerLoad(seed uint64) sqmix.Config {
	cfg := lightLoad(seed)
	cfg.ChatRate = 35
	cfg.LongAnswer.AnswerMin, cfg.LongAnswer.AnswerMax = 300, 700
	return cfg
}

// TestCheapEnginesOfZoneReclaimed takes all spot engines of a zone away with three
// seconds' notice, and then those of another zone with none, under load and while
// they stream. No caller may notice.
func TestCheapEnginesOfZoneReclaimed(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: fleetWithCheapEngines()})
	l := startLoad(t, c, longAnswerLoad(41))
	for _, notice := range []int{3000, 0} {
		e := waitForBusyEngine(t, c, func(e sqfleet.Endpoint) bool { return e.Spot })
		assert.NilError(t, c.PostJSON(c.StandinAddresses().Platform, "/standin/reclaim", reclaimRequest{Zone: e.Zone, NoticeMillis: notice}, nil))
		waitForVMGone(t, c, e.ID)
		waitForCalls(t, c, 20)
		cutCount := countCuts(records(t, c), e.ID)
		t.Logf("%s in %s was reclaimed with %d ms notice and cut off %d requests", e.ID, e.Zone, notice, cutCount)
		assert.Assert(t, notice > 0 || cutCount > 0, "no request ran on the reclaimed endpoint")
	}
	r := l.finish()
	assertAllWhole(t, r)
	assertNoKeyLeaked(t, records(t, c))
}

// waitForBusyEngine waits until an engine that ok accepts and that is not leaving
// runs several requests, and returns the busiest one.
func waitForBusyEngine(t *testing.T, c *sqcluster.Cluster, ok func(sqfleet.Endpoint) bool) sqfleet.Endpoint {
	t.Helper()
	const minRunning = 3
	var busiest sqfleet.Endpoint
	assert.NilError(t, c.Eventually(context.Background(), "an engine is busy", func() bool {
		entries := records(t, c)
		most := 0
		for _, e := range c.Endpoints("engine") {
			if findRecord(entries, sqrecord.VMLeaving, e.ID) != nil || !ok(e) {
				continue
			}
			if n := countRunning(entries, e.ID); n > most {
				busiest, most = e, n
			}
		}
		return most >= minRunning
	}))
	return busiest
}

// countRunning returns the number of requests that are running on a VM.
func countRunning(entries []sqrecord.Entry, vm string) int {
	open := map[string]bool{}
	for _, e := range entries {
		if e.Source != vm {
			continue
		}
		switch e.Kind {
		case sqrecord.RequestStarted, sqrecord.RequestResumed:
			open[e.RequestID] = true
		case sqrecord.RequestEnded, sqrecord.RequestCanceled, sqrecord.RequestAborted:
			delete(open, e.RequestID)
		}
	}
	return len(open)
}

func countCuts(entries []sqrecord.Entry, vm string) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.RequestAborted && e.Source == vm {
			n++
		}
	}
	return n
}

// waitForVMGone waits until the records show that a VM is gone.
func waitForVMGone(t *testing.T, c *sqcluster.Cluster, vm string) {
	t.Helper()
	assert.NilError(t, c.Eventually(context.Background(), vm+" is gone", func() bool {
		return findRecord(records(t, c), sqrecord.VMRemoved, vm) != nil
	}))
}

func findRecord(entries []sqrecord.Entry, kind, argument string) *sqrecord.Entry {
	for _, e := range entries {
		if e.Kind == kind && e.Argument == argument {
			return &e
		}
	}
	return nil
}

func anyEngine(sqfleet.Endpoint) bool { return true }

// TestLeavingEndpointGetsNoNewWork gives a busy engine notice. Three seconds
// later no new request may start on it, and no request is cut off when its VM goes.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: fleetWithCheapEngines()})
	l := startLoad(t, c, longAnswerLoad(43))
	vm := waitForBusyEngine(t, c, anyEngine).ID
	assert.NilError(t, c.PostJSON(c.StandinAddresses().Platform, "/standin/leave", leaveRequest{VM: vm, NoticeMillis: 5000}, nil))
	waitForVMGone(t, c, vm)
	r := l.finish()
	entries := records(t, c)
	notice := time.Unix(0, findRecord(entries, sqrecord.VMLeaving, vm).AtUnixNano)
	assertNoNewWork(t, r, entries, vm, notice)
}

// TestDrainedEndpointGetsNoNewWork drains a busy engine by the operator's
// command. From maxNewWorkTime on no new request may start on it.
func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: fleetWithCheapEngines()})
	l := startLoad(t, c, longAnswerLoad(47))
	vm := waitForBusyEngine(t, c, anyEngine).ID
	_, err := c.CommandOutput(context.Background(), "", "drain", vm)
	assert.NilError(t, err)
	drained := time.Now()
	sleepUntil(drained.Add(maxNewWorkTime))
	waitForCalls(t, c, 20)
	assertNoNewWork(t, l.finish(), records(t, c), vm, drained)
}

// assertNoNewWork checks that a VM ran requests, that none started on it later than
// maxNewWorkTime after noticeTime, and that no request was cut off or failed.
func assertNoNewWork(t *testing.T, r *sqmix.Report, entries []sqrecord.Entry, vm string, noticeTime time.Time) {
	t.Helper()
	assertAllWhole(t, r)
	assertNoneCut(t, entries)
	last := lastStartTime(entries, vm)
	assert.Assert(t, !last.IsZero(), "%s never ran a request", vm)
	t.Logf("the last new request on %s started %v after the notice", vm, last.Sub(noticeTime).Round(time.Millisecond))
	assert.Assert(t, last.Before(noticeTime.Add(maxNewWorkTime)))
}

func lastStartTime(entries []sqrecord.Entry, vm string) time.Time {
	last := time.Time{}
	for _, e := range entries {
		if e.Kind == sqrecord.RequestStarted && e.Source == vm {
			last = time.Unix(0, e.AtUnixNano)
		}
	}
	return last
}
