// Package sqplace chooses the endpoint of a request whose content it does not
// see, by the prompt parts that endpoints probably keep, by what is in flight,
// and by how they lately did. It answers loads in which long prompts with shared
// parts and short urgent ones share the same engines, seen by many gateways that
// hear of each other only some hundred milliseconds later.
package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqtable"
)

// Stage is the work that an engine takes.
type Stage int

// Stages of engines.
const (
	// AnyStage is that of plain services.
	AnyStage Stage = iota
	// Prefill engines read prompts and hand their KV cache on.
	Prefill
	// Decode engines produce tokens; they read prompts too, but more slowly.
	Decode

	stages = 3
)

// String returns the name of the stage in logs.
func (s Stage) String() string { return [...]string{"any", "prefill", "decode"}[s] }

// EndpointConfig describes an Endpoint.
type EndpointConfig struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Stage    Stage
	// ColdRemaining is for how long the endpoint is still slow after its start.
	ColdRemaining time.Duration
	// Spot endpoints may be reclaimed.
	Spot bool
}

// Endpoint is one listed endpoint.
type Endpoint struct {
	cfg EndpointConfig
}

// NewEndpoint returns the endpoint that cfg describes.
func NewEndpoint(cfg EndpointConfig) Endpoint { return Endpoint{cfg: cfg} }

// ID returns the identity, which a restart changes.
func (e *Endpoint) ID() string { return e.cfg.ID }

// Service returns the service that it runs.
func (e *Endpoint) Service() string { return e.cfg.Service }

// Address returns its "ip:port".
func (e *Endpoint) Address() string { return e.cfg.Address }

// Zone returns its availability zone.
func (e *Endpoint) Zone() string { return e.cfg.Zone }

// Slots returns how many requests it runs at once.
func (e *Endpoint) Slots() int { return e.cfg.Slots }

// ColdRemaining returns for how long it is still slow after its start.
func (e *Endpoint) ColdRemaining() time.Duration { return e.cfg.ColdRemaining }

// Draining returns whether it must get no new work.
func (e *Endpoint) Draining() bool { return e.cfg.Draining }

// WithDraining returns the endpoint as one that must get no new work.
func (e Endpoint) WithDraining() Endpoint {
	e.cfg.Draining = true
	return e
}

// WithStage returns the endpoint as one that has the stage.
func (e Endpoint) WithStage(s Stage) Endpoint {
	e.cfg.Stage = s
	return e
}

// Stage returns the work that it takes.
func (e *Endpoint) Stage() Stage { return e.cfg.Stage }

// Spot returns whether it may be reclaimed.
func (e *Endpoint) Spot() bool { return e.cfg.Spot }

// Load is what gateways have in flight at an endpoint.
type Load struct {
	// Running counts requests without a whole answer.
	Running int
	// PendingPrefillTokens counts prompt tokens of requests without a first token.
	PendingPrefillTokens int
}

// Query is a request that needs an endpoint.
type Query struct {
	Service string
	Prompt  sqattempt.Prompt
	// Urgent is set for requests of the most urgent rank of the service.
	Urgent bool
	// TimeLeft is the time until the first token or the whole answer must be there.
	TimeLeft time.Duration
	// Tried are the identities of endpoints that the request has been sent to.
	Tried []string
	// NoRemotePrefill is set if the prompt must not be read at another endpoint first.
	NoRemotePrefill bool
}

// Choice is where a request goes.
type Choice struct {
	// Endpoint is nil if the request cannot be served.
	Endpoint *Endpoint
	// Prefill is the endpoint that reads the prompt first, or nil.
	Prefill *Endpoint
	// ExpectedLatency is the time until the first token or the whole answer.
	ExpectedLatency time.Duration
	// UncachedTokens are the prompt tokens that Endpoint has to read, PrefillUnread
	// those that Prefill has to.
	UncachedTokens, PrefillUncachedTokens int
	// PrefillLatency is the time until Prefill has read the prompt.
	PrefillLatency time.Duration
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Reason says why there is no endpoint, or what decided.
	Reason string
}

// Config configures a Placer.
type Config struct {
	// Zone is the gateway's availability zone.
	Zone string
	// Seed spreads the choices of gateways among equal endpoints.
	Seed uint64
}

// Placer is one gateway's view of all endpoints. It is not safe for concurrent
// use.
type Placer struct {
	cfg      Config
	nodes    map[string]*node
	services map[string]*pool
	draws    uint64
	// reads wait to be told to other gateways.
	reads []CacheUpdate
}

// pool is the endpoints of a service and what was learnt of them.
type pool struct {
	nodes  []*node
	engine *sqtable.Engine
	// duration is how long a request takes at an endpoint.
	duration time.Duration
	// pace is the observed time to a first token over the expected one, by stage.
	pace [stages]float64
}

// New returns a placer without endpoints.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, nodes: map[string]*node{}, services: map[string]*pool{}, draws: cfg.Seed}
}

// SetFleet replaces the list of endpoints. What is known of those that stay is
// kept.
func (p *Placer) SetFleet(list []Endpoint) {
	nodes := make(map[string]*node, len(list))
	for _, s := range p.services {
		s.nodes = nil
	}
	for _, e := range list {
		n := p.nodes[e.ID()]
		if n == nil {
			n = newNode()
		}
		n.endpoint = e
		nodes[e.ID()] = n
		s := p.pool(e.Service())
		s.nodes = append(s.nodes, n)
	}
	p.nodes = nodes
}

// SetServices takes the engine figures of the services in force.
func (p *Placer) SetServices(list []*sqtable.Service) {
	for _, s := range list {
		p.pool(s.Name()).engine = s.Engine()
	}
}

// SetRemoteLoads takes what all other gateways together have in flight.
func (p *Placer) SetRemoteLoads(loads map[string]Load) {
	for id, n := range p.nodes {
		n.others = loads[id]
	}
}

// LocalLoads returns what this gateway has in flight, by endpoint.
func (p *Placer) LocalLoads() map[string]Load {
	loads := map[string]Load{}
	for id, n := range p.nodes {
		if n.own != (Load{}) {
			loads[id] = n.own
		}
	}
	return loads
}

func (p *Placer) pool(service string) *pool {
	s := p.services[service]
	if s == nil {
		s = &pool{duration: initialDuration, pace: [stages]float64{1, 1, 1}}
		p.services[service] = s
	}
	return s
}
