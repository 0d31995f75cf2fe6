package sqroute

import "time"

// RoundRobin sends requests to the endpoints in turn. It is the first baseline.
type RoundRobin struct {
	fleet *Fleet
	next  int
}

// NewRoundRobin returns the baseline for a fleet.
func NewRoundRobin(f *Fleet) *RoundRobin { return &RoundRobin{fleet: f} }

// Route returns where the request goes.
func (r *RoundRobin) Route(now time.Time, q *Query) Choice {
	r.next++
	return r.fleet.firstOf(at(now), q, r.next)
}

// LeastLoaded sends each request to the endpoint whose last report shows
// the least requests. It is the second baseline.
type LeastLoaded struct {
	fleet *Fleet
	next  int
}

// NewLeastLoaded returns the baseline for a fleet.
func NewLeastLoaded(f *Fleet) *LeastLoaded { return &LeastLoaded{fleet: f} }

// Route returns where the request goes.
func (r *LeastLoaded) Route(now time.Time, q *Query) Choice {
	g := r.fleet.group(q)
	if g == nil {
		return Choice{}
	}
	r.next++
	best, least := -1, 0
	for i := range g.members {
		place := (r.next + i) % len(g.members)
		number := g.members[place]
		if !r.fleet.takes(at(now), number, q) {
			continue
		}
		running := r.fleet.nodes[number].reported
		if best < 0 || running < least {
			best, least = place, running
		}
	}
	return r.fleet.firstOf(at(now), q, best)
}

// takes returns whether an endpoint may start the request.
func (f *Fleet) takes(now instant, number uint32, q *Query) bool {
	return f.refusal(now, number, q) == usable && f.nodes[number].endpoint.Role() != RoleDecode
}

// firstOf returns the first endpoint from a place in the group on that may
// start the request, with any decode engine when it only prefills.
func (f *Fleet) firstOf(now instant, q *Query, place int) Choice {
	g := f.group(q)
	if g == nil || place < 0 {
		return Choice{}
	}
	for i := range g.members {
		number := g.members[(place+i)%len(g.members)]
		if !f.takes(now, number, q) {
			continue
		}
		n := &f.nodes[number]
		c := Choice{prefill: n.endpoint.ID()}
		if n.endpoint.Role() == RolePrefill {
			c.decode = f.decodeFrom(now, g, q, place)
		}
		if n.endpoint.Role() != RolePrefill || c.decode != "" {
			return c
		}
	}
	return Choice{}
}

func (f *Fleet) decodeFrom(now instant, g *group, q *Query, place int) string {
	for i := range g.members {
		number := g.members[(place+i)%len(g.members)]
		n := &f.nodes[number]
		if n.endpoint.Role() != RolePrefill && f.refusal(now, number, q) == usable {
			return n.endpoint.ID()
		}
	}
	return ""
}
