package sqstock

import (
	"math"
	"time"
)

// AllOnDemand orders on-demand endpoints only and follows the current demand
// without any forecast. It is the first of two baselines for comparison.
type AllOnDemand struct{}

// NewAllOnDemand returns the baseline.
func NewAllOnDemand() *AllOnDemand { return &AllOnDemand{} }

// RecordOutOfStock is ignored.
func (*AllOnDemand) RecordOutOfStock(time.Time, string, bool) {}

// Plan returns the orders for the current demand.
func (*AllOnDemand) Plan(_ time.Time, view View) Plan { return followCurrentDemand(&view, false) }

// GreedySpot orders spot endpoints for all work that may run on them, without
// regard to the loss of a zone, and follows the current demand without any
// forecast. It is the second of two baselines for comparison.
type GreedySpot struct{}

// NewGreedySpot returns the baseline.
func NewGreedySpot() *GreedySpot { return &GreedySpot{} }

// RecordOutOfStock is ignored.
func (*GreedySpot) RecordOutOfStock(time.Time, string, bool) {}

// Plan returns the orders for the current demand.
func (*GreedySpot) Plan(_ time.Time, view View) Plan { return followCurrentDemand(&view, true) }

// followCurrentDemand orders and releases endpoints for the current demand and
// spreads them evenly over the zones.
func followCurrentDemand(view *View, useSpot bool) Plan {
	var plan Plan
	c := newCounts(view)
	total := int(math.Ceil(max(view.cfg.RequiredEngines, float64(view.cfg.Fleet.GetMinEngines()))))
	wanted := target{onDemand: total}
	if useSpot {
		wanted.onDemand = int(math.Ceil(view.cfg.RequiredOnDemand))
		wanted.spot = total - wanted.onDemand
	}
	for _, spot := range []bool{false, true} {
		adjustKind(view, c, spot, wanted, &plan)
	}
	return plan
}

// adjustKind orders or releases endpoints of one kind until the fleet has as many
// as wanted. It releases at most one.
func adjustKind(view *View, c *counts, spot bool, wanted target, plan *Plan) {
	wantedCount := wanted.onDemand
	if spot {
		wantedCount = wanted.spot
	}
	zones := view.cfg.Fleet.GetZones()
	limit := int(view.cfg.Fleet.GetMaxEngines())
	for c.ofKind(spot) < wantedCount && (limit == 0 || c.total() < limit) {
		zone, ok := c.leastPopulatedZone(zones, spot, func(string) bool { return true })
		if !ok {
			return
		}
		c.adjust(zone, spot, 1)
		plan.orders = append(plan.orders, Order{action: Add, zone: zone, spot: spot, reason: "The need of the moment asks for it."})
	}
	if c.ofKind(spot) > wantedCount {
		if e, ok := c.releaseCandidate(spot); ok {
			plan.orders = append(plan.orders, Order{action: Release, zone: e.Zone, spot: spot, vm: e.ID, reason: "The need of the moment is less."})
		}
	}
}
