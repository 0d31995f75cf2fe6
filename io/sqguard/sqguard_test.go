package sqguard

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// watchdogChildVariable is the environment variable that makes the test binary arm
// a watchdog and stop itself.
const watchdogChildVariable = "SEQUOIADOCK_WATCHDOG_VICTIM"

func TestMain(m *testing.M) {
	if os.Getenv(watchdogChildVariable) != "" {
		runWatchdogChild()
	}
	os.Exit(m.Run())
}

func runWatchdogChild() {
	if _, err := ArmWatchdog(sqclock.Now().Add(300 * time.Millisecond)); err != nil {
		os.Exit(1)
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	os.Exit(0)
}

// TestWatchdogEndsStoppedProcess checks that a process that is stopped while its
// watchdog is armed is killed without being continued, so that it never executes
// the write after the check.
func TestWatchdogEndsStoppedProcess(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), watchdogChildVariable+"=1")
	assert.NilError(t, cmd.Start())
	timer := time.AfterFunc(20*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	start := time.Now()
	err := cmd.Wait()
	assert.Assert(t, err != nil)
	status := cmd.ProcessState.Sys().(syscall.WaitStatus)
	assert.Assert(t, status.Signaled())
	assert.Equal(t, status.Signal(), syscall.SIGKILL)
	assert.Assert(t, time.Since(start) < 20*time.Second, "the timer of the test killed the process, not the watchdog")
}

func TestDisarmedWatchdogDoesNothing(t *testing.T) {
	w, err := ArmWatchdog(sqclock.Now().Add(20 * time.Millisecond))
	assert.NilError(t, err)
	w.Disarm()
	time.Sleep(40 * time.Millisecond)
}

func TestGuardStopsOrdersWithoutLease(t *testing.T) {
	tests := []struct {
		name  string
		left  time.Duration
		held  bool
		sends bool
	}{
		{"held", time.Minute, true, true},
		{"not held", time.Minute, false, false},
		{"ended", -time.Second, true, false},
		{"within the margin", writeMargin / 2, true, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assertSends(t, func(now time.Time) (time.Time, bool) { return now.Add(tc.left), tc.held }, tc.sends)
		})
	}
}

func assertSends(t *testing.T, lease Lease, wantSent bool) {
	t.Helper()
	var received atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	g := New(Config{Lease: lease, Now: sqclock.Now, Timeout: 5 * time.Second})
	res, err := g.Client().Post(srv.URL, "application/json", strings.NewReader("{}"))
	if err == nil {
		assert.NilError(t, res.Body.Close())
	}
	assert.Equal(t, received.Load() == 1, wantSent)
	if !wantSent {
		assert.Equal(t, sqerror.KindOf(err), sqerror.LeaseLost)
	}
}
