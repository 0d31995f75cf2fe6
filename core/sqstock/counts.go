package sqstock

import "sequoiadock/core/sqroute"

// counts holds the numbers of endpoints that are listed or pending, without
// those that are draining or leaving.
type counts struct {
	endpoints    []EndpointConfig
	byPool       map[pool]int
	rolesByModel map[string]roleCounts
	onDemand     int
	spot         int
}

func newCounts(view *View) *counts {
	c := &counts{byPool: make(map[pool]int), rolesByModel: make(map[string]roleCounts)}
	for i := range view.cfg.Endpoints {
		e := view.cfg.Endpoints[i].cfg
		if e.Unschedulable {
			continue
		}
		c.endpoints = append(c.endpoints, e)
		roles := c.rolesByModel[e.Model]
		roles.add(e.Role, 1)
		c.rolesByModel[e.Model] = roles
		c.adjust(e.Zone, e.Spot, 1)
	}
	for i := range view.cfg.Pending {
		c.adjust(view.cfg.Pending[i].cfg.Zone, view.cfg.Pending[i].cfg.Spot, 1)
	}
	return c
}

// adjust adds delta to the count of a capacity pool.
func (c *counts) adjust(zone string, spot bool, delta int) {
	c.byPool[pool{zone: zone, spot: spot}] += delta
	if spot {
		c.spot += delta
		return
	}
	c.onDemand += delta
}

func (c *counts) count(zone string, spot bool) int { return c.byPool[pool{zone: zone, spot: spot}] }

func (c *counts) total() int { return c.spot + c.onDemand }

// satisfies returns whether the endpoints meet the requirement.
func (c *counts) satisfies(r requirement) bool {
	return float64(c.onDemand) >= r.onDemand && float64(c.total()) >= r.total && c.total() >= r.minEngines && c.afterZoneLoss() >= r.afterZoneLoss
}

// afterZoneLoss returns how many endpoints are left in the worst case when one
// zone loses all its spot endpoints.
func (c *counts) afterZoneLoss() float64 {
	largestSpot := 0
	for key, n := range c.byPool {
		if key.spot {
			largestSpot = max(largestSpot, n)
		}
	}
	return float64(c.total() - largestSpot)
}

// ofKind returns the number of endpoints of one kind over all zones.
func (c *counts) ofKind(spot bool) int {
	if spot {
		return c.spot
	}
	return c.onDemand
}

// leastPopulatedZone returns the eligible zone with the fewest endpoints of the
// kind. Ties go to the zone with the fewest of the other kind, then to the first
// by name.
func (c *counts) leastPopulatedZone(zones []string, spot bool, eligible func(string) bool) (string, bool) {
	best, found := "", false
	for _, z := range sortedZones(zones) {
		if !eligible(z) {
			continue
		}
		if !found || c.lessPopulated(z, best, spot) {
			best, found = z, true
		}
	}
	return best, found
}

func (c *counts) lessPopulated(a, b string, spot bool) bool {
	if inA, inB := c.count(a, spot), c.count(b, spot); inA != inB {
		return inA < inB
	}
	return c.count(a, !spot) < c.count(b, !spot)
}

// releaseCandidate returns the endpoint of the kind to release first: the one
// with the fewest requests in the zone that has most endpoints of the kind.
func (c *counts) releaseCandidate(spot bool) (EndpointConfig, bool) {
	var best EndpointConfig
	found := false
	for _, e := range c.endpoints {
		if e.Spot != spot || e.Protected || c.lastWithRole(&e) {
			continue
		}
		if !found || c.releasesBefore(&e, &best) {
			best, found = e, true
		}
	}
	return best, found
}

func (c *counts) releasesBefore(a, b *EndpointConfig) bool {
	if inZoneA, inZoneB := c.count(a.Zone, a.Spot), c.count(b.Zone, b.Spot); inZoneA != inZoneB {
		return inZoneA > inZoneB
	}
	if a.RunningRequests != b.RunningRequests {
		return a.RunningRequests < b.RunningRequests
	}
	return a.ID < b.ID
}

// roleCounts counts the endpoints of a model that can run prefill and those that
// can run decode; an endpoint with RoleBoth counts for each.
type roleCounts struct {
	prefill int
	decode  int
}

func (c *roleCounts) add(role sqroute.Role, delta int) {
	if role != sqroute.RoleDecode {
		c.prefill += delta
	}
	if role != sqroute.RolePrefill {
		c.decode += delta
	}
}

// lastWithRole returns whether the model would be left without an endpoint for
// prefill or for decode if this endpoint were released.
func (c *counts) lastWithRole(e *EndpointConfig) bool {
	remaining := c.rolesByModel[e.Model]
	remaining.add(e.Role, -1)
	return remaining.prefill == 0 || remaining.decode == 0
}
