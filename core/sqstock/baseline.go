package sqstock

import (
	"math"
	"time"
)

// AllOnDemand orders dear endpoints only, for the need of the moment. It is the
// first baseline.
type AllOnDemand struct{}

// NewAllOnDemand returns the baseline.
func NewAllOnDemand() *AllOnDemand { return &AllOnDemand{} }

// OutOfStock is ignored.
func (*AllOnDemand) OutOfStock(time.Time, string, bool) {}

// Plan returns the orders for the need of now.
func (*AllOnDemand) Plan(_ time.Time, view View) Plan { return follow(&view, false) }

// GreedyCheap orders cheap endpoints for all that may run on them, wherever
// they are, for the need of the moment. It is the second baseline.
type GreedyCheap struct{}

// NewGreedyCheap returns the baseline.
func NewGreedyCheap() *GreedyCheap { return &GreedyCheap{} }

// OutOfStock is ignored.
func (*GreedyCheap) OutOfStock(time.Time, string, bool) {}

// Plan returns the orders for the need of now.
func (*GreedyCheap) Plan(_ time.Time, view View) Plan { return follow(&view, true) }

// follow orders and releases for the need of the moment, zone by zone in turn.
func follow(view *View, cheap bool) Plan {
	var plan Plan
	c := newCensus(view)
	total := int(math.Ceil(max(view.cfg.NeededEngines, float64(view.cfg.Fleet.GetMinEngines()))))
	want := target{dear: total}
	if cheap {
		want.dear = int(math.Ceil(view.cfg.NeededOnDemand))
		want.cheap = total - want.dear
	}
	for _, kind := range []bool{false, true} {
		followKind(view, c, kind, want, &plan)
	}
	return plan
}

func followKind(view *View, c *census, cheap bool, want target, plan *Plan) {
	wanted := want.dear
	if cheap {
		wanted = want.cheap
	}
	zones := view.cfg.Fleet.GetZones()
	limit := int(view.cfg.Fleet.GetMaxEngines())
	for c.kind(cheap) < wanted && (limit == 0 || c.total() < limit) {
		zone, ok := c.emptiest(zones, cheap, func(string) bool { return true })
		if !ok {
			return
		}
		c.change(zone, cheap, 1)
		plan.orders = append(plan.orders, Order{action: Add, zone: zone, cheap: cheap, reason: "The need of the moment asks for it."})
	}
	if c.kind(cheap) > wanted {
		if e, ok := c.idlest(cheap); ok {
			plan.orders = append(plan.orders, Order{action: Release, zone: e.Zone, cheap: cheap, vm: e.ID, reason: "The need of the moment is less."})
		}
	}
}
