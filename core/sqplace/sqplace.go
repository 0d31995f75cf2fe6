// Package sqplace chooses the endpoint of a request without seeing the request's
// content. It compares endpoints by the prompt prefixes that they probably cache,
// by their requests in flight, and by their recent performance. It is made for
// workloads in which long prompts with shared prefixes and short urgent prompts run
// on the same engines, and in which many gateways learn of each other's requests
// only some hundred milliseconds later.
package sqplace

import (
	"slices"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqdeparture"
	"sequoiadock/core/sqlimit"
	"sequoiadock/core/sqtable"
)

// Stage is the part of a language-model request that an engine serves.
type Stage int

// Stages that an endpoint can have.
const (
	// AnyStage is the stage of endpoints of plain services.
	AnyStage Stage = iota
	// Prefill engines process prompts and transfer the KV cache to a decode engine.
	Prefill
	// Decode engines generate tokens; they can also prefill, but more slowly.
	Decode

	stageCount = 3
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
	// ColdUntil is until when the endpoint is slow after its start; the zero time means that
	// it is not.
	ColdUntil time.Time
	// Spot is set if the provider may reclaim the endpoint.
	Spot bool
	// Version is the version of the endpoint's software. Nothing is known of the order of
	// versions.
	Version string
}

// Endpoint is one endpoint of the platform's list.
type Endpoint struct {
	cfg EndpointConfig
}

// NewEndpoint returns the endpoint that cfg describes.
func NewEndpoint(cfg EndpointConfig) Endpoint { return Endpoint{cfg: cfg} }

// ID returns the endpoint's identity, which changes with each restart.
func (e *Endpoint) ID() string { return e.cfg.ID }

// Service returns the name of the service that the endpoint runs.
func (e *Endpoint) Service() string { return e.cfg.Service }

// Address returns the endpoint's "ip:port".
func (e *Endpoint) Address() string { return e.cfg.Address }

// Zone returns the endpoint's availability zone.
func (e *Endpoint) Zone() string { return e.cfg.Zone }

// Version returns the version of the endpoint's software.
func (e *Endpoint) Version() string { return e.cfg.Version }

// Slots returns how many requests the endpoint runs at once.
func (e *Endpoint) Slots() int { return e.cfg.Slots }

// ColdRemaining returns how much longer than now the endpoint is slow after its start.
func (e *Endpoint) ColdRemaining(now time.Time) time.Duration {
	if !e.cfg.ColdUntil.After(now) {
		return 0
	}
	return e.cfg.ColdUntil.Sub(now)
}

// coldTolerance is how much two statements of the time until which an endpoint is slow may
// differ and still count as the same.
const coldTolerance = 1 * time.Second

// WithSteadyCold returns a copy of the endpoint whose time of being slow ends as in the
// previous entry of the same endpoint if it differs little, so that equal entries compare
// as equal although each is read at another time.
func (e Endpoint) WithSteadyCold(now time.Time, previous *Endpoint) Endpoint {
	switch {
	case e.ColdRemaining(now) == 0:
		e.cfg.ColdUntil = time.Time{}
	case previous != nil && e.cfg.ColdUntil.Sub(previous.cfg.ColdUntil).Abs() < coldTolerance:
		e.cfg.ColdUntil = previous.cfg.ColdUntil
	}
	return e
}

// Draining reports whether the endpoint must get no new requests.
func (e *Endpoint) Draining() bool { return e.cfg.Draining }

// WithDraining returns a copy of the endpoint that must get no new requests.
func (e Endpoint) WithDraining() Endpoint {
	e.cfg.Draining = true
	return e
}

// WithStage returns a copy of the endpoint with the stage.
func (e Endpoint) WithStage(s Stage) Endpoint {
	e.cfg.Stage = s
	return e
}

// Stage returns the stage that the endpoint serves.
func (e *Endpoint) Stage() Stage { return e.cfg.Stage }

// Spot reports whether the provider may reclaim the endpoint.
func (e *Endpoint) Spot() bool { return e.cfg.Spot }

