package sqstock

import "sequoiadock/core/sqroute"

// census counts the endpoints that are here or ordered.
type census struct {
	endpoints []EndpointConfig
	counts    map[stock]int
	models    map[string]abilities
	dear      int
	cheap     int
}

func newCensus(view *View) *census {
	c := &census{counts: make(map[stock]int), models: make(map[string]abilities)}
	for i := range view.cfg.Endpoints {
		e := view.cfg.Endpoints[i].cfg
		if e.Unschedulable {
			continue
		}
		c.endpoints = append(c.endpoints, e)
		a := c.models[e.Model]
		a.add(e.Role, 1)
		c.models[e.Model] = a
		c.change(e.Zone, e.Cheap, 1)
	}
	for i := range view.cfg.Pending {
		c.change(view.cfg.Pending[i].cfg.Zone, view.cfg.Pending[i].cfg.Cheap, 1)
	}
	return c
}

func (c *census) change(zone string, cheap bool, by int) {
	c.counts[stock{zone: zone, cheap: cheap}] += by
	if cheap {
		c.cheap += by
		return
	}
	c.dear += by
}

func (c *census) count(zone string, cheap bool) int { return c.counts[stock{zone: zone, cheap: cheap}] }

func (c *census) total() int { return c.cheap + c.dear }

// carries returns whether the endpoints do for the need.
func (c *census) carries(n need) bool {
	return float64(c.dear) >= n.dear && float64(c.total()) >= n.total && c.total() >= n.min && c.withoutFullest() >= n.survive
}

// withoutFullest returns how many are left when the cheap endpoints of any one
// zone vanish.
func (c *census) withoutFullest() float64 {
	most := 0
	for k, n := range c.counts {
		if k.cheap {
			most = max(most, n)
		}
	}
	return float64(c.total() - most)
}

func (c *census) kind(cheap bool) int {
	if cheap {
		return c.cheap
	}
	return c.dear
}

// emptiest returns the zone with the fewest of the kind among those that may be
// asked; equals go by the fewest of both kinds, then by name.
func (c *census) emptiest(zones []string, cheap bool, ask func(string) bool) (string, bool) {
	best, found := "", false
	for _, z := range sortedZones(zones) {
		if !ask(z) {
			continue
		}
		if !found || c.fewer(z, best, cheap) {
			best, found = z, true
		}
	}
	return best, found
}

func (c *census) fewer(a, b string, cheap bool) bool {
	if x, y := c.count(a, cheap), c.count(b, cheap); x != y {
		return x < y
	}
	return c.count(a, !cheap) < c.count(b, !cheap)
}

// idlest returns the endpoint to give back: in the fullest zone of the kind the
// one with the least work.
func (c *census) idlest(cheap bool) (EndpointConfig, bool) {
	var best EndpointConfig
	found := false
	for _, e := range c.endpoints {
		if e.Cheap != cheap || e.Protected || c.last(&e) {
			continue
		}
		if !found || c.goesBefore(&e, &best) {
			best, found = e, true
		}
	}
	return best, found
}

func (c *census) goesBefore(a, b *EndpointConfig) bool {
	if x, y := c.count(a.Zone, a.Cheap), c.count(b.Zone, b.Cheap); x != y {
		return x > y
	}
	if a.RunningRequests != b.RunningRequests {
		return a.RunningRequests < b.RunningRequests
	}
	return a.ID < b.ID
}

// abilities counts the endpoints of a model that prefill and that decode.
type abilities struct {
	prefill int
	decode  int
}

func (a *abilities) add(role sqroute.Role, by int) {
	if role != sqroute.RoleDecode {
		a.prefill += by
	}
	if role != sqroute.RolePrefill {
		a.decode += by
	}
}

// last returns whether no other endpoint would prefill, or none would decode,
// for the model.
func (c *census) last(e *EndpointConfig) bool {
	left := c.models[e.Model]
	left.add(e.Role, -1)
	return left.prefill == 0 || left.decode == 0
}
