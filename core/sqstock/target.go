package sqstock

import "math"

// target is the wanted number of endpoints of each kind over all zones.
type target struct {
	onDemand int
	cheap    int
}

// capacity is the capacity that the fleet must have, in engines.
type capacity struct {
	total    float64
	onDemand float64
	// afterZoneLoss is the capacity that must be left when one zone loses all
	// its cheap endpoints.
	afterZoneLoss float64
}

func (c capacity) elementwiseMax(o capacity) capacity {
	return capacity{total: max(c.total, o.total), onDemand: max(c.onDemand, o.onDemand), afterZoneLoss: max(c.afterZoneLoss, o.afterZoneLoss)}
}

// Slack by which the requirement may rise after a release without the released
// endpoint being ordered again.
const (
	releaseSlackFactor  = 1.1
	releaseSlackEngines = 0.5
)

// withReleaseSlack returns the capacity with slack, below which no endpoint is
// released.
func (c capacity) withReleaseSlack() capacity {
	return capacity{
		total:         c.total*releaseSlackFactor + releaseSlackEngines,
		onDemand:      c.onDemand * releaseSlackFactor,
		afterZoneLoss: c.afterZoneLoss*releaseSlackFactor + releaseSlackEngines,
	}
}

// requirement is the capacity that the fleet must have, with the limits on its
// size and the prices of endpoints.
type requirement struct {
	capacity
	minEngines, maxEngines int
	// cheapZones is the number of zones that have cheap endpoints or cheap stock.
	cheapZones    int
	onDemandPrice float64
	cheapPrice    float64
}

func (r requirement) price(t target) float64 {
	return float64(t.onDemand)*r.onDemandPrice + float64(t.cheap)*r.cheapPrice
}

// cheapestTarget returns the cheapest target that meets the requirement, also
// after the loss of all cheap endpoints of any one zone. It assumes that cheap
// endpoints are spread evenly over the zones, which minimizes the loss. The
// target may have more on-demand endpoints than required: they can cost less
// than the extra cheap endpoints that would make up for the loss of a zone.
func (r requirement) cheapestTarget() target {
	minOnDemand := int(math.Ceil(r.onDemand))
	maxOnDemand := max(minOnDemand, int(math.Ceil(max(r.total, r.afterZoneLoss))), r.minEngines)
	best := target{onDemand: min(maxOnDemand, r.maxEngines)}
	bestCost := math.Inf(1)
	for onDemand := minOnDemand; onDemand <= maxOnDemand; onDemand++ {
		cheap, ok := r.minCheap(onDemand)
		if !ok || onDemand+cheap > r.maxEngines {
			continue
		}
		t := target{onDemand: onDemand, cheap: cheap}
		if cost := r.price(t); cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// minCheap returns the smallest number of cheap endpoints that meets the
// requirement together with the on-demand ones; false when no number does.
func (r requirement) minCheap(onDemand int) (int, bool) {
	cheap := max(0, int(math.Ceil(r.total))-onDemand, r.minEngines-onDemand)
	missing := int(math.Ceil(r.afterZoneLoss)) - onDemand
	if missing > 0 && r.cheapZones < 2 {
		return 0, false
	}
	if missing > 0 {
		// After the loss of the zone with most cheap endpoints, at most
		// (cheapZones-1)/cheapZones of them are left.
		cheap = max(cheap, (missing*r.cheapZones+r.cheapZones-2)/(r.cheapZones-1))
		for cheap-(cheap+r.cheapZones-1)/r.cheapZones < missing {
			cheap++
		}
	}
	return cheap, cheap == 0 || r.cheapZones > 0
}