// Load is the work that gateways have in flight at an endpoint.
type Load struct {
	// Running counts requests whose answer is not complete.
	Running int
	// PrefillTokens counts the uncached prompt tokens of requests that have
	// no first token yet.
	PrefillTokens int
	// MemoryTokens counts the tokens of KV cache that the requests occupy, BodyBytes the
	// bytes of their bodies. Both are 0 where endpoints' memory is not considered.
	MemoryTokens, BodyBytes int
}

// Query is a request that needs an endpoint.
type Query struct {
	Service string
	Prompt  sqattempt.Prompt
	// Urgent is set for requests of the service's highest priority.
	Urgent bool
	// TimeLeft is the time until the first token, or the whole answer of a plain
	// service, is due.
	TimeLeft time.Duration
	// Tried holds the identities of endpoints that the request was already sent to.
	Tried []string
	// NoRemotePrefill is set if the endpoint that generates the tokens must also
	// prefill the prompt.
	NoRemotePrefill bool
	// SameVersion is set if only endpoints of Version may get the request, since another
	// one of that version has begun to work on it.
	SameVersion bool
	Version     string
	// CountConnections is set if endpoints to which the gateway has an idle connection are
	// preferred among equal ones, MaxIdle limits how long it may have been idle. 0 sets no
	// bound.
	CountConnections bool
	MaxIdle          time.Duration
	// BodyBytes is the size of the request's body, Waited how long the request has waited for
	// room at an endpoint.
	BodyBytes int
	Waited    time.Duration
	// recorder is set if the choice is to be explained and nothing is to be changed.
	recorder *recorder
}

// allows reports whether the version of the endpoint may get the request.
func (q *Query) allows(n *node) bool { return !q.SameVersion || n.endpoint.Version() == q.Version }

// mayServe reports whether the endpoint may get the request now or later.
func (q *Query) mayServe(n *node) bool {
	return q.allows(n) && !n.departing() && !slices.Contains(q.Tried, n.endpoint.ID())
}

// Choice says which endpoints serve a request, or why none does.
type Choice struct {
	// Endpoint is nil if the request cannot be served.
	Endpoint *Endpoint
	// PrefillEndpoint is the endpoint that prefills the prompt for Endpoint, or nil.
	PrefillEndpoint *Endpoint
	// ExpectedLatency is the time until the first token, or until the whole answer
	// of a plain service.
	ExpectedLatency time.Duration
	// UncachedTokens counts the prompt tokens that Endpoint has to prefill if it
	// prefills the prompt itself, PrefillUncachedTokens those that PrefillEndpoint has to.
	UncachedTokens, PrefillUncachedTokens int
	// PrefillLatency is the expected time until PrefillEndpoint has processed the prompt.
	PrefillLatency time.Duration
	// RetryAfter is how long the caller of a refused request waits before a retry.
	RetryAfter time.Duration
	// Reason says why no endpoint was chosen, or why this choice was made.
	Reason string
	// StaleList is set if endpoints are left, but the list of endpoints is too old to tell
	// which are draining.
	StaleList bool
	// Wait is set if no endpoint has room for the request yet but one is expected to in time.
	// It is the time after which to choose again.
	Wait time.Duration
	// roomWait is the time until the chosen endpoint has room for the request.
	roomWait time.Duration
}

// Config configures a Placer.
type Config struct {
	// Zone is the gateway's availability zone.
	Zone string
	// Seed makes gateways choose differently among equal endpoints.
	Seed uint64
	// MaxListAge is how old a list of endpoints may be when the lease holder sends it. 0 sets
	// no bound.
	MaxListAge time.Duration
	// LimitedMemory is set if endpoints fail when the requests that they hold exceed their
	// memory.
	LimitedMemory bool
	// MaxEndpointBodyBytes bounds the bytes of the request bodies that all gateways have in
	// flight at one endpoint with LimitedMemory. 0 sets no bound.
	MaxEndpointBodyBytes int
}

