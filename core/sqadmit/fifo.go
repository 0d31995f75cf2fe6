package sqadmit

import (
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// FIFO is an admitter that serves the requests of all teams in the order of their
// arrival. It is the baseline that FairQueue is compared with.
type FIFO struct {
	cfg      Config
	pools    map[string]*fifoPool
	poolList []*fifoPool
	requests map[uint64]*requestState
}

// fifoPool is the queue of one pool.
type fifoPool struct {
	limits  PoolLimitsConfig
	running int
	queue   []*requestState
}

// NewFIFO returns an admitter that serves requests in the order of their arrival.
func NewFIFO(cfg Config) *FIFO {
	return &FIFO{cfg: cfg.withDefaults(), pools: make(map[string]*fifoPool), requests: make(map[uint64]*requestState)}
}

// SetTeams does nothing: FIFO does not distinguish teams.
func (f *FIFO) SetTeams(time.Time, []Team) {}

// SetWeights does nothing: FIFO has no objectives to weigh.
func (f *FIFO) SetWeights(time.Time, *sqcommand.Weights) {}

func (f *FIFO) poolFor(name string) *fifoPool {
	p, ok := f.pools[name]
	if !ok {
		p = &fifoPool{limits: f.cfg.PoolLimits.cfg}
		f.pools[name] = p
		f.poolList = append(f.poolList, p)
	}
	return p
}

// SetPoolLimits limits what may be in flight in a pool; only MaxRunning is used.
func (f *FIFO) SetPoolLimits(_ time.Time, pool string, l PoolLimits) { f.poolFor(pool).limits = l.cfg }

// Offer runs the request if the pool has capacity and queues it otherwise.
func (f *FIFO) Offer(now time.Time, req *Request) Decision {
	p := f.poolFor(req.cfg.Pool)
	r := &requestState{request: *req}
	f.requests[req.ID()] = r
	if len(p.queue) == 0 && p.running < p.limits.MaxRunning {
		return f.dispatch(now, p, r)
	}
	p.queue = append(p.queue, r)
	return Decision{id: req.ID(), action: Queue, reason: reasonQueued, team: req.cfg.Team, actual: float64(len(p.queue))}
}

func (f *FIFO) dispatch(now time.Time, p *fifoPool, r *requestState) Decision {
	d := Decision{id: r.request.ID(), action: Run, reason: reasonArrivalOrder,
		actual: float64(p.running), limit: float64(p.limits.MaxRunning)}
	p.running++
	r.running = true
	r.startedAt = now
	return d
}

// Next returns a decision on the oldest request of a pool if it may run now or its
// deadline has passed; false means that there is none.
func (f *FIFO) Next(now time.Time) (Decision, bool) {
	for _, p := range f.poolList {
		if len(p.queue) == 0 {
			continue
		}
		r := p.queue[0]
		if deadline := r.request.cfg.Deadline; !deadline.IsZero() && deadline.Before(now) {
			p.queue = p.queue[1:]
			delete(f.requests, r.request.ID())
			return Decision{id: r.request.ID(), action: Refuse, kind: sqerror.DeadlineUnmeetable,
				reason: reasonDeadline, retryAfter: f.cfg.MinRetryAfter}, true
		}
		if p.running < p.limits.MaxRunning {
			p.queue = p.queue[1:]
			return f.dispatch(now, p, r), true
		}
	}
	return Decision{}, false
}

// RecordFirstToken does nothing: FIFO only counts requests.
func (f *FIFO) RecordFirstToken(time.Time, uint64) {}

// Finish records the end of a running request.
func (f *FIFO) Finish(_ time.Time, id uint64, _ Usage) {
	if r, ok := f.requests[id]; ok && r.running {
		f.poolFor(r.request.cfg.Pool).running--
		delete(f.requests, id)
	}
}

// Cancel removes a queued request; it returns false if the request was not
// queued.
func (f *FIFO) Cancel(_ time.Time, id uint64) bool {
	r, ok := f.requests[id]
	if !ok || r.running {
		return false
	}
	p := f.poolFor(r.request.cfg.Pool)
	for i := range p.queue {
		if p.queue[i] == r {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	delete(f.requests, id)
	return true
}

// WakeTime returns the earliest deadline of the pools' oldest requests; the zero
// time means never.
func (f *FIFO) WakeTime(time.Time) time.Time {
	var wakeTime time.Time
	for _, p := range f.poolList {
		if len(p.queue) == 0 {
			continue
		}
		if deadline := p.queue[0].request.cfg.Deadline; !deadline.IsZero() &&
			(wakeTime.IsZero() || deadline.Before(wakeTime)) {
			wakeTime = deadline
		}
	}
	return wakeTime
}
