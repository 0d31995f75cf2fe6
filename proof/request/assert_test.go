package request

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

// assertCallsConsistent checks the outcomes that callers were told against the
// stand-ins' records.
func assertCallsConsistent(t *testing.T, entries []sqrecord.Entry, calls []sqmix.BookingResult) {
	t.Helper()
	assert.DeepEqual(t, sqjudge.CallViolations(entries, calls), []string(nil))
}

// assertNoWrongOrCutChats checks that no caller got a wrong answer, or one that
// broke off without an error.
func assertNoWrongOrCutChats(t *testing.T, r *sqmix.Report) {
	t.Helper()
	for _, f := range r.Failures {
		assert.Assert(t, f.Outcome != sqcaller.Wrong, "%+v", f)
		assert.Assert(t, f.Outcome != sqcaller.Truncated, "%+v", f)
	}
	assert.Equal(t, r.Count("chat wrong")+r.Count("chat cut"), 0, "%+v", r.Outcomes)
}

// assertAllWhole checks that no request failed, was refused or was dropped.
func assertAllWhole(t *testing.T, r *sqmix.Report) {
	t.Helper()
	for _, o := range r.Outcomes {
		ok := o.Kind == "chat whole" || o.Kind == "call whole"
		assert.Assert(t, ok, "%s %d; refusals %+v; failures %+v", o.Kind, o.Count, r.Refusals, r.Failures)
	}
	assert.Equal(t, r.Dropped, 0)
}

// assertNoneCut checks that no endpoint had to cut off a running request.
func assertNoneCut(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	for _, e := range entries {
		assert.Assert(t, e.Kind != sqrecord.RequestAborted, "%s cut %s at %d: %s", e.Source, e.RequestID, e.Position, e.Detail)
	}
}

// loadTeams returns the teams that send the load, with a demand in proportion to
// their share.
func loadTeams() []sqmix.Team {
	var all []sqmix.Team
	for _, t := range sqcluster.DefaultTeams() {
		all = append(all, sqmix.Team{Name: t.Name(), Key: t.Key(), Share: float64(t.Share()), Demand: float64(t.Share())})
	}
	return all
}
