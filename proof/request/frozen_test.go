package request

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqcaller"
)

// stopTrigger makes processes pause themselves at named stop points, through a file
// that they read.
type stopTrigger struct {
	file string
}

// startWithStopPoints starts a deployment whose processes can be paused at named
// stop points, with the listed protections disabled.
func startWithStopPoints(t *testing.T, disabled string) (*sqcluster.Cluster, *stopTrigger) {
	t.Helper()
	s := &stopTrigger{file: filepath.Join(t.TempDir(), "stop")}
	c := start(t, sqcluster.Config{
		Tags: []string{"sqfault"}, Env: []string{"SEQUOIADOCK_STOP_FILE=" + s.file, "SEQUOIADOCK_OFF=" + disabled},
		Fleet: bookingFleet(5),
	})
	return c, s
}

// arm makes the next process that reaches the stop point pause there.
func (s *stopTrigger) arm(t *testing.T, point string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(s.file, []byte(point), 0o644))
}

// waitStopped waits until a process has paused at the stop point.
func (s *stopTrigger) waitStopped(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	assert.NilError(t, c.Eventually(context.Background(), "a process stopped itself", func() bool {
		_, err := os.Stat(s.file)
		return os.IsNotExist(err)
	}))
}

// singleBooking returns a booking call with the given identity.
func singleBooking(address, identity string, deadline time.Duration) sqcaller.CallRequest {
	return sqcaller.CallRequest{
		Method: http.MethodPost, Path: "/booking/places", Identity: identity, Body: []byte(`{}`),
		Address: address, Deadline: deadline,
	}
}

// singleAttemptCaller returns a caller that does not resend on its own.
func singleAttemptCaller(c *sqcluster.Cluster) *sqcaller.Caller {
	return sqcaller.New(sqcaller.Config{
		Addresses: sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: entryAddresses(c)}),
		Key:       sqcluster.DefaultTeams()[0].Key(), MaxAttempts: 1,
	})
}

// TestEntryKilledBetweenAnswerAndRecord kills an entry that has an answer for
// its caller but has not recorded it yet. Every resend must be answered with "may
// have run", never with "not run", and the call must not run again.
func TestEntryKilledBetweenAnswerAndRecord(t *testing.T) {
	c, s := startWithStopPoints(t, "")
	victim, other := c.Entries()[0], c.Entries()[1]
	caller := singleAttemptCaller(c)
	s.arm(t, "outcomeTold")
	first := make(chan sqcaller.CallResult, 1)
	go func() {
		first <- caller.Call(context.Background(), singleBooking(victim.CallerAddress(), "between", waitTimeout))
	}()
	s.waitStopped(t, c)
	resend := func() sqcaller.CallResult {
		return caller.Call(context.Background(), singleBooking(other.CallerAddress(), "between", 5*time.Second))
	}
	a := resend()
	assert.Equal(t, a.Outcome, sqcaller.MayHaveRun, "%+v", a)
	assert.Equal(t, a.Refusal.Kind, "callRunning")
	victim.Kill()
	a = <-first
	assert.Assert(t, a.Outcome == sqcaller.Complete || a.Outcome == sqcaller.NoAnswer, "%+v", a)
	assert.NilError(t, c.Eventually(context.Background(), "the outcome of the call is unknown", func() bool {
		a := resend()
		assert.Equal(t, a.Outcome, sqcaller.MayHaveRun, "%+v", a)
		return a.Refusal.Kind == "callUnknown"
	}))
	assert.Equal(t, sqjudge.RunCounts(records(t, c))["between"], 1)
}

// freezeTime is longer than an entry's freshness lease.
const freezeTime = 4 * time.Second

// TestEntryFrozenBeforeWrite pauses an entry between the last check and the
// write of a call that must not be repeated, for longer than the entry's freshness
// lease, and resumes it. The entry must not send the call then: the lease holder
// has marked its outcome as unknown, and an operator may have found that it did not
// run. With the watchdog disabled, sqjudge must see the late call.
func TestEntryFrozenBeforeWrite(t *testing.T) {
	tests := []struct {
		name, disabled string
		// wantLateCall is whether the call reaches its endpoint after the pause.
		wantLateCall bool
	}{
		{"protected", "", false},
		{"faultNoWatchdog", "watchdog", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c, s := startWithStopPoints(t, tc.disabled)
			victim := c.Entries()[0]
			s.arm(t, "sendChecked")
			caller := singleAttemptCaller(c)
			go caller.Call(context.Background(), singleBooking(victim.CallerAddress(), "frozen", waitTimeout))
			s.waitStopped(t, c)
			time.Sleep(freezeTime)
			exited := !victim.Running()
			victim.Continue()
			a := caller.Call(context.Background(), singleBooking(c.Entries()[1].CallerAddress(), "frozen", waitTimeout))
			assert.Equal(t, a.Outcome, sqcaller.MayHaveRun, "%+v", a)
			time.Sleep(settleTime)
			arrivedLate := sqjudge.RunCounts(records(t, c))["frozen"] > 0
			assert.Equal(t, arrivedLate, tc.wantLateCall)
			assert.Equal(t, exited, !tc.wantLateCall, "whether the watchdog ended the paused process")
		})
	}
}

// settleTime is the wait for late effects after a fault has ended.
const settleTime = 2 * time.Second

// TestEntrySlowBeforeWrite pauses an entry at the same stop point for less than
// its freshness lease. The watchdog must not end the process, and the call runs once.
func TestEntrySlowBeforeWrite(t *testing.T) {
	c, s := startWithStopPoints(t, "")
	victim := c.Entries()[0]
	s.arm(t, "sendChecked")
	answer := make(chan sqcaller.CallResult, 1)
	go func() {
		answer <- singleAttemptCaller(c).Call(context.Background(), singleBooking(victim.CallerAddress(), "slow", waitTimeout))
	}()
	s.waitStopped(t, c)
	time.Sleep(time.Second)
	assert.Assert(t, victim.Running())
	victim.Continue()
	a := <-answer
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a)
	assert.Equal(t, sqjudge.RunCounts(records(t, c))["slow"], 1)
}
