package sqadmit

import (
	"time"

	"sequoiadock/core/sqerror"
)

// Offer decides on a new request.
func (f *FairQueue) Offer(now time.Time, w *Request) Decision {
	fl := f.flow(now, w)
	t, p := fl.team, fl.pool
	f.fill(now, t)
	fl.arrivals.add(now, f.cost(w.prefill(), w.cfg.OutputTokens))
	if len(p.active) == 0 && len(fl.queue) == 0 && p.hasRoom(w) && f.within(t, w) {
		r := f.add(w, fl)
		fl.catchUp()
		v := Decision{id: w.ID(), action: Run, cause: causeRoom, have: float64(p.running), limit: float64(p.room.MaxRunning)}
		f.start(now, r)
		return v
	}
	if t.cfg.MaxQueued >= 0 && t.queued >= t.cfg.MaxQueued {
		return f.refuse(w, t, sqerror.OverLimit, causeQueueFull, float64(t.queued), float64(t.cfg.MaxQueued), f.wait(fl, w)/2)
	}
	if v, late := f.tooLate(now, fl, w); late {
		return v
	}
	wait := max(f.wait(fl, w), f.rateWait(t, w), f.runningWait(t))
	f.enqueue(now, f.add(w, fl))
	return Decision{id: w.ID(), action: Queue, cause: causeWaits, team: t.cfg.Name, have: float64(t.queued), limit: wait}
}

// tooLate refuses a request whose deadline its team's rate or share cannot
// meet, at once rather than after the wait.
func (f *FairQueue) tooLate(now time.Time, fl *flow, w *Request) (Decision, bool) {
	if w.cfg.Deadline.IsZero() {
		return Decision{}, false
	}
	left := w.cfg.Deadline.Sub(now).Seconds()
	need := f.cfg.margin(w.cfg.PredictedDuration).Seconds()
	if wait := f.rateWait(fl.team, w); wait+need > left {
		return f.refuse(w, fl.team, sqerror.OverLimit, causeRate, wait, left, wait+need-left), true
	}
	if wait := f.runningWait(fl.team); wait+need > left {
		return f.refuse(w, fl.team, sqerror.OverLimit, causeRunning, wait, left, wait+need-left), true
	}
	if wait := f.startWait(now, fl, w); wait+need > left {
		fl.owe(f.cost(w.prefill(), w.cfg.OutputTokens))
		return f.refuse(w, fl.team, sqerror.DeadlineUnmeetable, causeTooLate, wait+need, left, wait+need-left), true
	}
	return Decision{}, false
}

func (f *FairQueue) refuse(w *Request, t *team, kind sqerror.Kind, c cause, have, limit, retry float64) Decision {
	return Decision{
		id: w.ID(), action: Refuse, kind: kind, cause: c, team: t.cfg.Name, have: have, limit: limit,
		retry: f.cfg.retry(time.Duration(retry * float64(time.Second))),
	}
}
