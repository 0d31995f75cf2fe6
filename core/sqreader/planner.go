package sqreader

import (
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultPollInterval   = 500 * time.Millisecond
	DefaultBytesPerSecond = 4 << 10
	DefaultSmallFleetSize = 32
)

// RoundsPerPoll is the number of planning rounds per poll interval. More than one
// round is needed to poll an endpoint soon after it stops responding to requests.
const RoundsPerPoll = 2

const (
	// idleIntervals is the number of poll intervals between two polls of an
	// endpoint without requests.
	idleIntervals = 5
	// eventIntervals is the number of poll intervals between two polls for cache
	// events alone, at endpoints whose load another entry polls. They are polled
	// in small fleets only: in a large fleet the events of all engines exceed any
	// budget, and entries rely on the prefixes that they routed themselves and on
	// the home endpoints of each prefix.
	eventIntervals = 2
	// maxIdlePolls limits the idle endpoints per poll interval for an entry that
	// polls all endpoints. In a large fleet idle endpoints are polled in turn, so
	// that the cost does not grow with the fleet.
	maxIdlePolls = 8
	// initialPollBytes is the assumed cost of a poll, in bytes, until costs are
	// recorded.
	initialPollBytes = 700
	// costSampleWeight is the weight of one poll in the moving average of the cost
	// of a poll.
	costSampleWeight = 0.05
	// assignedShare is the share of the budget for the endpoints that the entry
	// polls on behalf of all entries. The rest is for endpoints that do not
	// respond to the entry's own requests.
	assignedShare = 0.75
	// quietIntervals is the time without a response to the entry's requests, in
	// poll intervals, after which it polls the endpoint itself. It is longer than
	// the time between two tokens.
	quietIntervals = 0.2
	// earlyIntervals is how early a poll may be, in poll intervals, since rounds do
	// not start at exact times.
	earlyIntervals = 0.25
	// staleIntervals is the age of the last report, in poll intervals, beyond which
	// an entry with requests at an endpoint polls it and does not wait for the
	// reports of other entries.
	staleIntervals = 4
	// burstSeconds limits the unused budget that is kept, in seconds of the rate.
	burstSeconds = 2
)

// Config configures a Planner. Zero fields take the defaults.
type Config struct {
	// PollInterval is the time between two polls of an endpoint with requests.
	// PlanRound is to be called RoundsPerPoll times per interval.
	PollInterval time.Duration
	// BytesPerSecond is the budget for polls in a fleet of more than SmallFleetSize
	// endpoints that the entry shares with others.
	BytesPerSecond int
	// SmallFleetSize is the number of endpoints up to which polls have no budget.
	SmallFleetSize int
}

func (cfg Config) withDefaults() Config {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.SmallFleetSize <= 0 {
		cfg.SmallFleetSize = DefaultSmallFleetSize
	}
	return cfg
}

// EndpointState is what an entry knows about one endpoint when a round begins.
type EndpointState struct {
	// Assigned is true if the entry polls the endpoint on behalf of all entries.
	Assigned bool
	// OwnRequests is true while the entry has requests at the endpoint.
	OwnRequests bool
	// AnyRequests is true if the endpoint had requests of any entry by its last
	// report.
	AnyRequests bool
	// Suspect is true if the entry's own last poll had no response, or an assigned
	// entry reports that the endpoint does not respond.
	Suspect bool
	// RespondedAt is when the entry itself last received a poll response or a
	// token from the endpoint.
	RespondedAt time.Time
	// PolledAt is when the entry last began a poll of the endpoint's load.
	PolledAt time.Time
	// ReportedAt is the time of the endpoint's last load report, polled by any
	// entry.
	ReportedAt time.Time
	// EventsPolledAt is when the entry last polled for cache events.
	EventsPolledAt time.Time
}

// Plan holds the endpoints that an entry polls in one round, as indexes of the
// states given to PlanRound.
type Plan struct {
	read, events []int
}

// Read returns the endpoints to poll for load and cache events.
func (p Plan) Read() []int { return p.read }

// EventPolls returns the endpoints to poll for cache events only.
func (p Plan) EventPolls() []int { return p.events }

// Planner chooses the endpoints that an entry polls in each round. It is not safe
// for concurrent use.
type Planner struct {
	cfg   Config
	round int
	// pollBytes is the moving average of the cost of a poll.
	pollBytes float64
	// assignedBudget and otherBudget are the remaining budgets in bytes for polls of
	// the assigned endpoints and of all others.
	assignedBudget, otherBudget float64
	refilledAt                  time.Time
}

// NewPlanner returns a planner with the given configuration.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), pollBytes: initialPollBytes}
}

// RecordCost records the number and the total bytes of polls since the last call,
// so that the budgets are charged with the actual cost.
func (p *Planner) RecordCost(bytes, polls int) {
	for range min(polls, 100) {
		p.pollBytes += costSampleWeight * (float64(bytes)/float64(polls) - p.pollBytes)
	}
}

