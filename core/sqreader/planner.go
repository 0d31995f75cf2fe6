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

// RoundsPerPoll is how many rounds come in the time between two readings of
// an endpoint, so that work that falls silent is asked after soon.
const RoundsPerPoll = 2

const (
	// idleFactor is how many times longer the pause between two readings is where
	// nothing works.
	idleFactor = 5
	// eventsFactor is how many times longer the pause between two readings of
	// cache events is where another entry reads the load. Only small fleets read
	// them: in a large one the events of all engines pass any budget, and entries
	// go by what they placed themselves and where a prefix has its homes.
	eventsFactor = 2
	// idlePerRound bounds the readings of idle endpoints at a time for an entry
	// that reads all: in a large fleet they take turns, and cost the same.
	idlePerRound = 8
	// readCost is the first guess of what one reading costs in bytes.
	readCost = 700
	// learnCost is the weight of a new sample in the cost of a reading.
	learnCost = 0.05
	// ownPart is the part of the budget for the endpoints that the entry reads
	// for all; the rest is for those of its own work that give no sign of life.
	ownPart = 0.75
	// quietPart is the part of Every after which work without a sign of life is
	// asked after. It is longer than the time between two tokens.
	quietPart = 0.2
	// slack is the part of Every by which a reading may come early, since rounds
	// do not come at exact times.
	slack = 0.25
	// oldFactor is the age, in times of Every, beyond which an entry with work at an
	// endpoint does not wait for what others read.
	oldFactor = 4
	// burst is how many seconds' budget is kept when it is not used.
	burst = 2
)

// Config configures a Planner. Fields left at zero take the defaults.
type Config struct {
	// PollInterval is the time between two readings of an endpoint with work. Rounds come
	// RoundsPerReading times as often.
	PollInterval time.Duration
	// BytesPerSecond is what readings may cost in a second where more than Small endpoints
	// stand and other entries share the reading.
	BytesPerSecond int
	// SmallFleetSize is the number of endpoints up to which each is read at full rate.
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

// EndpointState is what an entry knows of one endpoint when a round begins.
type EndpointState struct {
	// Assigned is true when the entry reads the endpoint for all.
	Assigned bool
	// OwnRequests is true while the entry has work there.
	OwnRequests bool
	// AnyRequests is true while anybody has work there, by the last reading.
	AnyRequests bool
	// Suspect is true when the entry's own last poll had no answer, or a reader
	// says that the endpoint is silent.
	Suspect bool
	// RespondedAt is when the entry itself last had an answer or a token from there.
	RespondedAt time.Time
	// PolledAt is when the entry last began to read it.
	PolledAt time.Time
	// ReportedAt is when the last reading was taken, by any entry.
	ReportedAt time.Time
	// EventsPolledAt is when the entry last asked for cache events.
	EventsPolledAt time.Time
}

// Plan is what an entry reads in one round, as indexes of endpoints.
type Plan struct {
	read, events []int
}

// Read returns the endpoints of which load and cache events are read.
func (p Plan) Read() []int { return p.read }

// EventPolls returns those of which only cache events are read.
func (p Plan) EventPolls() []int { return p.events }

// Planner chooses what an entry reads in each round. It is not safe for
// concurrent use.
type Planner struct {
	cfg   Config
	round int
	cost  float64
	// own and other are the budgets in bytes for the endpoints that the entry
	// reads for all, and for the rest.
	own, other float64
	filledAt   time.Time
}

// NewPlanner returns a planner as cfg describes.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), cost: readCost}
}

// RecordCost takes what readings cost since the last call, so that the budget counts
// what is really sent.
func (p *Planner) RecordCost(bytes, readings int) {
	for range min(readings, 100) {
		p.cost += learnCost * (float64(bytes)/float64(readings) - p.cost)
	}
}

