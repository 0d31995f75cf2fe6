package sqendpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
)

// stalled is the cause of a stream that gave nothing for too long.
var stalled = sqerror.New(sqerror.Config{
	Kind:      sqerror.EndpointFailed,
	Detail:    "the endpoint gave nothing for too long",
	Execution: sqerror.MayHaveRun,
})

// silence cancels a stream that gives nothing for longer than a bound. An event
// only notes its time: setting the timer anew with each one costs more than
// reading the clock, and may wake another thread. The timer looks at that time
// when it fires, and goes on for what is left.
type silence struct {
	cancel context.CancelCauseFunc
	start  time.Time
	// last is when the stream gave something, in nanoseconds since start.
	last atomic.Int64

	mu      sync.Mutex
	limit   time.Duration
	timer   *time.Timer
	stopped bool
}

// newSilence starts to wait for the first event.
func newSilence(limit time.Duration, cancel context.CancelCauseFunc) *silence {
	s := &silence{cancel: cancel, start: time.Now(), limit: limit}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.fire)
	return s
}

// heard notes an event, after which nothing may come for at most between. It
// must not be called by two goroutines at a time.
func (s *silence) heard(between time.Duration) {
	if s.last.Swap(int64(time.Since(s.start))) == 0 {
		// The first event ends the time for the first one.
		s.bound(between)
	}
}

// bound counts from now.
func (s *silence) bound(limit time.Duration) {
	s.last.Store(int64(time.Since(s.start)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.timer.Reset(limit)
}

func (s *silence) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.limit - (time.Since(s.start) - time.Duration(s.last.Load()))
	switch {
	case s.stopped:
	case left > 0:
		s.timer.Reset(left)
	default:
		s.cancel(stalled)
	}
}

// stop ends the wait.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
