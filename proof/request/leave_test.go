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

// noNewWork bounds the time from a VM's notice to the last new work that it is
// sent.
const noNewWork = 3 * time.Second

type reclaim struct {
	Zone         string `json:"zone"`
	NoticeMillis int    `json:"noticeMillis"`
}

type leave struct {
	VM           string `json:"vm"`
	NoticeMillis int    `json:"noticeMillis"`
}

// cheapFleet has one on-demand and one spot engine in each zone, with small batches
// so that the load needs several of them.
func cheapFleet() sqfleet.Settings {
	return sqfleet.Settings{
		Engines:  sqfleet.EngineSettings{Count: 3, CheapCount: 3, Batch: 4},
		Platform: sqfleet.PlatformSettings{ListLagMillis: 10_000},
	}
}

// heavyMix keeps several engines of cheapFleet busy with long answers.
func heavyMix(seed uint64) sqmix.Config {
	cfg := smallMix(seed)
	cfg.Rate = 35
	cfg.Telling.AnswerLow, cfg.Telling.AnswerHigh = 300, 700
	return cfg
}

// TestCheapZoneGone takes all spot engines of a zone away with three seconds'
// notice, and then those of another zone with none, under load and while they
// stream. No caller may notice.
func TestCheapZoneGone(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: cheapFleet()})
	l := startLoad(t, c, heavyMix(41))
	for _, notice := range []int{3000, 0} {
		e := waitBusy(t, c, func(e sqfleet.Endpoint) bool { return e.Cheap })
		assert.NilError(t, c.Tell(c.Ready().Platform, "/standin/reclaim", reclaim{Zone: e.Zone, NoticeMillis: notice}, nil))
		waitGone(t, c, e.ID)
		waitCalls(t, c, 20)
		cut := cuts(record(t, c), e.ID)
		t.Logf("%s of %s went with %d ms notice and cut %d requests", e.ID, e.Zone, notice, cut)
		assert.Assert(t, notice > 0 || cut > 0, "no request ran where the endpoint went")
	}
	r := l.finish()
	judgeAllWhole(t, r)
	noKeySeen(t, record(t, c))
}

// waitBusy waits until an endpoint has several requests that run, and returns
// the busiest.
func waitBusy(t *testing.T, c *sqcluster.Cluster, ok func(sqfleet.Endpoint) bool) sqfleet.Endpoint {
	t.Helper()
	const enough = 3
	var busiest sqfleet.Endpoint
	assert.NilError(t, c.Eventually(context.Background(), "an engine is busy", func() bool {
		entries := record(t, c)
		most := 0
		for _, e := range c.Endpoints("engine") {
			if find(entries, sqrecord.VMLeaving, e.ID) != nil || !ok(e) {
				continue
			}
			if n := running(entries, e.ID); n > most {
				busiest, most = e, n
			}
		}
		return most >= enough
	}))
	return busiest
}

// running counts the requests that run at an endpoint.
func running(entries []sqrecord.Entry, vm string) int {
	open := map[string]bool{}
	for _, e := range entries {
		if e.Source != vm {
			continue
		}
		switch e.Kind {
		case sqrecord.RequestStarted, sqrecord.RequestResumed:
			open[e.RequestID] = true
		case sqrecord.RequestEnded, sqrecord.RequestCanceled, sqrecord.RequestCut:
			delete(open, e.RequestID)
		}
	}
	return len(open)
}

func cuts(entries []sqrecord.Entry, vm string) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.RequestCut && e.Source == vm {
			n++
		}
	}
	return n
}

// waitGone waits until a VM is gone.
func waitGone(t *testing.T, c *sqcluster.Cluster, vm string) {
	t.Helper()
	assert.NilError(t, c.Eventually(context.Background(), vm+" is gone", func() bool {
		return find(record(t, c), sqrecord.VMGone, vm) != nil
	}))
}

func find(entries []sqrecord.Entry, kind, argument string) *sqrecord.Entry {
	for _, e := range entries {
		if e.Kind == kind && e.Argument == argument {
			return &e
		}
	}
	return nil
}

func anyEngine(sqfleet.Endpoint) bool { return true }

// TestLeavingEndpointGetsNoNewWork gives a busy engine notice. Three seconds
// after it nothing new may start there, and nothing is cut when it goes.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: cheapFleet()})
	l := startLoad(t, c, heavyMix(43))
	vm := waitBusy(t, c, anyEngine).ID
	assert.NilError(t, c.Tell(c.Ready().Platform, "/standin/leave", leave{VM: vm, NoticeMillis: 5000}, nil))
	waitGone(t, c, vm)
	r := l.finish()
	entries := record(t, c)
	notice := time.Unix(0, find(entries, sqrecord.VMLeaving, vm).AtUnixNano)
	expectNoNewWork(t, r, entries, vm, notice)
}

// TestDrainedEndpointGetsNoNewWork drains a busy engine by an operator's
// command.
func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: cheapFleet()})
	l := startLoad(t, c, heavyMix(47))
	vm := waitBusy(t, c, anyEngine).ID
	_, err := c.MustOperate(context.Background(), "", "drain", vm)
	assert.NilError(t, err)
	drained := time.Now()
	sleepUntil(drained.Add(noNewWork))
	waitCalls(t, c, 20)
	expectNoNewWork(t, l.finish(), record(t, c), vm, drained)
}

// expectNoNewWork checks that an endpoint had work, was sent nothing new after
// a while, and that no request was cut or failed.
func expectNoNewWork(t *testing.T, r *sqmix.Report, entries []sqrecord.Entry, vm string, told time.Time) {
	t.Helper()
	judgeAllWhole(t, r)
	noneCut(t, entries)
	last := lastStart(entries, vm)
	assert.Assert(t, !last.IsZero(), "%s never had work", vm)
	t.Logf("the last new work at %s came %v after it was told to go", vm, last.Sub(told).Round(time.Millisecond))
	assert.Assert(t, last.Before(told.Add(noNewWork)))
}

func lastStart(entries []sqrecord.Entry, vm string) time.Time {
	last := time.Time{}
	for _, e := range entries {
		if e.Kind == sqrecord.RequestStarted && e.Source == vm {
			last = time.Unix(0, e.AtUnixNano)
		}
	}
	return last
}
