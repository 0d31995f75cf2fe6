package sqendpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
)

// errStalled is the cancellation cause of a stream that sent no event in time.
var errStalled = sqerror.New(sqerror.Config{
	Kind:      sqerror.EndpointFailed,
	Detail:    "the endpoint gave nothing for too long",
	Execution: sqerror.MayHaveRun,
})

// idleTimer cancels a stream that sends no event within a timeout. An event only
// records its time: resetting the timer for each event costs more than reading
// the clock, and may wake another thread. When the timer fires, it reads the time
// of the last event and is reset to the rest of the timeout.
type idleTimer struct {
	cancel context.CancelCauseFunc
	start  time.Time
	// lastEvent is the time of the last event in nanoseconds since start.
	lastEvent atomic.Int64

	mu      sync.Mutex
	timeout time.Duration
	timer   *time.Timer
	stopped bool
}

// newIdleTimer starts the timeout for the first event.
func newIdleTimer(timeout time.Duration, cancel context.CancelCauseFunc) *idleTimer {
	s := &idleTimer{cancel: cancel, start: time.Now(), timeout: timeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(timeout, s.onTimer)
	return s
}

// eventReceived records an event. The next event must follow within timeout. It
// must not be called by two goroutines at a time.
func (s *idleTimer) eventReceived(timeout time.Duration) {
	if s.lastEvent.Swap(int64(time.Since(s.start))) == 0 {
		// The first event replaces the first-event timeout by the one between events.
		s.setTimeout(timeout)
	}
}

// setTimeout restarts the timer with a new timeout that counts from now.
func (s *idleTimer) setTimeout(timeout time.Duration) {
	s.lastEvent.Store(int64(time.Since(s.start)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeout = timeout
	s.timer.Reset(timeout)
}

func (s *idleTimer) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.timeout - (time.Since(s.start) - time.Duration(s.lastEvent.Load()))
	switch {
	case s.stopped:
	case remaining > 0:
		s.timer.Reset(remaining)
	default:
		s.cancel(errStalled)
	}
}

// stop disables the timer.
func (s *idleTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
