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

// TestStopRefusesQueuedRequests ends the grace period of a planned stop while a
// request is queued: the request is refused with kind Leaving and NotRun.
func TestStopRefusesQueuedRequests(t *testing.T) {
	a := newAdmission(newAdmitter(""))
	now := sqclock.Now()
	a.setTeams(now, []sqadmit.Team{sqadmit.NewTeam(sqadmit.TeamConfig{
		Name: "t", Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: 1, MaxQueued: sqadmit.Unbounded,
	})})
	cfg := sqadmit.RequestConfig{Team: "t", Pool: "m", PromptTokens: 5, OutputTokens: 5, ExpectedDuration: time.Second}
	assert.NilError(t, a.admit(context.Background(), now, cfg, &admissionTicket{}))
	ctx, cancel := context.WithCancelCause(context.Background())
	admitErr := make(chan error, 1)
	go func() { admitErr <- a.admit(ctx, now, cfg, &admissionTicket{}) }()
	for a.queueLength() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel(errStopping)
	err := asError(<-admitErr)
	assert.Equal(t, err.Kind(), sqerror.Leaving)
	assert.Equal(t, err.Execution(), sqerror.NotRun)
	assert.Equal(t, a.queueLength(), 0)
}
