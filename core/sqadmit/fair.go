package sqadmit

import (
	"container/heap"
	"slices"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// FairQueue shares each pool between teams by start-time fair queueing: a team's
// turn comes at a virtual time that moves on by the cost of its requests over
// its weight. What a team leaves unused goes to the others, and a team that
// used idle capacity owes nothing for it. It is not safe for concurrent use.
type FairQueue struct {
	cfg      Config
	teams    map[string]*team
	pools    map[string]*pool
	poolList []*pool
	requests map[uint64]*request
	spare    []*request
	expiry   expiryHeap
	parked   []*flow
	order    uint64
}

// NewFairQueue returns an admitter without teams.
func NewFairQueue(cfg Config) *FairQueue {
	return &FairQueue{
		cfg:      cfg.withDefaults(),
		teams:    make(map[string]*team),
		pools:    make(map[string]*pool),
		requests: make(map[uint64]*request),
	}
}

// SetTeams replaces the teams and their limits. Requests of a team that is
// gone stay, with the least weight.
func (f *FairQueue) SetTeams(now time.Time, teams []Team) {
	for _, t := range f.teams {
		t.known = false
	}
	for i := range teams {
		_, old := f.teams[teams[i].Name()]
		t := f.team(now, teams[i].Name())
		f.fill(now, t)
		t.cfg = teams[i].cfg
		t.known = true
		t.tokens = min(t.tokens, f.burst(t))
		if !old {
			t.tokens = f.burst(t)
		}
		f.unpark(t)
	}
	for _, t := range f.teams {
		if !t.known {
			t.cfg = unknownTeam(t.cfg.Name)
			f.unpark(t)
		}
	}
}

// unknownTeam is for routes open to all and for teams that were taken away.
func unknownTeam(name string) TeamConfig {
	return TeamConfig{Name: name, Weight: MinWeight, TokensPerSecond: Unbounded, MaxRunning: Unbounded, MaxQueued: Unbounded}
}

// SetWeights takes what the deployment values; nil weighs all alike.
func (f *FairQueue) SetWeights(_ time.Time, w *sqcommand.Weights) { f.cfg.Weights = w }

// SetPoolLimits bounds what may be in flight in a pool.
func (f *FairQueue) SetPoolLimits(now time.Time, pool string, room PoolLimits) {
	p := f.pool(pool)
	p.room = room.cfg
	f.measure(now, p)
}

// Next returns a verdict on a queued request that may run now or is too late.
func (f *FairQueue) Next(now time.Time) (Decision, bool) {
	for len(f.expiry) > 0 && f.expiry[0].dueAt.Before(now) {
		r := f.expiry[0]
		if !r.giveUp.IsZero() && (r.giveUp.Before(now) || f.hopeless(now, r)) {
			return f.expire(now, r), true
		}
		f.demote(r)
	}
	f.unparkDue(now)
	for _, p := range f.poolList {
		if r := f.pick(now, p); r != nil {
			v := Decision{
				id: r.work.ID(), action: Run, cause: causeTurn, team: r.flow.team.cfg.Name,
				have: float64(p.running), limit: float64(p.room.MaxRunning),
			}
			f.dequeue(r)
			p.speed.note(now, p.speed.blocked)
			p.speed.cost += r.cost
			f.start(now, r)
			return v, true
		}
	}
	return Decision{}, false
}

func (f *FairQueue) expire(now time.Time, r *request) Decision {
	w := r.work
	left := w.cfg.Deadline.Sub(now).Seconds()
	fl := r.flow
	f.dequeue(r)
	f.forget(r)
	return f.refuse(&w, fl.team, sqerror.DeadlineUnmeetable, causeTooLate, w.cfg.PredictedDuration.Seconds(), left, f.wait(fl, &w)/2)
}

// pick returns the request whose turn it is, or nil.
func (f *FairQueue) pick(now time.Time, p *pool) *request {
	for len(p.active) > 0 {
		fl := p.active[p.turn(f.cfg.goodput())]
		r := fl.queue[0]
		if !p.hasRoom(&r.work) {
			f.measure(now, p)
			return nil
		}
		f.fill(now, fl.team)
		if f.within(fl.team, &r.work) {
			return r
		}
		f.park(now, fl, &r.work)
	}
	f.measure(now, p)
	return nil
}

// measure notes whether requests wait for the pool's room.
func (f *FairQueue) measure(now time.Time, p *pool) {
	blocked := len(p.active) > 0 && !p.hasRoom(&p.active[0].queue[0].work)
	p.speed.note(now, blocked)
}

// start charges a request to its team and pool.
func (f *FairQueue) start(now time.Time, r *request) {
	fl := r.flow
	t, p := fl.team, fl.pool
	p.virtual = max(p.virtual, p.first(fl.start))
	step := r.cost / t.cfg.Weight
	fl.start += step
	p.step += stepMemory * (step - p.step)
	if fl.inPool >= 0 {
		heap.Fix(&p.active, fl.inPool)
	}
	t.tokens -= r.work.tokens()
	t.running++
	p.running++
	p.prefill += r.work.prefill()
	r.running = true
	r.startedAt = now
	f.measure(now, p)
}

// Prefilled notes the first token of a running request.
func (f *FairQueue) Prefilled(now time.Time, id uint64) {
	r, ok := f.requests[id]
	if !ok || !r.running || r.prefilled {
		return
	}
	r.prefilled = true
	r.flow.pool.prefill -= r.work.prefill()
	f.measure(now, r.flow.pool)
}

// Finish notes the end of a running request and corrects its charge: a team
// gains nothing by short estimates.
func (f *FairQueue) Finish(now time.Time, id uint64, used Usage) {
	r, ok := f.requests[id]
	if !ok || !r.running {
		return
	}
	f.Prefilled(now, id)
	fl := r.flow
	t, p := fl.team, fl.pool
	p.running--
	t.running--
	t.ran(now.Sub(r.startedAt))
	f.fill(now, t)
	t.tokens += r.work.tokens() - float64(used.cfg.PromptTokens+used.cfg.OutputTokens)
	prefill := max(0, used.cfg.PromptTokens-used.cfg.CachedTokens)
	fl.start += (f.cost(prefill, used.cfg.OutputTokens) - r.cost) / t.cfg.Weight
	if fl.inPool >= 0 {
		heap.Fix(&p.active, fl.inPool)
	}
	f.forget(r)
	f.unpark(t)
	f.measure(now, p)
}

// Cancel takes back a queued request; true when it was queued.
func (f *FairQueue) Cancel(now time.Time, id uint64) bool {
	r, ok := f.requests[id]
	if !ok || r.running {
		return false
	}
	p := r.flow.pool
	f.dequeue(r)
	f.forget(r)
	f.measure(now, p)
	return true
}

// WakeTime returns when Next should be called though nothing else happens.
func (f *FairQueue) WakeTime(now time.Time) time.Time {
	var at time.Time
	if len(f.expiry) > 0 {
		at = f.expiry[0].dueAt.Add(time.Nanosecond)
	}
	for _, fl := range f.parked {
		if !fl.wakeAt.IsZero() && (at.IsZero() || fl.wakeAt.Before(at)) {
			at = fl.wakeAt
		}
	}
	if !at.IsZero() && at.Before(now) {
		return now
	}
	return at
}

func (f *FairQueue) forget(r *request) {
	delete(f.requests, r.work.ID())
	*r = request{}
	f.spare = append(f.spare, r)
}

func (f *FairQueue) cost(prompt, output int) float64 {
	return float64(prompt) + f.cfg.OutputWeight*float64(output)
}

// Demand returns a team's queued and running requests and queued tokens.
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