// PlanRound returns what to read now. Alone, or with one other, an entry reads
// everything by itself, since nobody could hand it more than it would read.
func (p *Planner) PlanRound(now time.Time, entries int, states []EndpointState) Plan {
	p.round++
	if entries <= ReadersPerEndpoint {
		return Plan{read: p.all(states)}
	}
	p.fill(now)
	var due, mine, rest, events []int
	for i := range states {
		s := &states[i]
		switch {
		case s.Suspect && p.passed(now, s.PolledAt, 1):
			due = append(due, i)
			p.other -= p.cost
		case s.Suspect:
		case s.Assigned && p.isDue(now, s):
			mine = append(mine, i)
		case s.Assigned:
		case p.wants(now, s):
			rest = append(rest, i)
		case s.AnyRequests && p.passed(now, s.EventsPolledAt, eventsFactor):
			events = append(events, i)
		}
	}
	if len(states) <= p.cfg.SmallFleetSize {
		return Plan{read: append(append(due, mine...), rest...), events: events}
	}
	slices.SortStableFunc(mine, func(a, b int) int { return states[a].PolledAt.Compare(states[b].PolledAt) })
	slices.SortStableFunc(rest, func(a, b int) int { return states[a].RespondedAt.Compare(states[b].RespondedAt) })
	return Plan{read: append(append(due, p.afford(&p.own, mine)...), p.afford(&p.other, rest)...)}
}

// all is the plan of an entry that shares with nobody.
func (p *Planner) all(states []EndpointState) []int {
	if p.round%RoundsPerPoll != 0 {
		return nil
	}
	var due []int
	turns := idleTurns(len(states))
	for i := range states {
		if states[i].OwnRequests || states[i].Suspect || (p.round/RoundsPerPoll+i)%turns == 0 {
			due = append(due, i)
		}
	}
	return due
}

// idleTurns returns in how many turns the idle endpoints of a fleet of n are
// read.
func idleTurns(n int) int { return max(idleFactor, (n+idlePerRound-1)/idlePerRound) }

// fill adds to the budgets what the time since the last round gives. What the
// first leaves unused goes to the second.
func (p *Planner) fill(now time.Time) {
	rate := float64(p.cfg.BytesPerSecond)
	gained := rate
	if !p.filledAt.IsZero() {
		gained = rate * now.Sub(p.filledAt).Seconds()
	}
	p.filledAt = now
	p.own += ownPart * gained
	p.other += (1 - ownPart) * gained
	if over := p.own - burst*ownPart*rate; over > 0 {
		p.own -= over
		p.other += over
	}
	p.other = min(max(p.other, -burst*rate), burst*rate)
}

// passed returns whether a number of times Every passed since the last reading.
func (p *Planner) passed(now, last time.Time, times float64) bool {
	return now.Sub(last) >= p.times(times-slack)
}

func (p *Planner) times(factor float64) time.Duration {
	return time.Duration(factor * float64(p.cfg.PollInterval))
}

// isDue returns whether the time has come to read an endpoint for all.
func (p *Planner) isDue(now time.Time, s *EndpointState) bool {
	if s.OwnRequests || s.AnyRequests {
		return p.passed(now, s.PolledAt, 1)
	}
	return p.passed(now, s.PolledAt, idleFactor)
}

// wants returns whether an entry should read an endpoint that others read for
// it: its own work there gives no sign of life, or nobody tells of it.
func (p *Planner) wants(now time.Time, s *EndpointState) bool {
	quiet, old := now.Sub(s.RespondedAt), now.Sub(s.ReportedAt)
	if s.OwnRequests && (quiet >= p.times(quietPart) || old > p.times(oldFactor)) {
		return p.passed(now, s.PolledAt, 1)
	}
	return old > p.times(2*idleFactor) && p.passed(now, s.PolledAt, idleFactor)
}

// afford returns the first of the wanted endpoints, as far as a budget goes.
func (p *Planner) afford(budget *float64, wanted []int) []int {
	for i := range wanted {
		if *budget < p.cost {
			return wanted[:i]
		}
		*budget -= p.cost
	}
	return wanted
}
