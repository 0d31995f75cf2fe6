package sqroute

import (
	"time"

	"sequoiadock/core/sqcache"
)

// candidate is an endpoint that is compared for a request.
type candidate struct {
	index uint32
	// cachedBlocks is the expected number of cached prompt blocks;
	// maxCachedBlocks is its upper bound.
	cachedBlocks    float64
	maxCachedBlocks int
	// homeRank is the endpoint's rank among the prefix's home endpoints, from
	// 1; 0 means that it is not a home.
	homeRank int
	refusal  refusal
	// cost is the cost in seconds of the whole request on this endpoint, or of
	// the part that the endpoint's role allows.
	cost float64
	estimate
}

// collectCandidates lists the endpoints to compare: all endpoints of a small
// group; in a large group those that hold the prefix, its homes and some random
// ones.
func (r *CacheAware) collectCandidates(now time.Time, g *group, q *Query) {
	r.candidates = r.candidates[:0]
	r.epoch++
	for len(r.candidatePositions) < len(r.fleet.nodes) {
		r.candidatePositions = append(r.candidatePositions, 0)
	}
	if len(q.cfg.Blocks) > 0 {
		r.addHits(r.fleet.cache.Lookup(now, q.cfg.Blocks), g)
		r.addHomes(toInstant(now), g, q)
	}
	if len(g.members) <= r.fleet.cfg.ScanLimit {
		for _, index := range g.members {
			r.candidateFor(index)
		}
		return
	}
	for role := range g.byRole {
		r.addRandom(g.byRole[role])
	}
}

// addRandom adds randomly chosen members of one role.
func (r *CacheAware) addRandom(members []uint32) {
	if len(members) == 0 {
		return
	}
	for range r.fleet.cfg.SamplesPerRole {
		r.candidateFor(members[int(r.random()*float64(len(members)))])
	}
}

func (r *CacheAware) addHits(hits []sqcache.Hit, g *group) {
	for _, h := range hits {
		if int(h.Endpoint()) < len(r.fleet.nodes) && g.contains(h.Endpoint()) {
			c := r.candidateFor(h.Endpoint())
			c.cachedBlocks, c.maxCachedBlocks = h.Blocks(), h.Depth()
		}
	}
}

// addHomes adds the endpoints that follow the prefix on the hash ring and ranks
// the usable ones as its homes.
func (r *CacheAware) addHomes(now instant, g *group, q *Query) {
	first := g.ringPosition(q.cfg.Blocks[0])
	rank := 0
	for i := 0; i < min(len(g.ring), maxRingSteps) && rank < homesPerPrefix; i++ {
		index := g.ring[(first+i)%len(g.ring)].index
		c := r.candidateFor(index)
		if c.homeRank == 0 && r.fleet.refusal(now, index, q) == usable {
			rank++
			c.homeRank = rank
		}
	}
}

// candidateFor returns the candidate for an endpoint, adding it if it is new in
// this epoch.
func (r *CacheAware) candidateFor(index uint32) *candidate {
	if r.candidatePositions[index]>>32 == r.epoch {
		return &r.candidates[uint32(r.candidatePositions[index])]
	}
	r.candidatePositions[index] = r.epoch<<32 | uint64(len(r.candidates))
	r.candidates = append(r.candidates, candidate{index: index})
	return &r.candidates[len(r.candidates)-1]
}
