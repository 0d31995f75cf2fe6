package sqadmit

import "time"

// requestState is the state of a queued or running request.
type requestState struct {
	request Request
	flow    *flow
	// cost is the estimated cost in fair queueing, in prompt tokens.
	cost float64
	// sequence numbers requests in the order of their arrival.
	sequence uint64
	running  bool
	// prefilled is true once the first token has been seen.
	prefilled bool
	startedAt time.Time
	// latestStart is the latest start with which the request can meet its deadline.
	// dueAt is the time of the next expiry check: StartBy or latestStart.
	latestStart time.Time
	dueAt       time.Time
	// late is true once StartBy has passed.
	late bool
	// flowIndex and expiryIndex are the indexes in the heaps, -1 when absent.
	flowIndex   int
	expiryIndex int
}

// team is the state of a team at this entry, with its use of its limits.
type team struct {
	cfg          TeamConfig
	bucketTokens float64
	refilledAt   time.Time
	running      int
	queued       int
	// queuedTokens is the number of tokens that the queued requests will charge to
	// the rate limit.
	queuedTokens float64
	// meanDuration is the moving average of request durations, in seconds.
	meanDuration float64
	flows        []*flow
	// configured is true if the latest SetTeams named the team.
	configured bool
}

// flow is the queue of one team in one pool.
type flow struct {
	team  *team
	pool  *pool
	queue requestHeap
	// startTag is the virtual time at which the flow's next request is due to be
	// dispatched, as in start-time fair queueing.
	startTag float64
	// queuedCost is the total cost of the queue.
	queuedCost float64
	// credit is the cost of requests that were refused because the flow's wait was
	// too long. It lets the flow start earlier when it becomes active again.
	credit float64
	// arrivalRate is the rate of all offered requests, refused ones included.
	arrivalRate arrivalRate
	// poolIndex is the index in the pool's heap of active flows, -1 when absent.
	poolIndex int
	// parked is true while the team's own limits keep the flow from starting
	// requests. The flow is unparked at wakeAt, when a request of the team ends, or
	// when SetTeams is called. The zero wakeAt means that no time is set.
	parked bool
	wakeAt time.Time
}

// pool is the capacity that teams share: a model's engines or a plain service.
type pool struct {
	name          string
	limits        PoolLimitsConfig
	running       int
	prefillTokens int
	// virtualTime is the start tag of the request that was dispatched last.
	virtualTime float64
	// meanStep is the moving average of what a request adds to its flow's start tag.
	meanStep float64
	// active holds the flows with queued requests that are not parked.
	active      flowHeap
	serviceRate serviceRate
	startedRate startedRate
	// hadRoomAt is when a request last started on arrival, or when the pool's first
	// request arrived if none has.
	hadRoomAt time.Time
}

func (p *pool) hasCapacity(req *Request) bool {
	if p.running >= p.limits.MaxRunning {
		return false
	}
	return p.prefillTokens == 0 || p.prefillTokens+req.prefillTokens() <= p.limits.MaxPrefillTokens
}

// serviceRate measures the cost per second that a pool starts while requests
// wait for its capacity. Idle time says nothing about the capacity of the pool
// and is not counted.
type serviceRate struct {
	cost        float64
	busySeconds float64
	saturated   bool
	updatedAt   time.Time
}

// serviceRateMemorySeconds is the saturated time, in seconds, over which old
// samples decay.
const serviceRateMemorySeconds = 10

// minBusySeconds is the saturated time, in seconds, below which the measured rate
// is not used.
const minBusySeconds = 0.5

func (s *serviceRate) update(now time.Time, saturated bool) {
	if s.saturated {
		elapsed := min(max(0, now.Sub(s.updatedAt).Seconds()), serviceRateMemorySeconds)
		decay := 1 - elapsed/(serviceRateMemorySeconds+elapsed)
		s.cost *= decay
		s.busySeconds = s.busySeconds*decay + elapsed
	}
	s.saturated = saturated
	s.updatedAt = now
}

// perSecond returns the cost that the pool starts per second, or 0 if it is not
// known.
func (s *serviceRate) perSecond() float64 {
	if s.busySeconds < minBusySeconds {
		return 0
	}
	return s.cost / s.busySeconds
}
