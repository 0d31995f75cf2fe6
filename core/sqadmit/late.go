package sqadmit

import (
	"math"
	"time"
)

// arrivalMemory is the time constant, in seconds, of the rate of arrivals.
const arrivalMemory = 4

// arrivals is the smoothed cost that arrives in a second.
type arrivals struct {
	rate float64
	at   time.Time
}

func (a *arrivals) add(now time.Time, cost float64) {
	a.rate = a.perSecond(now) + cost/arrivalMemory
	a.at = now
}

func (a *arrivals) perSecond(now time.Time) float64 {
	return a.rate * math.Exp(-max(0, now.Sub(a.at).Seconds())/arrivalMemory)
}

// startWait returns the expected seconds until a new request starts. One that
// will miss its first token's time stands behind all that can still make
// theirs, and so behind those that have not come yet: under overload it would
// wait until its deadline and be refused then, when its caller has no time left
// to go elsewhere.
func (f *FairQueue) startWait(now time.Time, fl *flow, w *Request) float64 {
	wait := f.wait(fl, w)
	by := w.cfg.StartBy
	if by.IsZero() || wait <= by.Sub(now).Seconds() {
		return wait
	}
	return f.waitBehind(now, fl, wait)
}

// waitBehind returns the expected seconds until the flow has nothing in time
// left to do, if wait is what it has now and work goes on to arrive.
func (f *FairQueue) waitBehind(now time.Time, fl *flow, wait float64) float64 {
	speed := f.share(fl)
	if speed <= 0 {
		return wait
	}
	free := 1 - fl.arrivals.perSecond(now)/speed
	if free <= 0 {
		return math.Inf(1)
	}
	return wait / free
}

// hopeless returns whether a queued request that can no longer be in time would
// wait behind others until its deadline.
func (f *FairQueue) hopeless(now time.Time, r *request) bool {
	wait := f.wait(r.flow, &r.work)
	return f.waitBehind(now, r.flow, wait) > r.giveUp.Sub(now).Seconds()
}
