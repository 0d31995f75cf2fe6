package sqgateway

import (
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
)

const (
	// startWait is how long after its start a gateway expects to hear the holder: an
	// election and a round of beats, when all processes started together.
	startWait = 1500 * time.Millisecond
	// waitDivisor is the part of its time that a request may wait for that.
	waitDivisor = 2
)

// firstViewWait returns how long a request that came at begun may wait for what
// the gateway has to know before it can serve anybody. Only a gateway that has
// just started can expect to hear it soon; later a request is better refused.
func firstViewWait(startedAt, begun time.Time, left time.Duration) time.Duration {
	wait := startedAt.Add(startWait).Sub(begun)
	if left > 0 {
		wait = min(wait, left/waitDivisor)
	}
	return max(0, wait)
}

// awaitFirstView holds a request that came right after the start of the process
// until the holder was heard, or until it is no longer worth waiting.
func (x *request) awaitFirstView() {
	select {
	case <-x.g.viewed:
		return
	default:
	}
	wait := firstViewWait(x.g.startedAt, x.begun, x.attempt.Deadline)
	if wait == 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	heard := false
	select {
	case <-x.g.viewed:
		heard = true
	case <-x.r.Context().Done():
	case <-t.C:
	}
	x.g.log.Event(sqevent.WaitedForHolder, x.attempt.ID, sqclock.Now().Sub(x.begun).Milliseconds(), heard)
}
