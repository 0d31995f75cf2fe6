package sqroute

import "time"

// RoundRobin sends requests to the endpoints in rotation. It is the first
// baseline.
type RoundRobin struct {
	fleet    *Fleet
	position int
}

// NewRoundRobin returns a round-robin router for a fleet.
func NewRoundRobin(f *Fleet) *RoundRobin { return &RoundRobin{fleet: f} }

// Route returns the endpoint for a request.
func (r *RoundRobin) Route(now time.Time, q *Query) Choice {
	r.position++
	return r.fleet.firstUsable(toInstant(now), q, r.position)
}

// LeastLoaded sends each request to the endpoint with the fewest requests in
// its last load report. It is the second baseline.
type LeastLoaded struct {
	fleet    *Fleet
	position int
}

// NewLeastLoaded returns a least-loaded router for a fleet.
func NewLeastLoaded(f *Fleet) *LeastLoaded { return &LeastLoaded{fleet: f} }

// Route returns the endpoint for a request.
func (r *LeastLoaded) Route(now time.Time, q *Query) Choice {
	g := r.fleet.group(q)
	if g == nil {
		return Choice{}
	}
	r.position++
	bestPosition, fewestRequests := -1, 0
	for i := range g.members {
		position := (r.position + i) % len(g.members)
		index := g.members[position]
		if !r.fleet.canStart(toInstant(now), index, q) {
			continue
		}
		requests := r.fleet.nodes[index].reportedRequests
		if bestPosition < 0 || requests < fewestRequests {
			bestPosition, fewestRequests = position, requests
		}
	}
	return r.fleet.firstUsable(toInstant(now), q, bestPosition)
}

// canStart returns whether an endpoint may prefill the request.
func (f *Fleet) canStart(now instant, index uint32, q *Query) bool {
	return f.refusal(now, index, q) == usable && f.nodes[index].endpoint.Role() != RoleDecode
}

// firstUsable returns the first endpoint at or after a position in the group
// that can start the request. A prefill-only engine is paired with the first
// usable decode engine.
func (f *Fleet) firstUsable(now instant, q *Query, position int) Choice {
	g := f.group(q)
	if g == nil || position < 0 {
		return Choice{}
	}
	for i := range g.members {
		index := g.members[(position+i)%len(g.members)]
		if !f.canStart(now, index, q) {
			continue
		}
		n := &f.nodes[index]
		c := Choice{prefillEndpoint: n.endpoint.ID()}
		if n.endpoint.Role() == RolePrefill {
			c.decodeEndpoint = f.firstDecodeEngine(now, g, q, position)
		}
		if n.endpoint.Role() != RolePrefill || c.decodeEndpoint != "" {
			return c
		}
	}
	return Choice{}
}

func (f *Fleet) firstDecodeEngine(now instant, g *group, q *Query, position int) string {
	for i := range g.members {
		index := g.members[(position+i)%len(g.members)]
		n := &f.nodes[index]
		if n.endpoint.Role() != RolePrefill && f.refusal(now, index, q) == usable {
			return n.endpoint.ID()
		}
	}
	return ""
}
