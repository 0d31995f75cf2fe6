package sqroute

import (
	"time"

	"sequoiadock/core/sqcache"
)

// candidate is an endpoint that is compared.
type candidate struct {
	number uint32
	// pieces is the expected number of cached pieces, depth the most that may
	// be.
	pieces float64
	depth  int
	// home is the rank among the prefix's homes, from 1; 0 is none.
	home    int
	refusal refusal
	// cost is that of the whole request here, or of the part that the
	// endpoint's role does.
	cost float64
	estimate
}

// collect lists the endpoints to compare: all of a small group; of a large one
// the holders of the prefix, its homes and some random ones.
func (r *CacheAware) collect(now time.Time, g *group, q *Query) {
	r.candidates = r.candidates[:0]
	r.epoch++
	for len(r.marks) < len(r.fleet.nodes) {
		r.marks = append(r.marks, 0)
	}
	if len(q.cfg.Blocks) > 0 {
		r.addHits(r.fleet.cache.Lookup(now, q.cfg.Blocks), g)
		r.addHomes(at(now), g, q)
	}
	if len(g.members) <= r.fleet.cfg.ScanLimit {
		for _, number := range g.members {
			r.add(number)
		}
		return
	}
	for role := range g.byRole {
		r.sample(g.byRole[role])
	}
}

// sample adds some random members of a role.
func (r *CacheAware) sample(members []uint32) {
	if len(members) == 0 {
		return
	}
	for range r.fleet.cfg.SamplesPerRole {
		r.add(members[int(r.random()*float64(len(members)))])
	}
}

func (r *CacheAware) addHits(hits []sqcache.Hit, g *group) {
	for _, h := range hits {
		if int(h.Endpoint()) < len(r.fleet.nodes) && g.has(h.Endpoint()) {
			c := r.add(h.Endpoint())
			c.pieces, c.depth = h.Blocks(), h.Depth()
		}
	}
}

// addHomes adds the first usable endpoints after the prefix on the ring.
func (r *CacheAware) addHomes(now instant, g *group, q *Query) {
	first := g.firstHome(q.cfg.Blocks[0])
	rank := 0
	for i := 0; i < min(len(g.ring), maxHomeSteps) && rank < homes; i++ {
		number := g.ring[(first+i)%len(g.ring)].number
		c := r.add(number)
		if c.home == 0 && r.fleet.refusal(now, number, q) == usable {
			rank++
			c.home = rank
		}
	}
}

// add returns the candidate of an endpoint and makes it if need be.
func (r *CacheAware) add(number uint32) *candidate {
	if r.marks[number]>>32 == r.epoch {
		return &r.candidates[uint32(r.marks[number])]
	}
	r.marks[number] = r.epoch<<32 | uint64(len(r.candidates))
	r.candidates = append(r.candidates, candidate{number: number})
	return &r.candidates[len(r.candidates)-1]
}
