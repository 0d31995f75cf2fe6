// Package sqcapacity plans how many endpoints of a language-model service run in
// each availability zone, how many of them are spot endpoints, and how many engines
// serve the prefill stage. It is made for loads that swing within seconds, faster
// than an ordered endpoint becomes ready, and for fleets where spot endpoints are
// much cheaper than on-demand endpoints but can be reclaimed in a whole zone at once.
package sqcapacity

import (
	"time"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
)

// Demand is the cumulative work that gateways sent to a service since some fixed time.
type Demand struct {
	// PrefillTokens counts the uncached prompt tokens that engines had to prefill.
	PrefillTokens float64
	// DecodeTime is the sum over requests of the time from the first token to the end.
	DecodeTime time.Duration
	Requests   float64
}

// Service is one service with its demand and its listed endpoints.
type Service struct {
	Name      string
	Scaling   *sqtable.Scaling
	Engine    *sqtable.Engine
	Endpoints []sqplace.Endpoint
	// Limited holds the IDs of the endpoints that take fewer requests than they usually do.
	Limited map[string]bool
	// WorkFactors is how long work takes at endpoints relative to the usual time, by ID. It
	// is 1 for those that are left out.
	WorkFactors map[string]float64
	Demand      Demand
	// InitialEndpoints is the number of endpoints before any were ordered, as recorded by an
	// earlier lease holder; 0 if none recorded it.
	InitialEndpoints int
	// ReplacesReclaimed is set if on-demand endpoints run in place of reclaimed spot
	// endpoints only while they are needed, instead of as a constant reserve.
	ReplacesReclaimed bool
}

// Order sets the number of spot or on-demand endpoints of a service in a zone.
type Order struct {
	Service string
	Zone    string
	Spot    bool
	Count   int
	// Listed is the number of such endpoints that the platform lists; Count is the
	// number that it shall run.
	Listed int
	Reason string
}

// StageChange assigns a new stage to an engine.
type StageChange struct {
	Endpoint sqplace.Endpoint
	Stage    sqplace.Stage
	Reason   string
}

// Planner plans the capacity of services from their recent demand and from earlier
// orders. It is not safe for concurrent use.
type Planner struct {
	services map[string]*serviceState
}

// serviceState is a planner's state of one service.
type serviceState struct {
	demand demandHistory
	// initialEndpoints is the number of endpoints before any were ordered, target the
	// number that shall run.
	initialEndpoints, target int
	grownAt                  time.Time
	// lastOrders holds the last order of each zone for spot and for on-demand
	// endpoints.
	lastOrders map[orderKey]lastOrder
	// stageChangedAt is when the last stage change was planned, by engine identity.
	stageChangedAt map[string]time.Time
	// spots holds the state of the spot endpoints of each zone.
	spots map[string]*zoneSpots
	// replacesReclaimed is set once the service's ReplacesReclaimed was.
	replacesReclaimed bool
	// planned is set once orders were planned, takesOver if an earlier lease holder had
	// ordered endpoints by then. demandSince is since when the planner knows of requests.
	planned, takesOver bool
	demandSince        time.Time
}

type orderKey struct {
	zone string
	spot bool
}

type lastOrder struct {
	count  int
	sentAt time.Time
	// refusedAt is when the platform last had no such endpoints available.
	refusedAt time.Time
}

// New returns a planner without any demand or orders.
func New() *Planner { return &Planner{services: map[string]*serviceState{}} }

// InitialEndpoints returns how many endpoints a service had before any were ordered, or 0
// until the list of endpoints has not grown for initialEndpointsStableTime.
func (p *Planner) InitialEndpoints(now time.Time, service string) int {
	s := p.service(service)
	if s.initialEndpoints == 0 || now.Sub(s.grownAt) < initialEndpointsStableTime {
		return 0
	}
	return s.initialEndpoints
}

func (p *Planner) service(name string) *serviceState {
	s := p.services[name]
	if s == nil {
		s = &serviceState{lastOrders: map[orderKey]lastOrder{}, stageChangedAt: map[string]time.Time{}, spots: map[string]*zoneSpots{}}
		p.services[name] = s
	}
	return s
}

// Observe records the cumulative demand of a service at now.
func (p *Planner) Observe(now time.Time, s *Service) { p.service(s.Name).demand.add(now, s.Demand) }

// RecordOrder records that an order was sent at now.
func (p *Planner) RecordOrder(now time.Time, o Order) {
	s := p.service(o.Service)
	k := orderKey{o.Zone, o.Spot}
	last := s.lastOrders[k]
	s.lastOrders[k] = lastOrder{count: o.Count, sentAt: now, refusedAt: last.refusedAt}
}

// RecordRefusal records that the platform had no endpoints available for an order.
func (p *Planner) RecordRefusal(now time.Time, o Order) {
	s := p.service(o.Service)
	k := orderKey{o.Zone, o.Spot}
	last := s.lastOrders[k]
	last.refusedAt = now
	s.lastOrders[k] = last
}