// PlanRound returns the endpoints to poll at now; entries is the number of entries
// that share the polls. Up to PollersPerEndpoint entries each poll all endpoints,
// since every one of them is assigned every endpoint anyway.
func (p *Planner) PlanRound(now time.Time, entries int, states []EndpointState) Plan {
	p.round++
	if entries <= PollersPerEndpoint {
		return Plan{read: p.pollAll(states)}
	}
	p.refillBudgets(now)
	var suspects, assigned, others, events []int
	for i := range states {
		s := &states[i]
		switch {
		case s.Suspect && p.intervalsPassed(now, s.PolledAt, 1):
			suspects = append(suspects, i)
			p.otherBudget -= p.pollBytes
		case s.Suspect:
		case s.Assigned && p.assignedPollDue(now, s):
			assigned = append(assigned, i)
		case s.Assigned:
		case p.otherPollDue(now, s):
			others = append(others, i)
		case s.AnyRequests && p.intervalsPassed(now, s.EventsPolledAt, eventIntervals):
			events = append(events, i)
		}
	}
	if len(states) <= p.cfg.SmallFleetSize {
		return Plan{read: append(append(suspects, assigned...), others...), events: events}
	}
	slices.SortStableFunc(assigned, func(a, b int) int { return states[a].PolledAt.Compare(states[b].PolledAt) })
	slices.SortStableFunc(others, func(a, b int) int { return states[a].RespondedAt.Compare(states[b].RespondedAt) })
	return Plan{read: append(append(suspects, p.spend(&p.assignedBudget, assigned)...), p.spend(&p.otherBudget, others)...)}
}

// pollAll returns the endpoints to poll if the entry shares polls with no other.
func (p *Planner) pollAll(states []EndpointState) []int {
	if p.round%RoundsPerPoll != 0 {
		return nil
	}
	var due []int
	cycle := idleCycle(len(states))
	for i := range states {
		if states[i].OwnRequests || states[i].Suspect || (p.round/RoundsPerPoll+i)%cycle == 0 {
			due = append(due, i)
		}
	}
	return due
}

// idleCycle returns the number of poll intervals in which each idle endpoint is
// polled once.
func idleCycle(n int) int { return max(idleIntervals, (n+maxIdlePolls-1)/maxIdlePolls) }

// refillBudgets adds the bytes for the time since the last round to the budgets. What
// exceeds the limit of the assigned budget goes to the other budget.
func (p *Planner) refillBudgets(now time.Time) {
	rate := float64(p.cfg.BytesPerSecond)
	added := rate
	if !p.refilledAt.IsZero() {
		added = rate * now.Sub(p.refilledAt).Seconds()
	}
	p.refilledAt = now
	p.assignedBudget += assignedShare * added
	p.otherBudget += (1 - assignedShare) * added
	if excess := p.assignedBudget - burstSeconds*assignedShare*rate; excess > 0 {
		p.assignedBudget -= excess
		p.otherBudget += excess
	}
	p.otherBudget = min(max(p.otherBudget, -burstSeconds*rate), burstSeconds*rate)
}

// intervalsPassed returns whether a number of poll intervals passed between last and
// now, less the tolerance for early polls.
func (p *Planner) intervalsPassed(now, last time.Time, intervals float64) bool {
	return now.Sub(last) >= p.intervalTime(intervals-earlyIntervals)
}

// intervalTime returns the duration of a number of poll intervals.
func (p *Planner) intervalTime(intervals float64) time.Duration {
	return time.Duration(intervals * float64(p.cfg.PollInterval))
}

// assignedPollDue returns whether a poll of an assigned endpoint is due.
func (p *Planner) assignedPollDue(now time.Time, s *EndpointState) bool {
	if s.OwnRequests || s.AnyRequests {
		return p.intervalsPassed(now, s.PolledAt, 1)
	}
	return p.intervalsPassed(now, s.PolledAt, idleIntervals)
}

// otherPollDue returns whether the entry should poll an endpoint that is assigned
// to others: because the endpoint does not respond to the entry's own requests,
// or because the last report of it is too old.
func (p *Planner) otherPollDue(now time.Time, s *EndpointState) bool {
	sinceResponse, sinceReport := now.Sub(s.RespondedAt), now.Sub(s.ReportedAt)
	if s.OwnRequests && (sinceResponse >= p.intervalTime(quietIntervals) || sinceReport > p.intervalTime(staleIntervals)) {
		return p.intervalsPassed(now, s.PolledAt, 1)
	}
	return sinceReport > p.intervalTime(2*idleIntervals) && p.intervalsPassed(now, s.PolledAt, idleIntervals)
}

// spend charges polls of the endpoints to a budget, in their order, and returns
// those that the budget covers.
func (p *Planner) spend(budget *float64, endpoints []int) []int {
	for i := range endpoints {
		if *budget < p.pollBytes {
			return endpoints[:i]
		}
		*budget -= p.pollBytes
	}
	return endpoints
}
