package sqentry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// TestStopTellsTheQueue ends the grace of a planned stop while a request waits
// for its turn: it is told that the entry leaves and that it has not run.
func TestStopTellsTheQueue(t *testing.T) {
	a := newAdmission(newAdmitter(""))
	now := sqclock.Now()
	a.setTeams(now, []sqadmit.Team{sqadmit.NewTeam(sqadmit.TeamConfig{
		Name: "t", Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: 1, MaxQueued: sqadmit.Unbounded,
	})})
	cfg := sqadmit.RequestConfig{Team: "t", Pool: "m", PromptTokens: 5, OutputTokens: 5, PredictedDuration: time.Second}
	assert.NilError(t, a.admit(context.Background(), now, cfg, &admitted{}))
	ctx, cancel := context.WithCancelCause(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.admit(ctx, now, cfg, &admitted{}) }()
	for a.queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel(errStopping)
	err := asError(<-ended)
	assert.Equal(t, err.Kind(), sqerror.Leaving)
	assert.Equal(t, err.Execution(), sqerror.NotRun)
	assert.Equal(t, a.queued(), 0)
}
