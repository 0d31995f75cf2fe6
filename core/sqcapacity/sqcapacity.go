// Package sqcapacity plans how many endpoints of a language-model service run in
// each availability zone, which of them may be reclaimed, and how many engines
// read prompts ahead for the others. It answers loads that swing within seconds,
// faster than an ordered endpoint is ready, on fleets where endpoints that may be
// reclaimed are much cheaper and leave a whole zone at once.
package sqcapacity

import (
	"time"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
)

// Demand is what gateways sent to a service since some fixed time.
type Demand struct {
	// PrefillTokens are prompt tokens that engines had to read.
	PrefillTokens float64
	// DecodeTime is the time that requests took from their first token on.
	DecodeTime time.Duration
	Requests   float64
}

// Service is one service with the endpoints that are listed for it.
type Service struct {
	Name      string
	Scaling   *sqtable.Scaling
	Engine    *sqtable.Engine
	Endpoints []sqplace.Endpoint
	Demand    Demand
	// FirstFleet is how many endpoints there were before any were ordered, as an earlier
	// holder saw it; 0 if none did.
	FirstFleet int
}

// Order is how many endpoints of a kind there shall be in a zone.
type Order struct {
	Service string
	Zone    string
	Spot    bool
	Count   int
	// Listed is how many are listed.
	Listed int
	Reason string
}

// StageChange is a new stage for an engine.
type StageChange struct {
	Endpoint sqplace.Endpoint
	Stage    sqplace.Stage
	Reason   string
}

// Planner keeps what it has seen of the demand. It is not safe for concurrent
// use.
type Planner struct {
	services map[string]*service
}

// service is what a planner keeps of a service.
type service struct {
	rates rates
	// first is how many endpoints there were at first, wanted how many there shall
	// be.
	first, wanted int
	grownAt       time.Time
	// ordered is what was ordered last, by zone and kind.
	ordered map[kind]ordered
	// switched is when an engine's stage was last ordered.
	switched map[string]time.Time
}

type kind struct {
	zone string
	spot bool
}

type ordered struct {
	count int
	at    time.Time
	// refusedAt is when there were none to be had.
	refusedAt time.Time
}

// New returns a planner that has seen nothing.
func New() *Planner { return &Planner{services: map[string]*service{}} }

// FirstFleet returns how many endpoints a service had before any were ordered, 0
// while that is not certain.
func (p *Planner) FirstFleet(now time.Time, service string) int {
	s := p.service(service)
	if s.first == 0 || now.Sub(s.grownAt) < settled {
		return 0
	}
	return s.first
}

func (p *Planner) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{ordered: map[kind]ordered{}, switched: map[string]time.Time{}}
		p.services[name] = s
	}
	return s
}

// RecordDemand takes the demand of a service at now.
func (p *Planner) RecordDemand(now time.Time, s *Service) { p.service(s.Name).rates.see(now, s.Demand) }

// RecordOrder notes that an order was sent.
func (p *Planner) RecordOrder(now time.Time, o Order) {
	s := p.service(o.Service)
	k := kind{o.Zone, o.Spot}
	was := s.ordered[k]
	s.ordered[k] = ordered{count: o.Count, at: now, refusedAt: was.refusedAt}
}

// RecordRefusal notes that there were no endpoints of the kind to be had.
func (p *Planner) RecordRefusal(now time.Time, o Order) {
	s := p.service(o.Service)
	k := kind{o.Zone, o.Spot}
	was := s.ordered[k]
	was.refusedAt = now
	s.ordered[k] = was
}
