package sqadmit

import (
	"container/heap"
	"slices"
	"time"
)

func (f *FairQueue) team(now time.Time, name string) *team {
	t, ok := f.teams[name]
	if !ok {
		t = &team{cfg: unknownTeam(name), filledAt: now}
		f.teams[name] = t
	}
	return t
}

func (f *FairQueue) pool(name string) *pool {
	p, ok := f.pools[name]
	if !ok {
		p = &pool{name: name, room: f.cfg.PoolLimits.cfg}
		f.pools[name] = p
		f.poolList = append(f.poolList, p)
	}
	return p
}

func (f *FairQueue) flow(now time.Time, w *Request) *flow {
	t := f.team(now, w.cfg.Team)
	for _, fl := range t.flows {
		if fl.pool.name == w.cfg.Pool {
			return fl
		}
	}
	fl := &flow{team: t, pool: f.pool(w.cfg.Pool), inPool: -1}
	t.flows = append(t.flows, fl)
	return fl
}

func (f *FairQueue) add(w *Request, fl *flow) *request {
	var r *request
	if n := len(f.spare); n > 0 {
		r = f.spare[n-1]
		f.spare = f.spare[:n-1]
	} else {
		r = &request{}
	}
	f.order++
	*r = request{work: *w, flow: fl, cost: f.cost(w.prefill(), w.cfg.OutputTokens), order: f.order, inFlow: -1, inExpiry: -1}
	f.requests[w.ID()] = r
	return r
}

func (f *FairQueue) enqueue(now time.Time, r *request) {
	fl := r.flow
	heap.Push(&fl.queue, r)
	fl.cost += r.cost
	fl.team.queued++
	fl.team.queuedTokens += r.work.tokens()
	if d := r.work.cfg.Deadline; !d.IsZero() {
		r.giveUp = d.Add(-f.cfg.margin(r.work.cfg.PredictedDuration))
	}
	f.schedule(r)
	f.activate(fl)
	f.measure(now, fl.pool)
}

// schedule sets the next time at which something is due for a queued request.
func (f *FairQueue) schedule(r *request) {
	r.dueAt = r.giveUp
	if by := r.work.cfg.StartBy; !r.late && !by.IsZero() && (r.giveUp.IsZero() || by.Before(r.giveUp)) {
		r.dueAt = by
	}
	switch {
	case r.inExpiry >= 0 && r.dueAt.IsZero():
		heap.Remove(&f.expiry, r.inExpiry)
	case r.inExpiry >= 0:
		heap.Fix(&f.expiry, r.inExpiry)
	case !r.dueAt.IsZero():
		heap.Push(&f.expiry, r)
	}
}

// demote puts a request behind those of its team that can still be in time.
func (f *FairQueue) demote(r *request) {
	r.late = true
	f.schedule(r)
	heap.Fix(&r.flow.queue, r.inFlow)
}

// activate lets a flow take part in the turns, from now on.
func (f *FairQueue) activate(fl *flow) {
	if fl.inPool >= 0 || fl.parked || len(fl.queue) == 0 {
		return
	}
	fl.catchUp()
	heap.Push(&fl.pool.active, fl)
}

func (f *FairQueue) dequeue(r *request) {
	fl := r.flow
	heap.Remove(&fl.queue, r.inFlow)
	if r.inExpiry >= 0 {
		heap.Remove(&f.expiry, r.inExpiry)
	}
	fl.cost -= r.cost
	fl.team.queued--
	fl.team.queuedTokens -= r.work.tokens()
	if len(fl.queue) > 0 {
		return
	}
	fl.cost = 0
	if fl.inPool >= 0 {
		heap.Remove(&fl.pool.active, fl.inPool)
	}
	f.unparkFlow(fl)
}

// park takes a flow out of the turns while its team's limits hold it back, so
// that others behind it can go on.
func (f *FairQueue) park(now time.Time, fl *flow, w *Request) {
	heap.Remove(&fl.pool.active, fl.inPool)
	fl.parked = true
	fl.wakeAt = time.Time{}
	if f.withinRunning(fl.team) {
		wait := f.bucketWait(fl.team, w)
		fl.wakeAt = now.Add(max(time.Duration(wait*float64(time.Second)), time.Millisecond))
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

func (f *FairQueue) unpark(t *team) {
	for _, fl := range t.flows {
		f.unparkFlow(fl)
	}
}

func (f *FairQueue) unparkDue(now time.Time) {
	for i := len(f.parked) - 1; i >= 0; i-- {
		fl := f.parked[i]
		if !fl.wakeAt.IsZero() && !fl.wakeAt.After(now) {
			f.unparkFlow(fl)
		}
	}
}
