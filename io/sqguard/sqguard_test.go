package sqguard

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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
		{"within the margin", 25 * time.Millisecond, true, false},
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

// TestOrderArrivesAfterSenderGaveUp fails if a receiver that reads slowly gets an order
// whole after its sender has given it up: a successor may have sent others meanwhile.
func TestOrderArrivesAfterSenderGaveUp(t *testing.T) {
	const orderBytes = 1 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	gaveUp, received := make(chan struct{}), make(chan int64, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-gaveUp
		n, _ := io.Copy(io.Discard, c)
		received <- n
	}()
	minute := func(now time.Time) (time.Time, bool) { return now.Add(time.Minute), true }
	g := New(Config{Lease: minute, Now: sqclock.Now, Timeout: 300 * time.Millisecond, DeliveryTimeout: 300 * time.Millisecond})
	res, err := g.Client().Post("http://"+ln.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", orderBytes)))
	if err == nil {
		assert.NilError(t, res.Body.Close())
	}
	assert.Assert(t, err != nil)
	close(gaveUp)
	assert.Assert(t, <-received < orderBytes)
}

// TestKernelDiscardsUndeliveredOrder checks that the kernel is told how long it may keep an
// order that the receiver's VM does not acknowledge.
func TestKernelDiscardsUndeliveredOrder(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	g := New(Config{Timeout: time.Second, DeliveryTimeout: 700 * time.Millisecond})
	c, err := g.dial(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	raw, err := c.(*conn).Conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		assert.Check(t, err == nil && timeout == 700, "%d %v", timeout, err)
	}))
}

// TestWithheldOrderIsReported checks that the caller learns how much of the lease was left.
func TestWithheldOrderIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		held bool
		want time.Duration
	}{
		"within the margin": {25 * time.Millisecond, true, 25 * time.Millisecond},
		"not held":          {time.Minute, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.NotFoundHandler())
			defer srv.Close()
			var left []time.Duration
			g := New(Config{
				Lease: func(now time.Time) (time.Time, bool) { return now.Add(c.left), c.held }, Now: sqclock.Now, Timeout: 5 * time.Second,
				Withheld: func(d time.Duration) { left = append(left, d) },
			})
			_, err := g.Client().Post(srv.URL, "text/plain", strings.NewReader("x"))
			assert.Equal(t, sqerror.KindOf(err), sqerror.LeaseLost)
			assert.DeepEqual(t, left, []time.Duration{c.want})
		})
	}
}
