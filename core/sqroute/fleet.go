package sqroute

import (
	"time"

	"sequoiadock/core/sqcache"
)

// Fleet is what one entry knows of the endpoints: the holder's list, their late
// reports, the other entries' late loads, its own work in flight, and what it
// learned of their speed and caches. It is not safe for concurrent use.
type Fleet struct {
	cfg Config
	// zoneCost is the setting in seconds, pieceTokens the one in tokens.
	zoneCost    float64
	pieceTokens float64
	cache       *sqcache.Index
	nodes       []node
	free        []uint32
	byID        map[string]uint32
	// self and entries are for the turns.
	self    string
	entries []string
	models  map[string]*group
	plains  map[string]*group
}

// NewFleet returns an empty fleet.
func NewFleet(cfg Config, cache *sqcache.Index) *Fleet {
	cfg = cfg.withDefaults()
	return &Fleet{
		cfg: cfg, zoneCost: cfg.CrossZoneLatency.Seconds(), pieceTokens: float64(cfg.BlockTokens),
		cache:  cache,
		byID:   make(map[string]uint32),
		models: make(map[string]*group),
		plains: make(map[string]*group),
	}
}

// SetEndpoints replaces the list of endpoints and keeps what is known of those
// that stay.
func (f *Fleet) SetEndpoints(now time.Time, endpoints []Endpoint) {
	seen := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		seen[endpoints[i].ID()] = true
		f.set(at(now), endpoints[i])
	}
	for id, number := range f.byID {
		if !seen[id] {
			f.drop(id, number)
		}
	}
	f.regroup(endpoints)
	f.takeTurns()
}

func (f *Fleet) set(now instant, e Endpoint) {
	number, ok := f.byID[e.ID()]
	if !ok {
		number = f.number()
		f.byID[e.ID()] = number
		generation := f.nodes[number].generation
		f.nodes[number] = f.newNode(now, generation, e.Role())
	}
	n := &f.nodes[number]
	if ok && n.endpoint.Role() != e.Role() {
		f.resetSpeed(n, e.Role())
	}
	if ok && (n.endpoint.Role() != e.Role() || n.endpoint.Unschedulable() && !e.Unschedulable()) {
		n.openedAt = now
	}
	n.endpoint = e
	n.remote = e.Zone() != f.cfg.Zone
	n.present = true
}

// number returns a free place. Places are used again, so what the cache index
// knows of the earlier endpoint is forgotten when one is freed.
func (f *Fleet) number() uint32 {
	if n := len(f.free); n > 0 {
		number := f.free[n-1]
		f.free = f.free[:n-1]
		return number
	}
	f.nodes = append(f.nodes, node{})
	return uint32(len(f.nodes) - 1)
}

func (f *Fleet) drop(id string, number uint32) {
	delete(f.byID, id)
	generation := f.nodes[number].generation + 1
	f.nodes[number] = node{generation: generation}
	f.free = append(f.free, number)
	f.cache.Forget(number)
}

// SetReport takes an endpoint's own report of its load.
func (f *Fleet) SetReport(now time.Time, id string, r Report) {
	if number, ok := f.byID[id]; ok {
		f.nodes[number].setReport(at(now), r)
	}
}

// SetPeerLoads takes the loads of the other entries, as the holder summed them.
// Endpoints that are not listed have none.
func (f *Fleet) SetPeerLoads(_ time.Time, loads []Load) {
	for i := range f.nodes {
		f.nodes[i].others = backlog{}
	}
	for _, l := range loads {
		if number, ok := f.byID[l.Endpoint()]; ok {
			f.nodes[number].others = backlog{running: l.Running(), prefill: l.PrefillTokens(), decode: l.DecodeTokens()}
		}
	}
}

// NextEventNumber returns the number to ask the endpoint's cache events from.
func (f *Fleet) NextEventNumber(id string) uint64 {
	number, ok := f.byID[id]
	if !ok {
		return 0
	}
	return f.cache.NextEventNumber(number)
}

// ApplyEvents takes an endpoint's cache events.
func (f *Fleet) ApplyEvents(now time.Time, id string, events []sqcache.Event) {
	number, ok := f.byID[id]
	if !ok {
		return
	}
	for _, e := range events {
		f.cache.Apply(now, number, e)
	}
}

// Running returns the entry's own requests in flight at the endpoint.
func (f *Fleet) Running(id string) int {
	number, ok := f.byID[id]
	if !ok {
		return 0
	}
	return f.nodes[number].own.running
}

// OwnLoads returns the entry's own work in flight, for the other entries.
func (f *Fleet) OwnLoads() []Load {
	var loads []Load
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.present && n.own.running > 0 {
			loads = append(loads, NewLoad(LoadConfig{
				Endpoint: n.endpoint.ID(), Running: n.own.running, PrefillTokens: n.own.prefill, DecodeTokens: n.own.decode,
			}))
		}
	}
	return loads
}
