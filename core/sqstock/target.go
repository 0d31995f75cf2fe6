package sqstock

import "math"

// target is the wanted number of endpoints of each kind over all zones.
type target struct {
	onDemand int
	spot     int
}

// capacity is the capacity that the fleet must have, in engines.
type capacity struct {
	total    float64
	onDemand float64
	// afterZoneLoss is the capacity that must be left when one zone loses all
	// its spot endpoints.
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
	// spotZones is the number of zones that have spot endpoints or spot stock.
	spotZones     int
	onDemandPrice float64
	spotPrice     float64
}

func (r requirement) price(t target) float64 {
	return float64(t.onDemand)*r.onDemandPrice + float64(t.spot)*r.spotPrice
}

// cheapestTarget returns the cheapest target that meets the requirement, also
// after the loss of all spot endpoints of any one zone. It assumes that spot
// endpoints are spread evenly over the zones, which minimizes the loss. The
// target may have more on-demand endpoints than required: they can cost less
// than the extra spot endpoints that would make up for the loss of a zone.
func (r requirement) cheapestTarget() target {
	minOnDemand := int(math.Ceil(r.onDemand))
	maxOnDemand := max(minOnDemand, int(math.Ceil(max(r.total, r.afterZoneLoss))), r.minEngines)
	best := target{onDemand: min(maxOnDemand, r.maxEngines)}
	bestCost := math.Inf(1)
	for onDemand := minOnDemand; onDemand <= maxOnDemand; onDemand++ {
		spot, ok := r.minSpot(onDemand)
		if !ok || onDemand+spot > r.maxEngines {
			continue
		}
		t := target{onDemand: onDemand, spot: spot}
		if cost := r.price(t); cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// minSpot returns the smallest number of spot endpoints that meets the
// requirement together with the on-demand ones; false when no number does.
func (r requirement) minSpot(onDemand int) (int, bool) {
	spot := max(0, int(math.Ceil(r.total))-onDemand, r.minEngines-onDemand)
	missing := int(math.Ceil(r.afterZoneLoss)) - onDemand
	if missing > 0 && r.spotZones < 2 {
		return 0, false
	}
	if missing > 0 {
		// After the loss of the zone with most spot endpoints, at most
		// (spotZones-1)/spotZones of them are left.
		spot = max(spot, (missing*r.spotZones+r.spotZones-2)/(r.spotZones-1))
		for spot-(spot+r.spotZones-1)/r.spotZones < missing {
			spot++
		}
	}
	return spot, spot == 0 || r.spotZones > 0
}