// Placer holds one gateway's state of all endpoints and chooses among them. It is
// not safe for concurrent use.
type Placer struct {
	cfg   Config
	nodes map[string]*node
	// unlisted holds the endpoints of services whose memory is counted that are not listed
	// any more while requests of this gateway run there. The list may lack them for a moment.
	unlisted    map[string]*node
	services    map[string]*pool
	randomState uint64
	// cacheUpdates holds the updates that were not sent to other gateways yet.
	cacheUpdates []CacheUpdate
	// departures holds the endpoints that reported that they are about to stop.
	departures *sqdeparture.Log
	// limits holds the limits that endpoints name and the permits under them.
	limits *sqlimit.Keeper
	// refusals holds until when endpoints want no requests of this gateway, by identity. An
	// endpoint that is not listed for a moment keeps its entry.
	refusals map[string]time.Time
	// list is the age of the list of endpoints.
	list *listAge
	// speeds is what is known of the speeds of all endpoints together.
	speeds *speedState
	// gateways is the number of gateways, at least 1.
	gateways int
}

// pool holds the endpoints of a service and the latencies observed at them.
type pool struct {
	nodes  []*node
	engine *sqtable.Engine
	// meanDuration is the moving average of the duration of a request, connectTime that of
	// the time to open a connection.
	meanDuration, connectTime time.Duration
	// latencyRatio corrects the estimated prefill times, by stage. It is the moving
	// average of the observed over the uncorrected time to the first token.
	latencyRatio [stageCount]float64
	speeds       *speedState
	// reportsSpeed is set once an endpoint of the service has reported its speed.
	reportsSpeed bool
	// limitedMemory is that of the Config. residency and occupancy are used if it is set, or
	// if endpoints report their speed.
	limitedMemory bool
	residency     residencyModel
	occupancy     occupancy
}

// New returns a placer without endpoints.
func New(cfg Config) *Placer {
	return &Placer{
		cfg: cfg, nodes: map[string]*node{}, unlisted: map[string]*node{}, services: map[string]*pool{}, randomState: cfg.Seed, departures: sqdeparture.NewLog(),
		limits: sqlimit.NewKeeper(), refusals: map[string]time.Time{}, list: &listAge{limit: cfg.MaxListAge},
		speeds: newSpeedState(), gateways: 1,
	}
}

// SetEndpoints replaces the list of endpoints. Endpoints that remain listed keep their
// state.
func (p *Placer) SetEndpoints(list []Endpoint) {
	nodes := make(map[string]*node, len(list))
	for _, s := range p.services {
		s.nodes = nil
	}
	for _, e := range list {
		n := p.knownNode(e.ID())
		if n == nil {
			n = newNode(p.list)
			n.leaving, n.refusesUntil = p.departures.Contains(e.ID()), p.refusals[e.ID()]
		}
		n.endpoint = e
		nodes[e.ID()] = n
		s := p.pool(e.Service())
		s.nodes = append(s.nodes, n)
	}
	p.keepUnlisted(nodes)
	p.nodes = nodes
}

// SetServices sets the engine parameters of the services in force.
func (p *Placer) SetServices(list []*sqtable.Service) {
	for _, s := range list {
		p.pool(s.Name()).engine = s.Engine()
	}
}

// SetPeerLoads sets the load that all other gateways together have in flight, by
// endpoint.
func (p *Placer) SetPeerLoads(loads map[string]Load) {
	for id, n := range p.nodes {
		n.remote, n.localAtSum = loads[id], n.local
	}
}

// OwnLoads returns the load that this gateway has in flight, by endpoint.
func (p *Placer) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, n := range p.nodes {
		if n.local != (Load{}) {
			loads[id] = n.local
		}
	}
	for id, n := range p.unlisted {
		if n.local != (Load{}) {
			loads[id] = n.local
		}
	}
	return loads
}

func (p *Placer) pool(service string) *pool {
	s := p.services[service]
	if s == nil {
		s = &pool{
			meanDuration: initialDuration, connectTime: initialConnectTime, latencyRatio: [stageCount]float64{1, 1, 1}, speeds: p.speeds,
			limitedMemory: p.cfg.LimitedMemory, residency: newResidencyModel(), occupancy: newOccupancy(),
		}
		p.services[service] = s
	}
	return s
}
