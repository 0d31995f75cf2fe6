package sqadmit

import (
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// FIFO serves requests of all teams in the order of their arrival. It is the
// baseline of Fair.
type FIFO struct {
	cfg      Config
	pools    map[string]*line
	list     []*line
	requests map[uint64]*request
}

// line is the queue of one pool.
type line struct {
	room    PoolLimitsConfig
	running int
	queue   []*request
}

// NewFIFO returns the baseline.
func NewFIFO(cfg Config) *FIFO {
	return &FIFO{cfg: cfg.withDefaults(), pools: make(map[string]*line), requests: make(map[uint64]*request)}
}

// SetTeams is ignored: the baseline knows no teams.
func (f *FIFO) SetTeams(time.Time, []Team) {}

// SetWeights is ignored.
func (f *FIFO) SetWeights(time.Time, *sqcommand.Weights) {}

func (f *FIFO) line(name string) *line {
	l, ok := f.pools[name]
	if !ok {
		l = &line{room: f.cfg.PoolLimits.cfg}
		f.pools[name] = l
		f.list = append(f.list, l)
	}
	return l
}

// SetPoolLimits bounds what may be in flight in a pool.
func (f *FIFO) SetPoolLimits(_ time.Time, pool string, room PoolLimits) { f.line(pool).room = room.cfg }

// Offer runs the request when there is room and queues it otherwise.
func (f *FIFO) Offer(now time.Time, w *Request) Decision {
	l := f.line(w.cfg.Pool)
	r := &request{work: *w}
	f.requests[w.ID()] = r
	if len(l.queue) == 0 && l.running < l.room.MaxRunning {
		return f.run(now, l, r)
	}
	l.queue = append(l.queue, r)
	return Decision{id: w.ID(), action: Queue, cause: causeWaits, team: w.cfg.Team, have: float64(len(l.queue))}
}

func (f *FIFO) run(now time.Time, l *line, r *request) Decision {
	v := Decision{id: r.work.ID(), action: Run, cause: causeArrival, have: float64(l.running), limit: float64(l.room.MaxRunning)}
	l.running++
	r.running = true
	r.startedAt = now
	return v
}

// Next returns a verdict on a queued request.
func (f *FIFO) Next(now time.Time) (Decision, bool) {
	for _, l := range f.list {
		if len(l.queue) == 0 {
			continue
		}
		r := l.queue[0]
		if d := r.work.cfg.Deadline; !d.IsZero() && d.Before(now) {
			l.queue = l.queue[1:]
			delete(f.requests, r.work.ID())
			return Decision{id: r.work.ID(), action: Refuse, kind: sqerror.DeadlineUnmeetable, cause: causeTooLate, retry: f.cfg.MinRetryAfter}, true
		}
		if l.running < l.room.MaxRunning {
			l.queue = l.queue[1:]
			return f.run(now, l, r), true
		}
	}
	return Decision{}, false
}

// Prefilled is ignored: the baseline counts requests only.
func (f *FIFO) Prefilled(time.Time, uint64) {}

// Finish notes the end of a running request.
func (f *FIFO) Finish(_ time.Time, id uint64, _ Usage) {
	if r, ok := f.requests[id]; ok && r.running {
		f.line(r.work.cfg.Pool).running--
		delete(f.requests, id)
	}
}

// Cancel takes back a queued request; true when it was queued.
func (f *FIFO) Cancel(_ time.Time, id uint64) bool {
	r, ok := f.requests[id]
	if !ok || r.running {
		return false
	}
	l := f.line(r.work.cfg.Pool)
	for i := range l.queue {
		if l.queue[i] == r {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			break
		}
	}
	delete(f.requests, id)
	return true
}

// WakeTime returns the first queued deadline.
func (f *FIFO) WakeTime(time.Time) time.Time {
	var at time.Time
	for _, l := range f.list {
		if len(l.queue) == 0 {
			continue
		}
		if d := l.queue[0].work.cfg.Deadline; !d.IsZero() && (at.IsZero() || d.Before(at)) {
			at = d
		}
	}
	return at
}
