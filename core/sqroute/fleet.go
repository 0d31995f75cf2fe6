package sqroute

import (
	"time"

	"sequoiadock/core/sqcache"
)

// Fleet is one entry's knowledge of the endpoints: the lease holder's endpoint
// list, the endpoints' delayed load reports, the other entries' delayed loads,
// the entry's own work in flight, and the learned speeds and cache contents. It
// is not safe for concurrent use.
type Fleet struct {
	cfg Config
	// crossZoneSeconds and blockTokens are the values of cfg, converted once
	// for the cost estimates.
	crossZoneSeconds float64
	blockTokens      float64
	cache            *sqcache.Index
	nodes            []node
	freeIndexes      []uint32
	indexByID        map[string]uint32
	// self and entries determine the entry's rank at each endpoint; see
	// rankEntries.
	self        string
	entries     []string
	modelGroups map[string]*group
	plainGroups map[string]*group
}

// NewFleet returns an empty fleet that records prompt blocks in cache.
func NewFleet(cfg Config, cache *sqcache.Index) *Fleet {
	cfg = cfg.withDefaults()
	return &Fleet{
		cfg: cfg, crossZoneSeconds: cfg.CrossZoneLatency.Seconds(), blockTokens: float64(cfg.BlockTokens),
		cache:       cache,
		indexByID:   make(map[string]uint32),
		modelGroups: make(map[string]*group),
		plainGroups: make(map[string]*group),
	}
}

// SetEndpoints replaces the list of endpoints. Endpoints that stay keep what
// was learned about them.
func (f *Fleet) SetEndpoints(now time.Time, endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID()] = true
		f.setEndpoint(toInstant(now), endpoints[i])
	}
	for id, index := range f.indexByID {
		if !listed[id] {
			f.removeEndpoint(id, index)
		}
	}
	f.rebuildGroups(endpoints)
	f.rankEntries()
}

func (f *Fleet) setEndpoint(now instant, e Endpoint) {
	index, ok := f.indexByID[e.ID()]
	if !ok {
		index = f.allocateIndex()
		f.indexByID[e.ID()] = index
		generation := f.nodes[index].generation
		f.nodes[index] = f.newNode(now, generation, e.Role())
	}
	n := &f.nodes[index]
	if ok && n.endpoint.Role() != e.Role() {
		f.resetSpeed(n, e.Role())
	}
	if ok && (n.endpoint.Role() != e.Role() || n.endpoint.Unschedulable() && !e.Unschedulable()) {
		n.slowStartAt = now
	}
	n.endpoint = e
	n.otherZone = e.Zone() != f.cfg.Zone
	n.present = true
}

// allocateIndex returns a free index in nodes. Indexes are reused, so
// removeEndpoint makes the cache index forget the removed endpoint.
func (f *Fleet) allocateIndex() uint32 {
	if n := len(f.freeIndexes); n > 0 {
		index := f.freeIndexes[n-1]
		f.freeIndexes = f.freeIndexes[:n-1]
		return index
	}
	f.nodes = append(f.nodes, node{})
	return uint32(len(f.nodes) - 1)
}

func (f *Fleet) removeEndpoint(id string, index uint32) {
	delete(f.indexByID, id)
	generation := f.nodes[index].generation + 1
	f.nodes[index] = node{generation: generation}
	f.freeIndexes = append(f.freeIndexes, index)
	f.cache.Forget(index)
}

// RecordLoadReport records an endpoint's own load report.
func (f *Fleet) RecordLoadReport(now time.Time, id string, r LoadReport) {
	if index, ok := f.indexByID[id]; ok {
		f.nodes[index].setReport(toInstant(now), r)
	}
}

// SetPeerLoads records the other entries' loads as summed by the lease holder.
// Endpoints that are not listed have none.
func (f *Fleet) SetPeerLoads(_ time.Time, loads []Load) {
	for i := range f.nodes {
		f.nodes[i].peerLoad = backlog{}
	}
	for _, l := range loads {
		if index, ok := f.indexByID[l.Endpoint()]; ok {
			f.nodes[index].peerLoad = backlog{running: l.Running(), prefillTokens: l.PrefillTokens(), decodeTokens: l.DecodeTokens()}
		}
	}
}

// NextEventNumber returns the number from which to request the endpoint's cache
// events.
func (f *Fleet) NextEventNumber(id string) uint64 {
	index, ok := f.indexByID[id]
	if !ok {
		return 0
	}
	return f.cache.NextEventNumber(index)
}

// ApplyCacheEvents applies an endpoint's cache events to the cache index.
func (f *Fleet) ApplyCacheEvents(now time.Time, id string, events []sqcache.Event) {
	index, ok := f.indexByID[id]
	if !ok {
		return
	}
	for _, e := range events {
		f.cache.Apply(now, index, e)
	}
}

// Running returns the number of the entry's own requests in flight at the
// endpoint.
func (f *Fleet) Running(id string) int {
	index, ok := f.indexByID[id]
	if !ok {
		return 0
	}
	return f.nodes[index].own.running
}

// OwnLoads returns the entry's own work in flight for each endpoint, to be
// shared with the other entries.
func (f *Fleet) OwnLoads() []Load {
	var loads []Load
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.present && n.own.running > 0 {
			loads = append(loads, NewLoad(LoadConfig{
				Endpoint: n.endpoint.ID(), Running: n.own.running, PrefillTokens: n.own.prefillTokens, DecodeTokens: n.own.decodeTokens,
			}))
		}
	}
	return loads
}
