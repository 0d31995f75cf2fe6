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

func judgeCalls(t *testing.T, entries []sqrecord.Entry, calls []sqmix.BookingResult) {
	t.Helper()
	assert.DeepEqual(t, sqjudge.CallViolations(entries, calls), []string(nil))
}

// judgeChats checks that no caller got a wrong answer, or one that ended
// without a word.
func judgeChats(t *testing.T, r *sqmix.Report) {
	t.Helper()
	for _, f := range r.Failures {
		assert.Assert(t, f.Outcome != sqcaller.Wrong, "%+v", f)
		assert.Assert(t, f.Outcome != sqcaller.Truncated, "%+v", f)
	}
	assert.Equal(t, r.Count("chat wrong")+r.Count("chat cut"), 0, "%+v", r.Outcomes)
}

// judgeAllWhole checks that not one request failed or was refused.
func judgeAllWhole(t *testing.T, r *sqmix.Report) {
	t.Helper()
	for _, o := range r.Outcomes {
		ok := o.Kind == "chat whole" || o.Kind == "call whole"
		assert.Assert(t, ok, "%s %d; refusals %+v; failures %+v", o.Kind, o.Count, r.Refusals, r.Failures)
	}
	assert.Equal(t, r.Dropped, 0)
}

// noneCut checks that no back end had to cut a running request.
func noneCut(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	for _, e := range entries {
		assert.Assert(t, e.Kind != sqrecord.RequestAborted, "%s cut %s at %d: %s", e.Source, e.RequestID, e.Position, e.Detail)
	}
}

// mixTeams returns the teams of the load: the large ones ask for more.
func mixTeams() []sqmix.Team {
	var all []sqmix.Team
	for _, t := range sqcluster.DefaultTeams() {
		all = append(all, sqmix.Team{Name: t.Name(), Key: t.Key(), Share: float64(t.Share()), Demand: float64(t.Share())})
	}
	return all
}
