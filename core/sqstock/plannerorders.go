package sqstock

import (
	"sort"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
)

// orderMissing orders the missing endpoints, each in the zone that has the
// fewest of its kind.
func (p *Planner) orderMissing(now time.Time, c *counts, fleet *sqcommand.Fleet, wanted target, r requirement, plan *Plan) {
	p.orderKind(now, c, fleet, false, wanted.onDemand, plan)
	p.orderKind(now, c, fleet, true, wanted.spot, plan)
	// On-demand endpoints replace spot ones that are out of stock. They are
	// also ordered when only a few zones have spot stock, so that too much
	// capacity would be lost with one of these zones.
	for !c.satisfies(r) && p.orderOne(now, c, fleet, false, c.onDemand+1, plan) {
	}
}

// orderKind orders endpoints of one kind until the fleet has as many as wanted.
func (p *Planner) orderKind(now time.Time, c *counts, fleet *sqcommand.Fleet, spot bool, wanted int, plan *Plan) {
	for c.ofKind(spot) < wanted && p.orderOne(now, c, fleet, spot, wanted, plan) {
	}
}

// orderOne orders one endpoint. It returns false if the plan or the fleet is at
// its limit or no zone has stock.
func (p *Planner) orderOne(now time.Time, c *counts, fleet *sqcommand.Fleet, spot bool, wanted int, plan *Plan) bool {
	if maxEngines := int(fleet.GetMaxEngines()); len(plan.orders) >= p.cfg.MaxOrdersPerPlan || maxEngines > 0 && c.total() >= maxEngines {
		return false
	}
	zone, ok := c.leastPopulatedZone(fleet.GetZones(), spot, func(z string) bool { return p.inStock(now, z, spot) })
	if !ok {
		return false
	}
	have := c.count(zone, spot)
	c.adjust(zone, spot, 1)
	plan.orders = append(plan.orders, Order{
		action: Add, zone: zone, spot: spot,
		reason: "A " + kindName(spot) + " endpoint is ordered in zone " + zone + ": " + strconv.Itoa(wanted) + " are wanted over all zones, and the zone has " +
			strconv.Itoa(have) + ", the fewest of those in stock and of the kind.",
	})
	return true
}

// kindName returns the name of a kind of endpoint as settings and reasons have it.
func kindName(spot bool) string {
	if spot {
		return "cheap"
	}
	return "dear"
}

// releaseSpare releases one endpoint that was spare for the whole release delay,
// if possible one of the more expensive kind. It releases only one, so that the
// next plan sees the effect.
func (p *Planner) releaseSpare(view *View, c *counts, retained requirement, plan *Plan) {
	spotFirst := retained.onDemandPrice < retained.spotPrice
	if !p.releaseOne(view, c, spotFirst, retained, plan) {
		p.releaseOne(view, c, !spotFirst, retained, plan)
	}
}

// releaseOne releases one endpoint of the kind if the rest of the fleet satisfies
// retained, the highest requirement of the last release delay, with slack.
func (p *Planner) releaseOne(view *View, c *counts, spot bool, retained requirement, plan *Plan) bool {
	e, ok := c.releaseCandidate(spot)
	if !ok {
		return false
	}
	c.adjust(e.Zone, spot, -1)
	if !c.satisfies(retained) {
		c.adjust(e.Zone, spot, 1)
		return false
	}
	p.releasedIDs[e.ID] = true
	plan.orders = append(plan.orders, Order{
		action: Release, zone: e.Zone, spot: spot, vm: e.ID,
		reason: "The " + kindName(spot) + " endpoint " + e.ID + " in zone " + e.Zone + " is given back: without it " + strconv.Itoa(c.onDemand) + " dear and " +
			strconv.Itoa(c.spot) + " cheap ones are left, and in the last " + p.releaseDelay(view).String() + " no more than " + formatFloat(retained.total) +
			" were needed, " + formatFloat(retained.onDemand) + " of them dear, with some slack.",
	})
	return true
}

// sortedZones returns a sorted copy of the zones.
func sortedZones(zones []string) []string {
	sorted := append([]string(nil), zones...)
	sort.Strings(sorted)
	return sorted
}
