package sqadmit

import (
	"math"
	"time"
)

// arrivalTimeConstantSeconds is the time constant, in seconds, with which the
// arrival rate decays.
const arrivalTimeConstantSeconds = 4

// arrivalRate is an exponentially decaying average of the cost that arrives per
// second.
type arrivalRate struct {
	costPerSecond float64
	updatedAt     time.Time
}

func (a *arrivalRate) add(now time.Time, cost float64) {
	a.costPerSecond = a.perSecond(now) + cost/arrivalTimeConstantSeconds
	a.updatedAt = now
}

func (a *arrivalRate) perSecond(now time.Time) float64 {
	return a.costPerSecond * math.Exp(-max(0, now.Sub(a.updatedAt).Seconds())/arrivalTimeConstantSeconds)
}

// startWait returns the expected seconds until a new request starts. A request
// that cannot start by StartBy is queued behind all requests that still can,
// including those that arrive later. Under overload such a request would wait
// until its deadline and be refused only then, when its caller has no time left
// to try elsewhere.
func (f *FairQueue) startWait(now time.Time, fl *flow, req *Request) float64 {
	wait := f.queueWait(fl, req)
	startBy := req.cfg.StartBy
	if startBy.IsZero() || wait <= startBy.Sub(now).Seconds() {
		return wait
	}
	return f.drainWait(now, fl, wait)
}

// drainWait returns the expected seconds until the flow has started all requests
// that are not late, if its queue takes wait seconds now and requests keep
// arriving at the current rate. The rates are measured over a few seconds and can
// cross while engines change their roles, so that arrivals above the service rate
// are not taken to last forever: see overloadWait.
func (f *FairQueue) drainWait(now time.Time, fl *flow, wait float64) float64 {
	rate := f.flowServiceRate(fl)
	if rate <= 0 {
		return wait
	}
	idleFraction := 1 - fl.arrivalRate.perSecond(now)/rate
	if idleFraction <= 0 {
		return f.overloadWait(now, fl)
	}
	return min(wait/idleFraction, f.overloadWait(now, fl))
}

// overloadWait returns the expected seconds until the flow has started all
// requests that are queued now, if an overload is expected to last as long again
// as the pool has had no room for a new request, and the pool then starts as much
// per second as it did lately. Under a lasting overload this exceeds any deadline.
// It is infinite for a pool that no request has been offered to.
func (f *FairQueue) overloadWait(now time.Time, fl *flow) float64 {
	p := fl.pool
	if p.hadRoomAt.IsZero() {
		return math.Inf(1)
	}
	overload := max(0, now.Sub(p.hadRoomAt).Seconds())
	rate := max(p.serviceRate.perSecond(), p.startedRate.perSecond(now)) * fl.weightFraction()
	return overload + max(0, fl.queuedCost+fl.costAhead())/rate
}

// wouldMissDeadline reports whether a queued request that is late for StartBy
// would wait behind other requests until it can no longer meet its deadline.
func (f *FairQueue) wouldMissDeadline(now time.Time, r *requestState) bool {
	queueWait := f.queueWait(r.flow, &r.request)
	return f.drainWait(now, r.flow, queueWait) > r.latestStart.Sub(now).Seconds()
}
