package together

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
)

func TestMain(m *testing.M) { sqcluster.Main(m) }

// config is a deployment that gives many orders of every kind.
func config() sqcluster.Config {
	return sqcluster.Config{
		ProxyControls: true, ProxyPlatform: true,
		Fleet:         sqfleet.Settings{Engines: sqfleet.EngineSettings{Count: 4, CheapCount: 3}},
		ControlPolicy: map[string]string{"roles": "reactive"},
		ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200, "freshMillis": 1000},
		EntryTiming:   map[string]int{"freshMillis": 1000, "watchMillis": 100},
		Declarations:  sqcluster.Declarations{BillingWindow: 2 * time.Second, OrdersEnabled: true, MinEngines: 4, MaxEngines: 10},
	}
}

func start(t *testing.T, cfg sqcluster.Config) *run {
	t.Helper()
	folder, err := sqcluster.TestFolder(t.TempDir(), t.Name())
	assert.NilError(t, err)
	cfg.Folder = folder
	c, err := sqcluster.Start(t.Context(), cfg)
	assert.NilError(t, err)
	t.Cleanup(c.Kill)
	return &run{t: t, c: c, stop: make(chan struct{}), busy: map[string]bool{}, mayBeCut: map[string]bool{}, keys: map[string]bool{}}
}

// TestFaultsTogether kills, pauses, cuts off, stops and crashes whatever the
// deployment has, several at a time, while callers ask and book, roles and the fleet
// change, and operators publish, grant and withdraw. No promise may break, and
// everything works again once the faults are over.
func TestFaultsTogether(t *testing.T) {
	r := start(t, config())
	load := r.startLoad()
	demand := r.c.StartDemandReporter(2 * time.Second)
	for i := range faultsAtOnce() {
		r.wg.Go(func() { r.injectFaults(uint64(i)) })
	}
	r.wg.Go(r.publish)
	r.wg.Go(r.grantAndWithdraw)
	for _, e := range r.c.Entries() {
		r.wg.Go(func() { r.probe(e) })
	}
	time.Sleep(runTime())
	close(r.stop)
	r.wg.Wait()
	demand.Stop()
	report := <-load
	r.expectHealed()
	r.judge(report)
}

func (r *run) judge(report *sqmix.Report) {
	t := r.t
	entries, err := r.c.RecordEntries()
	assert.NilError(t, err)
	r.c.Kill()
	none := []string(nil)
	runs := sqjudge.RunCounts(entries)
	for _, call := range report.Calls {
		if call.Outcome == sqcaller.NotRun && runs[call.Identity] > 0 {
			t.Logf("%s after %d attempts: %+v", call.Identity, call.Attempts, call.Refusal)
		}
	}
	assert.DeepEqual(t, sqjudge.CallViolations(entries, report.Calls), none)
	assert.DeepEqual(t, sqjudge.StaleOrders(entries), none)
	assert.DeepEqual(t, sqjudge.InconsistentReports(entries), none)
	assert.DeepEqual(t, sqjudge.LeakedKeys(entries), none)
	breakdowns, err := sqjudge.RuntimeFailures(r.c.Folder())
	assert.NilError(t, err)
	assert.DeepEqual(t, breakdowns, none)
	assert.Equal(t, report.Count("chat wrong"), 0, "%+v", report.Failures)
	for _, f := range report.Failures {
		silent := f.Outcome == sqcaller.Cut && !r.mayBeCut[f.Address]
		assert.Assert(t, !silent, "%+v", f)
	}
	t.Logf("%+v; version %d in force; %d keys", report.Outcomes, r.inForce, len(r.keys))
	assert.Assert(t, report.Count("chat whole") > 0 && report.Count("call whole") > 0)
}
