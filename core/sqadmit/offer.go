package sqadmit

import (
	"time"

	"sequoiadock/core/sqerror"
)

// Offer decides whether a new request runs, is queued or is refused.
func (f *FairQueue) Offer(now time.Time, req *Request) Decision {
	fl := f.flowFor(now, req)
	t, p := fl.team, fl.pool
	f.refillBucket(now, t)
	if p.hadRoomAt.IsZero() {
		p.hadRoomAt = now
	}
	fl.arrivalRate.add(now, f.requestCost(req.prefillTokens(), req.cfg.OutputTokens))
	if len(p.active) == 0 && len(fl.queue) == 0 && p.hasCapacity(req) && f.withinLimits(t, req) {
		r := f.newRequestState(req, fl)
		fl.updateStartTag()
		p.hadRoomAt = now
		d := Decision{id: req.ID(), action: Run, reason: reasonPoolCapacity,
			actual: float64(p.running), limit: float64(p.limits.MaxRunning)}
		f.dispatch(now, r)
		return d
	}
	if t.cfg.MaxQueued >= 0 && t.queued >= t.cfg.MaxQueued {
		return f.refuse(req, t, sqerror.OverLimit, reasonQueueFull,
			float64(t.queued), float64(t.cfg.MaxQueued), f.queueWait(fl, req)/2)
	}
	if d, refused := f.refuseIfLate(now, fl, req); refused {
		return d
	}
	wait := max(f.queueWait(fl, req), f.rateWait(t, req), f.runningWait(t))
	f.enqueue(now, f.newRequestState(req, fl))
	return Decision{id: req.ID(), action: Queue, reason: reasonQueued, team: t.cfg.Name,
		actual: float64(t.queued), limit: wait}
}

// refuseIfLate refuses a new request that cannot meet its deadline under its
// team's limits or share, so that its caller does not wait in vain.
func (f *FairQueue) refuseIfLate(now time.Time, fl *flow, req *Request) (Decision, bool) {
	if req.cfg.Deadline.IsZero() {
		return Decision{}, false
	}
	secondsLeft := req.cfg.Deadline.Sub(now).Seconds()
	runSeconds := f.cfg.withMargin(req.cfg.ExpectedDuration).Seconds()
	if wait := f.rateWait(fl.team, req); wait+runSeconds > secondsLeft {
		return f.refuse(req, fl.team, sqerror.OverLimit, reasonRateLimit,
			wait, secondsLeft, wait+runSeconds-secondsLeft), true
	}
	if wait := f.runningWait(fl.team); wait+runSeconds > secondsLeft {
		return f.refuse(req, fl.team, sqerror.OverLimit, reasonRunningLimit,
			wait, secondsLeft, wait+runSeconds-secondsLeft), true
	}
	if wait := f.startWait(now, fl, req); wait+runSeconds > secondsLeft {
		fl.addCredit(f.requestCost(req.prefillTokens(), req.cfg.OutputTokens))
		return f.refuse(req, fl.team, sqerror.DeadlineUnmeetable, reasonDeadline,
			wait+runSeconds, secondsLeft, wait+runSeconds-secondsLeft), true
	}
	return Decision{}, false
}

// refuse returns the decision to refuse a request; retrySeconds is clamped.
func (f *FairQueue) refuse(req *Request, t *team, kind sqerror.Kind, why decisionReason,
	actual, limit, retrySeconds float64) Decision {
	return Decision{
		id: req.ID(), action: Refuse, kind: kind, reason: why, team: t.cfg.Name,
		actual: actual, limit: limit,
		retryAfter: f.cfg.clampRetryAfter(time.Duration(retrySeconds * float64(time.Second))),
	}
}
