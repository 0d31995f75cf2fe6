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

// stopper has processes stop themselves at marked places.
type stopper struct {
	file string
}

// startStopping runs a deployment whose processes can be told to stop at marked
// places, with the protections off that the list names.
func startStopping(t *testing.T, off string) (*sqcluster.Cluster, *stopper) {
	t.Helper()
	s := &stopper{file: filepath.Join(t.TempDir(), "stop")}
	c := start(t, sqcluster.Config{
		Tags: []string{"sqfault"}, Env: []string{"SEQUOIADOCK_STOP_FILE=" + s.file, "SEQUOIADOCK_OFF=" + off},
		Fleet: bookingFleet(5),
	})
	return c, s
}

// at has the next process that reaches the place stop there.
func (s *stopper) at(t *testing.T, point string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(s.file, []byte(point), 0o644))
}

func (s *stopper) wait(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	assert.NilError(t, c.Eventually(context.Background(), "a process stopped itself", func() bool {
		_, err := os.Stat(s.file)
		return os.IsNotExist(err)
	}))
}

// onceCall is a booking whose caller asks but once.
func onceCall(address, identity string, deadline time.Duration) sqcaller.CallRequest {
	return sqcaller.CallRequest{
		Method: http.MethodPost, Path: "/booking/places", Identity: identity, Body: []byte(`{}`),
		Address: address, Deadline: deadline,
	}
}

// onceCaller returns a caller that does not resend by itself.
func onceCaller(c *sqcluster.Cluster) *sqcaller.Caller {
	return sqcaller.New(sqcaller.Config{
		Addresses: sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: seeds(c)}),
		Key:       sqcluster.DefaultTeams()[0].Key(), MaxAttempts: 1,
	})
}

// TestEntryKilledBetweenAnswerAndRecord kills an entry that has an answer for
// its caller and has not recorded it. Resends hear that the call may have run:
// it does not run again, and none hears "not run".
func TestEntryKilledBetweenAnswerAndRecord(t *testing.T) {
	c, s := startStopping(t, "")
	victim, other := c.Entries()[0], c.Entries()[1]
	caller := onceCaller(c)
	s.at(t, "outcomeTold")
	first := make(chan sqcaller.CallResult, 1)
	go func() {
		first <- caller.Call(context.Background(), onceCall(victim.CallerAddress(), "between", shortWait))
	}()
	s.wait(t, c)
	resend := func() sqcaller.CallResult {
		return caller.Call(context.Background(), onceCall(other.CallerAddress(), "between", 5*time.Second))
	}
	a := resend()
	assert.Equal(t, a.Outcome, sqcaller.MayHaveRun, "%+v", a)
	assert.Equal(t, a.Refusal.Kind, "callRunning")
	victim.Kill()
	a = <-first
	assert.Assert(t, a.Outcome == sqcaller.Complete || a.Outcome == sqcaller.NoAnswer, "%+v", a)
	assert.NilError(t, c.Eventually(context.Background(), "the call is unknown", func() bool {
		a := resend()
		assert.Equal(t, a.Outcome, sqcaller.MayHaveRun, "%+v", a)
		return a.Refusal.Kind == "callUnknown"
	}))
	assert.Equal(t, sqjudge.RunCounts(record(t, c))["between"], 1)
}

// entryPause is longer than the freshness lease.
const entryPause = 4 * time.Second

// TestEntryFrozenBeforeWrite stops an entry between the last check of a call that
// must not be repeated and its write, for longer than its freshness lease, and
// continues it. Nothing may be sent then: the holder has taken the call for
// unknown, and an operator may have found that it did not run. The judge must
// see the late send when the protection is off.
func TestEntryFrozenBeforeWrite(t *testing.T) {
	tests := []struct {
		name, off string
		// late is whether the call arrives after the freeze.
		late bool
	}{
		{"protected", "", false},
		{"faultNoWatchdog", "watchdog", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c, s := startStopping(t, tc.off)
			victim := c.Entries()[0]
			s.at(t, "sendChecked")
			caller := onceCaller(c)
			go caller.Call(context.Background(), onceCall(victim.CallerAddress(), "frozen", shortWait))
			s.wait(t, c)
			time.Sleep(entryPause)
			ended := !victim.Running()
			victim.Continue()
			a := caller.Call(context.Background(), onceCall(c.Entries()[1].CallerAddress(), "frozen", shortWait))
			assert.Equal(t, a.Outcome, sqcaller.MayHaveRun, "%+v", a)
			time.Sleep(settleTime)
			late := sqjudge.RunCounts(record(t, c))["frozen"] > 0
			assert.Equal(t, late, tc.late)
			assert.Equal(t, ended, !tc.late, "whether the watchdog ended the stopped process")
		})
	}
}

// settleTime is how long after a fault is over its late effects are awaited.
const settleTime = 2 * time.Second

// TestEntrySlowBeforeWrite stops an entry at the same place for less than its
// lease: mere slowness ends no process, and the call runs once.
func TestEntrySlowBeforeWrite(t *testing.T) {
	c, s := startStopping(t, "")
	victim := c.Entries()[0]
	s.at(t, "sendChecked")
	answer := make(chan sqcaller.CallResult, 1)
	go func() {
		answer <- onceCaller(c).Call(context.Background(), onceCall(victim.CallerAddress(), "slow", shortWait))
	}()
	s.wait(t, c)
	time.Sleep(time.Second)
	assert.Assert(t, victim.Running())
	victim.Continue()
	a := <-answer
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a)
	assert.Equal(t, sqjudge.RunCounts(record(t, c))["slow"], 1)
}
