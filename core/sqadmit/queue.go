package sqadmit

import (
	"container/heap"
	"slices"
	"time"
)

// teamFor returns the state of a team, which it creates if needed.
func (f *FairQueue) teamFor(now time.Time, name string) *team {
	t, ok := f.teams[name]
	if !ok {
		t = &team{cfg: unlimitedTeam(name), refilledAt: now}
		f.teams[name] = t
	}
	return t
}

// poolFor returns the state of a pool, which it creates if needed.
func (f *FairQueue) poolFor(name string) *pool {
	p, ok := f.pools[name]
	if !ok {
		p = &pool{name: name, limits: f.cfg.PoolLimits.cfg}
		f.pools[name] = p
		f.poolList = append(f.poolList, p)
	}
	return p
}

// flowFor returns the flow of a request's team and pool, which it creates if
// needed.
func (f *FairQueue) flowFor(now time.Time, req *Request) *flow {
	t := f.teamFor(now, req.cfg.Team)
	for _, fl := range t.flows {
		if fl.pool.name == req.cfg.Pool {
			return fl
		}
	}
	fl := &flow{team: t, pool: f.poolFor(req.cfg.Pool), poolIndex: -1}
	t.flows = append(t.flows, fl)
	return fl
}

func (f *FairQueue) newRequestState(req *Request, fl *flow) *requestState {
	var r *requestState
	if n := len(f.freeRequests); n > 0 {
		r = f.freeRequests[n-1]
		f.freeRequests = f.freeRequests[:n-1]
	} else {
		r = &requestState{}
	}
	f.lastSequence++
	*r = requestState{request: *req, flow: fl, cost: f.requestCost(req.prefillTokens(), req.cfg.OutputTokens),
		sequence: f.lastSequence, flowIndex: -1, expiryIndex: -1}
	f.requests[req.ID()] = r
	return r
}

func (f *FairQueue) enqueue(now time.Time, r *requestState) {
	fl := r.flow
	heap.Push(&fl.queue, r)
	fl.queuedCost += r.cost
	fl.team.queued++
	fl.team.queuedTokens += r.request.rateTokens()
	if deadline := r.request.cfg.Deadline; !deadline.IsZero() {
		r.latestStart = deadline.Add(-f.cfg.withMargin(r.request.cfg.ExpectedDuration))
	}
	f.scheduleExpiry(r)
	f.activate(fl)
	f.updateServiceRate(now, fl.pool)
}

// scheduleExpiry sets the time of a queued request's next expiry check.
func (f *FairQueue) scheduleExpiry(r *requestState) {
	r.dueAt = r.latestStart
	if startBy := r.request.cfg.StartBy; !r.late && !startBy.IsZero() &&
		(r.latestStart.IsZero() || startBy.Before(r.latestStart)) {
		r.dueAt = startBy
	}
	switch {
	case r.expiryIndex >= 0 && r.dueAt.IsZero():
		heap.Remove(&f.expiry, r.expiryIndex)
	case r.expiryIndex >= 0:
		heap.Fix(&f.expiry, r.expiryIndex)
	case !r.dueAt.IsZero():
		heap.Push(&f.expiry, r)
	}
}

// demote moves a late request behind those of its team that can still meet
// StartBy.
func (f *FairQueue) demote(r *requestState) {
	r.late = true
	f.scheduleExpiry(r)
	heap.Fix(&r.flow.queue, r.flowIndex)
}

// activate makes a flow with queued requests a candidate for dispatch.
func (f *FairQueue) activate(fl *flow) {
	if fl.poolIndex >= 0 || fl.parked || len(fl.queue) == 0 {
		return
	}
	fl.updateStartTag()
	heap.Push(&fl.pool.active, fl)
}

func (f *FairQueue) dequeue(r *requestState) {
	fl := r.flow
	heap.Remove(&fl.queue, r.flowIndex)
	if r.expiryIndex >= 0 {
		heap.Remove(&f.expiry, r.expiryIndex)
	}
	fl.queuedCost -= r.cost
	fl.team.queued--
	fl.team.queuedTokens -= r.request.rateTokens()
	if len(fl.queue) > 0 {
		return
	}
	fl.queuedCost = 0
	if fl.poolIndex >= 0 {
		heap.Remove(&fl.pool.active, fl.poolIndex)
	}
	f.unparkFlow(fl)
}

// park removes a flow from the active ones while its team is at a limit, so that
// the flows behind it are not blocked.
func (f *FairQueue) park(now time.Time, fl *flow, req *Request) {
	heap.Remove(&fl.pool.active, fl.poolIndex)
	fl.parked = true
	fl.wakeAt = time.Time{}
	if f.withinRunningLimit(fl.team) {
		seconds := f.bucketWait(fl.team, req)
		fl.wakeAt = now.Add(max(time.Duration(seconds*float64(time.Second)), time.Millisecond))
	}
	f.parked = append(f.parked, fl)
}

func (f *FairQueue) unparkFlow(fl *flow) {
	if !fl.parked {
		return
	}
	fl.parked = false
	if i := slices.Index(f.parked, fl); i >= 0 {
		f.parked = slices.Delete(f.parked, i, i+1)
	}
	f.activate(fl)
}

// unpark unparks all flows of a team.
func (f *FairQueue) unpark(t *team) {
	for _, fl := range t.flows {
		f.unparkFlow(fl)
	}
}

// unparkDue unparks the flows whose wake time has come.
func (f *FairQueue) unparkDue(now time.Time) {
	for i := len(f.parked) - 1; i >= 0; i-- {
		fl := f.parked[i]
		if !fl.wakeAt.IsZero() && !fl.wakeAt.After(now) {
			f.unparkFlow(fl)
		}
	}
}
