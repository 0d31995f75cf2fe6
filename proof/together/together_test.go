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

// config returns settings under which the deployment sends many orders of every kind.
func config() sqcluster.Config {
	return sqcluster.Config{
		ProxyControls: true, ProxyPlatform: true,
		Fleet:         sqfleet.Settings{Engines: sqfleet.EngineSettings{Count: 4, SpotCount: 3}},
		ControlPolicy: map[string]string{"roles": "reactive"},
		ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200, "freshMillis": 1000},
		EntryTiming:   map[string]int{"freshMillis": 1000, "watchMillis": 100},
		Declarations:  sqcluster.Declarations{BillingWindow: 2 * time.Second, OrdersEnabled: true, MinEngines: 4, MaxEngines: 10},
	}
}

func startRun(t *testing.T, cfg sqcluster.Config) *testRun {
	t.Helper()
	folder, err := sqcluster.TestFolder(t.TempDir(), t.Name())
	assert.NilError(t, err)
	cfg.Folder = folder
	c, err := sqcluster.Start(t.Context(), cfg)
	assert.NilError(t, err)
	t.Cleanup(c.Kill)
	return &testRun{t: t, c: c, stop: make(chan struct{}), targetsInUse: map[string]bool{}, interrupted: map[string]bool{}, keysGranted: map[string]bool{}}
}

// TestConcurrentFaults kills, pauses, partitions, stops and crashes parts of the
// deployment, several at a time, while callers send chat requests and bookings, roles
// and the fleet change, and operators publish declarations and grant and withdraw
// keys. No guarantee may be violated, and every entry serves again once the faults
// are over.
func TestConcurrentFaults(t *testing.T) {
	r := startRun(t, config())
	load := r.startLoad()
	demand := r.c.StartDemandReporter(2 * time.Second)
	for i := range concurrentFaults() {
		r.wg.Go(func() { r.injectFaults(uint64(i)) })
	}
	r.wg.Go(r.publishRepeatedly)
	r.wg.Go(r.grantAndWithdraw)
	for _, e := range r.c.Entries() {
		r.wg.Go(func() { r.checkVersions(e) })
	}
	time.Sleep(runDuration())
	close(r.stop)
	r.wg.Wait()
	demand.Stop()
	report := <-load
	r.expectServing()
	r.checkInvariants(report)
}

func (r *testRun) checkInvariants(report *sqmix.Report) {
	t := r.t
	entries, err := r.c.RecordEntries()
	assert.NilError(t, err)
	r.c.Kill()
	noViolations := []string(nil)
	runs := sqjudge.RunCounts(entries)
	for _, call := range report.Bookings {
		if call.Outcome == sqcaller.NotRun && runs[call.Identity] > 0 {
			t.Logf("%s after %d attempts: %+v", call.Identity, call.Attempts, call.Refusal)
		}
	}
	assert.DeepEqual(t, sqjudge.CallViolations(entries, report.Bookings), noViolations)
	assert.DeepEqual(t, sqjudge.StaleOrders(entries), noViolations)
	assert.DeepEqual(t, sqjudge.InconsistentReports(entries), noViolations)
	assert.DeepEqual(t, sqjudge.LeakedKeys(entries), noViolations)
	failures, err := sqjudge.RuntimeFailures(r.c.Folder())
	assert.NilError(t, err)
	assert.DeepEqual(t, failures, noViolations)
	assert.Equal(t, report.Count("chat wrong"), 0, "%+v", report.Failures)
	for _, f := range report.Failures {
		unexplained := f.Outcome == sqcaller.Truncated && !r.interrupted[f.Address]
		assert.Assert(t, !unexplained, "%+v", f)
	}
	t.Logf("%+v; version %d in force; %d keys", report.Outcomes, r.versionInForce, len(r.keysGranted))
	assert.Assert(t, report.Count("chat whole") > 0 && report.Count("call whole") > 0)
}
