package sqgateway

import (
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
)

const (
	// startupWait is the time after its start within which a gateway normally
	// receives its first view: one leader election and one heartbeat of each
	// gateway, if all processes start at the same time.
	startupWait = 1500 * time.Millisecond
	// A request waits at most its time left divided by waitDivisor for the first
	// view.
	waitDivisor = 2
)

// firstViewWait returns how long a request may wait for the gateway's first view,
// without which it cannot be routed. A timeLeft of 0 means that the caller named
// no deadline. The result is 0 once the gateway has run for startupWait: the view
// can then no longer be expected soon, and the request is better refused.
func firstViewWait(startedAt, receivedAt time.Time, timeLeft time.Duration) time.Duration {
	wait := startedAt.Add(startupWait).Sub(receivedAt)
	if timeLeft > 0 {
		wait = min(wait, timeLeft/waitDivisor)
	}
	return max(0, wait)
}

// awaitFirstView delays a request that arrives right after the start of the
// process until the first view was received, firstViewWait is over or the caller
// disconnects.
func (x *request) awaitFirstView() {
	select {
	case <-x.g.firstViewReceived:
		return
	default:
	}
	wait := firstViewWait(x.g.startedAt, x.receivedAt, x.attempt.Deadline)
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	viewReceived := false
	select {
	case <-x.g.firstViewReceived:
		viewReceived = true
	case <-x.r.Context().Done():
	case <-timer.C:
	}
	x.g.log.Event(sqevent.WaitedForHolder, x.attempt.ID, sqclock.Now().Sub(x.receivedAt).Milliseconds(), viewReceived)
}
