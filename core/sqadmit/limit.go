package sqadmit

import "time"

// burst returns the most tokens that a team may have saved up.
func (f *FairQueue) burst(t *team) float64 {
	return max(0, t.cfg.TokensPerSecond) * f.cfg.Burst.Seconds()
}

// fill adds to the team's bucket what came since the last time.
func (f *FairQueue) fill(now time.Time, t *team) {
	dt := now.Sub(t.filledAt).Seconds()
	if dt <= 0 {
		return
	}
	t.filledAt = now
	t.tokens = min(f.burst(t), t.tokens+dt*max(0, t.cfg.TokensPerSecond))
}

// within returns whether the team's own limits let the request start. A
// request larger than the burst starts on a full bucket and leaves a debt.
func (f *FairQueue) within(t *team, w *Request) bool {
	return f.withinRunning(t) && f.withinRate(t, w)
}

func (f *FairQueue) withinRunning(t *team) bool {
	return t.cfg.MaxRunning < 0 || t.running < t.cfg.MaxRunning
}

func (f *FairQueue) withinRate(t *team, w *Request) bool {
	if t.cfg.TokensPerSecond < 0 || w.tokens() == 0 {
		return true
	}
	return t.cfg.TokensPerSecond > 0 && t.tokens >= min(w.tokens(), f.burst(t))
}

// bucketWait returns the seconds until the bucket lets the request start.
func (f *FairQueue) bucketWait(t *team, w *Request) float64 {
	if t.cfg.TokensPerSecond < 0 {
		return 0
	}
	if t.cfg.TokensPerSecond == 0 {
		return noTokensWait
	}
	need := min(w.tokens(), f.burst(t))
	return max(0, need-t.tokens) / t.cfg.TokensPerSecond
}

// noTokensWait is the wait, in seconds, that is assumed where an entry has
// nothing of a team's rate: shares come anew within about a second.
const noTokensWait = 1

// rateWait returns the seconds until the rate lets the request start behind
// the team's queue. It goes by the rate over all entries where that is known:
// this entry's part of it follows its demand within about a second.
func (f *FairQueue) rateWait(t *team, w *Request) float64 {
	if t.cfg.TokensPerSecond < 0 {
		return 0
	}
	rate := max(t.cfg.TokensPerSecond, t.cfg.TotalTokensPerSecond)
	if rate == 0 {
		return noTokensWait
	}
	need := min(w.tokens(), rate*f.cfg.Burst.Seconds())
	return max(0, need-t.tokens+t.queuedTokens) / rate
}

// runningWait returns the seconds until the team's running limit lets the
// request start behind the team's queue.
func (f *FairQueue) runningWait(t *team) float64 {
	if f.withinRunning(t) {
		return 0
	}
	return float64(t.queued+1) * t.duration / float64(max(1, t.cfg.MaxRunning))
}

// wait returns the expected seconds in the flow's queue, by what the pool
// starts in a second and the team's part of it.
func (f *FairQueue) wait(fl *flow, w *Request) float64 {
	speed := f.share(fl)
	if speed <= 0 {
		return 0
	}
	return max(0, fl.costBefore(w)+fl.ahead()) / speed
}

// share returns the cost of the flow that the pool starts in a second while
// all flows that wait now go on to wait; 0 is unknown.
func (f *FairQueue) share(fl *flow) float64 {
	own := fl.team.cfg.Weight
	all := own
	for _, other := range fl.pool.active {
		if other != fl {
			all += other.team.cfg.Weight
		}
	}
	return fl.pool.speed.perSecond() * own / all
}

// exactQueue is the length of a queue up to which the cost before a request is
// summed; beyond it the whole queue counts.
const exactQueue = 64

func (fl *flow) costBefore(w *Request) float64 {
	if len(fl.queue) > exactQueue {
		return fl.cost
	}
	probe := request{work: *w, order: ^uint64(0)}
	var cost float64
	for _, r := range fl.queue {
		if r.before(&probe) {
			cost += r.cost
		}
	}
	return cost
}

// durationMemory is the weight of a new request in a team's mean duration.
const durationMemory = 0.1

func (t *team) ran(d time.Duration) {
	if t.duration == 0 {
		t.duration = d.Seconds()
		return
	}
	t.duration += durationMemory * (d.Seconds() - t.duration)
}
