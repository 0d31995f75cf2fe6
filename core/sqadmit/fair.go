package sqadmit

import (
	"container/heap"
	"slices"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// FairQueue is an admitter that shares each pool between teams by start-time
// fair queueing. A team's queue is served in the order of its start tag, a
// virtual time that advances by the cost of each request divided by the team's
// weight. Other teams may use what a team leaves unused, and a team that used
// idle capacity is not charged for it later. FairQueue is not safe for
// concurrent use.
type FairQueue struct {
	cfg          Config
	teams        map[string]*team
	pools        map[string]*pool
	poolList     []*pool
	requests     map[uint64]*requestState
	freeRequests []*requestState
	expiry       expiryHeap
	parked       []*flow
	lastSequence uint64
}

// NewFairQueue returns an admitter without teams.
func NewFairQueue(cfg Config) *FairQueue {
	return &FairQueue{
		cfg:      cfg.withDefaults(),
		teams:    make(map[string]*team),
		pools:    make(map[string]*pool),
		requests: make(map[uint64]*requestState),
	}
}

// SetTeams replaces the teams and their limits. Requests of a removed team stay
// queued, with weight MinWeight.
func (f *FairQueue) SetTeams(now time.Time, teams []Team) {
	for _, t := range f.teams {
		t.configured = false
	}
	for i := range teams {
		_, existed := f.teams[teams[i].Name()]
		t := f.teamFor(now, teams[i].Name())
		f.refillBucket(now, t)
		t.cfg = teams[i].cfg
		t.configured = true
		t.bucketTokens = min(t.bucketTokens, f.bucketCapacity(t))
		if !existed {
			t.bucketTokens = f.bucketCapacity(t)
		}
		f.unpark(t)
	}
	for _, t := range f.teams {
		if !t.configured {
			t.cfg = unlimitedTeam(t.cfg.Name)
			f.unpark(t)
		}
	}
}

// unlimitedTeam returns the configuration of a team that SetTeams did not name:
// of requests on open routes and of removed teams.
func unlimitedTeam(name string) TeamConfig {
	return TeamConfig{Name: name, Weight: MinWeight, TokensPerSecond: Unbounded, MaxRunning: Unbounded,
		MaxQueued: Unbounded}
}

// SetWeights sets the deployment's objective weights; nil weighs all objectives
// equally.
func (f *FairQueue) SetWeights(_ time.Time, w *sqcommand.Weights) { f.cfg.Weights = w }

// SetPoolLimits limits what may be in flight in a pool.
func (f *FairQueue) SetPoolLimits(now time.Time, pool string, limits PoolLimits) {
	p := f.poolFor(pool)
	p.limits = limits.cfg
	f.updateServiceRate(now, p)
}

// Next returns a decision on a queued request that may run now or can no longer
// meet its deadline; false means that there is none.
func (f *FairQueue) Next(now time.Time) (Decision, bool) {
	for len(f.expiry) > 0 && f.expiry[0].dueAt.Before(now) {
		r := f.expiry[0]
		if !r.latestStart.IsZero() && (r.latestStart.Before(now) || f.wouldMissDeadline(now, r)) {
			return f.refuseExpired(now, r), true
		}
		f.demote(r)
	}
	f.unparkDue(now)
	for _, p := range f.poolList {
		if r := f.nextRunnable(now, p); r != nil {
			d := Decision{
				id: r.request.ID(), action: Run, reason: reasonFairTurn, team: r.flow.team.cfg.Name,
				actual: float64(p.running), limit: float64(p.limits.MaxRunning),
			}
			f.dequeue(r)
			p.serviceRate.update(now, p.serviceRate.saturated)
			p.serviceRate.cost += r.cost
			f.dispatch(now, r)
			return d, true
		}
	}
	return Decision{}, false
}

// refuseExpired removes a queued request that can no longer meet its deadline.
func (f *FairQueue) refuseExpired(now time.Time, r *requestState) Decision {
	req := r.request
	secondsLeft := req.cfg.Deadline.Sub(now).Seconds()
	fl := r.flow
	f.dequeue(r)
	f.forget(r)
	return f.refuse(&req, fl.team, sqerror.DeadlineUnmeetable, reasonDeadline,
		req.cfg.ExpectedDuration.Seconds(), secondsLeft, f.queueWait(fl, &req)/2)
}

// nextRunnable returns the next request of a pool in fair-queueing order, or nil
// if the pool has no capacity or no request. It parks flows whose team is at a
// limit.
func (f *FairQueue) nextRunnable(now time.Time, p *pool) *requestState {
	for len(p.active) > 0 {
		fl := p.active[p.nextFlowIndex(f.cfg.goodputFraction())]
		r := fl.queue[0]
		if !p.hasCapacity(&r.request) {
			f.updateServiceRate(now, p)
			return nil
		}
		f.refillBucket(now, fl.team)
		if f.withinLimits(fl.team, &r.request) {
			return r
		}
		f.park(now, fl, &r.request)
	}
	f.updateServiceRate(now, p)
	return nil
}

// updateServiceRate records whether requests wait for the pool's capacity.
func (f *FairQueue) updateServiceRate(now time.Time, p *pool) {
	saturated := len(p.active) > 0 && !p.hasCapacity(&p.active[0].queue[0].request)
	p.serviceRate.update(now, saturated)
}

// dispatch marks a request as running and charges it to its team and pool.
func (f *FairQueue) dispatch(now time.Time, r *requestState) {
	fl := r.flow
	t, p := fl.team, fl.pool
	p.virtualTime = max(p.virtualTime, p.earliestStartTag(fl.startTag))
	step := r.cost / t.cfg.Weight
	fl.startTag += step
	p.meanStep += stepSmoothing * (step - p.meanStep)
	if fl.poolIndex >= 0 {
		heap.Fix(&p.active, fl.poolIndex)
	}
	t.bucketTokens -= r.request.rateTokens()
	t.running++
	p.running++
	p.startedRate.add(now, r.cost)
	p.prefillTokens += r.request.prefillTokens()
	r.running = true
	r.startedAt = now
	f.updateServiceRate(now, p)
}

// RecordFirstToken records the first token of a running request.
func (f *FairQueue) RecordFirstToken(now time.Time, id uint64) {
	r, ok := f.requests[id]
	if !ok || !r.running || r.prefilled {
		return
	}
	r.prefilled = true
	r.flow.pool.prefillTokens -= r.request.prefillTokens()
	f.updateServiceRate(now, r.flow.pool)
}

// Finish records the end of a running request and replaces its estimated charge
// by the measured one, so that a team gains nothing by low estimates.
func (f *FairQueue) Finish(now time.Time, id uint64, usage Usage) {
	r, ok := f.requests[id]
	if !ok || !r.running {
		return
	}
	f.RecordFirstToken(now, id)
	fl := r.flow
	t, p := fl.team, fl.pool
	p.running--
	t.running--
	t.recordDuration(now.Sub(r.startedAt))
	f.refillBucket(now, t)
	t.bucketTokens += r.request.rateTokens() - float64(usage.cfg.PromptTokens+usage.cfg.OutputTokens)
	prefill := max(0, usage.cfg.PromptTokens-usage.cfg.CachedTokens)
	fl.startTag += (f.requestCost(prefill, usage.cfg.OutputTokens) - r.cost) / t.cfg.Weight
	if fl.poolIndex >= 0 {
		heap.Fix(&p.active, fl.poolIndex)
	}
	f.forget(r)
	f.unpark(t)
	f.updateServiceRate(now, p)
}

// Cancel removes a queued request; it returns false if the request was not
// queued.
func (f *FairQueue) Cancel(now time.Time, id uint64) bool {
	r, ok := f.requests[id]
	if !ok || r.running {
		return false
	}
	p := r.flow.pool
	f.dequeue(r)
	f.forget(r)
	f.updateServiceRate(now, p)
	return true
}

// WakeTime returns the time at which Next should be called if no other call
// happens before; the zero time means never.
func (f *FairQueue) WakeTime(now time.Time) time.Time {
	var wakeTime time.Time
	if len(f.expiry) > 0 {
		wakeTime = f.expiry[0].dueAt.Add(time.Nanosecond)
	}
	for _, fl := range f.parked {
		if !fl.wakeAt.IsZero() && (wakeTime.IsZero() || fl.wakeAt.Before(wakeTime)) {
			wakeTime = fl.wakeAt
		}
	}
	if !wakeTime.IsZero() && wakeTime.Before(now) {
		return now
	}
	return wakeTime
}

// forget removes a request and keeps its memory for a later one.
func (f *FairQueue) forget(r *requestState) {
	delete(f.requests, r.request.ID())
	*r = requestState{}
	f.freeRequests = append(f.freeRequests, r)
}

// requestCost returns the cost of a request in fair queueing, in prompt tokens.
func (f *FairQueue) requestCost(prefillTokens, outputTokens int) float64 {
	return float64(prefillTokens) + f.cfg.OutputWeight*float64(outputTokens)
}

// Demand returns the number of a team's queued requests, running requests and
// queued tokens.
func (f *FairQueue) Demand(name string) (queued, running int, queuedTokens float64) {
	t, ok := f.teams[name]
	if !ok {
		return 0, 0, 0
	}
	return t.queued, t.running, t.queuedTokens
}

// Pools returns the names of the pools, sorted.
func (f *FairQueue) Pools() []string {
	names := make([]string, 0, len(f.poolList))
	for _, p := range f.poolList {
		names = append(names, p.name)
	}
	slices.Sort(names)
	return names
}
