package sqadmit

import "time"

// request is a queued or running request.
type request struct {
	work    Request
	flow    *flow
	cost    float64
	order   uint64
	running bool
	// prefilled is true once its first token was seen.
	prefilled bool
	startedAt time.Time
	// giveUp is the last time at which a start can still meet the deadline, and
	// dueAt the next time at which something is to be done about the request.
	giveUp time.Time
	dueAt  time.Time
	// late is true once its first token can't come in time.
	late bool
	// inFlow and inExpiry are places in the heaps, -1 when absent.
	inFlow   int
	inExpiry int
}

// team is a customer's use of its limits at this entry.
type team struct {
	cfg      TeamConfig
	tokens   float64
	filledAt time.Time
	running  int
	queued   int
	// queuedTokens is what the queue will be charged to the rate.
	queuedTokens float64
	// duration is the mean of its requests, in seconds.
	duration float64
	flows    []*flow
	known    bool
}

// flow is the queue of one team for one pool.
type flow struct {
	team  *team
	pool  *pool
	queue requestHeap
	// start is the virtual time at which its next request's turn comes.
	start float64
	cost  float64
	// owed is the cost that was refused since its wait was too long.
	owed float64
	// arrivals is the work that is offered.
	arrivals arrivals
	// inPool is the place in the pool's heap, -1 when absent.
	inPool int
	// parked is true while the team's own limits hold it back.
	parked bool
	wakeAt time.Time
}

// pool is one thing that may be short: a model's engines or a plain service.
type pool struct {
	name    string
	room    PoolLimitsConfig
	running int
	prefill int
	// virtual is the start of the request that was last dispatched.
	virtual float64
	// step is the mean by which a request moves its flow's turn on.
	step   float64
	active flowHeap
	speed  speed
}

func (p *pool) hasRoom(w *Request) bool {
	if p.running >= p.room.MaxRunning {
		return false
	}
	return p.prefill == 0 || p.prefill+w.prefill() <= p.room.MaxPrefillTokens
}

// speed measures how much a pool starts while requests wait for its room. Idle
// time says nothing of what the pool can do and isn't counted.
type speed struct {
	cost    float64
	busy    float64
	blocked bool
	at      time.Time
}

// speedMemory is the busy time, in seconds, after which a sample has faded.
const speedMemory = 10

// minBusy is the busy time, in seconds, from which the speed is believed.
const minBusy = 0.5

func (s *speed) note(now time.Time, blocked bool) {
	if s.blocked {
		dt := min(max(0, now.Sub(s.at).Seconds()), speedMemory)
		keep := 1 - dt/(speedMemory+dt)
		s.cost *= keep
		s.busy = s.busy*keep + dt
	}
	s.blocked = blocked
	s.at = now
}

// perSecond returns the cost that the pool starts in a second; 0 is unknown.
func (s *speed) perSecond() float64 {
	if s.busy < minBusy {
		return 0
	}
	return s.cost / s.busy
}
