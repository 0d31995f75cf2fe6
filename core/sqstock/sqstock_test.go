package sqstock

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"sequoiadock/core/sqcommand"
)

var start = time.Unix(1_000_000, 0)

func fleetOf(zones ...string) *sqcommand.Fleet {
	return &sqcommand.Fleet{Zones: zones, MinEngines: 1, MaxEngines: 100, DearPrice: 1000, CheapPrice: 300, ArrivalSeconds: 60, OrdersEnabled: true}
}

// The fleet has enough on-demand endpoints for the work that must not run on
// spot ones, and enough capacity for the work that must be on time after the
// loss of all spot endpoints of any one zone.
func TestCapacitySurvivesLossOfZoneCheapEndpoints(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(rt, "zones")]
		p := newFakePlatform(fleetOf(zones...))
		p.fleet.CheapPrice = uint32(rapid.IntRange(100, 1200).Draw(rt, "price"))
		p.weights = &sqcommand.Weights{
			Goodput: rapid.Float64Range(0, 1).Draw(rt, "goodput"), Cost: rapid.Float64Range(0, 1).Draw(rt, "cost"),
		}
		needed := rapid.Float64Range(0, 40).Draw(rt, "needed")
		onDemandShare := rapid.Float64Range(0, 1).Draw(rt, "dear")
		p.run(start, 60, NewPlanner(Config{}), steady(needed), onDemandShare)
		onDemand, cheap := p.counts()
		afterZoneLoss := needed*onDemandShare + needed*(1-onDemandShare)*zoneLossShare(p.weights)
		total, largestCheap := onDemand, 0
		for _, n := range cheap {
			total += n
			largestCheap = max(largestCheap, n)
		}
		assert.Assert(rt, float64(onDemand) >= needed*onDemandShare, "%d on-demand for %v", onDemand, needed*onDemandShare)
		assert.Assert(rt, float64(total) >= needed, "%d in total for %v", total, needed)
		assert.Assert(rt, float64(total-largestCheap) >= afterZoneLoss, "%d on-demand, cheap %v, %v must be left after the loss of a zone", onDemand, cheap, afterZoneLoss)
	})
}

// bruteForcePrice returns the price of the cheapest target by trying every pair
// of counts.
func bruteForcePrice(r requirement) float64 {
	minPrice := math.Inf(1)
	for onDemand := range 80 {
		for cheap := range 80 {
			afterZoneLoss := float64(onDemand)
			if r.spotZones > 0 {
				afterZoneLoss += float64(cheap - (cheap+r.spotZones-1)/r.spotZones)
			}
			ok := float64(onDemand) >= r.onDemand && float64(onDemand+cheap) >= r.total && afterZoneLoss >= r.afterZoneLoss && onDemand+cheap >= r.minEngines
			if ok && (r.spotZones > 0 || cheap == 0) {
				minPrice = min(minPrice, float64(onDemand)*r.onDemandPrice+float64(cheap)*r.spotPrice)
			}
		}
	}
	return minPrice
}

func TestCheapestTargetMatchesBruteForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := requirement{
			capacity: capacity{total: rapid.Float64Range(0, 25).Draw(rt, "total")}, minEngines: rapid.IntRange(0, 6).Draw(rt, "min"), maxEngines: 1000,
			spotZones: rapid.IntRange(0, 4).Draw(rt, "zones"), onDemandPrice: 1000, spotPrice: float64(rapid.IntRange(50, 1100).Draw(rt, "price")),
		}
		r.onDemand = r.total * rapid.Float64Range(0, 1).Draw(rt, "dear")
		r.afterZoneLoss = r.onDemand + (r.total-r.onDemand)*rapid.Float64Range(0, 1).Draw(rt, "survive")
		got := r.cheapestTarget()
		assert.Equal(rt, float64(got.onDemand)*r.onDemandPrice+float64(got.spot)*r.spotPrice, bruteForcePrice(r), "%+v", got)
	})
}

func TestOrdersFromOtherPoolsWhenOutOfStock(t *testing.T) {
	p := newFakePlatform(fleetOf("a", "b", "c"))
	p.outOfStock[pool{zone: "a", spot: true}] = true
	b := NewPlanner(Config{})
	p.run(start, 60, b, steady(12), 0.25)
	_, cheap := p.counts()
	assert.Equal(t, cheap["a"], 0)
	assert.Assert(t, cheap["b"] > 0 && cheap["c"] > 0, "%v", cheap)
	// Without any spot stock, on-demand endpoints take all the work.
	for _, z := range p.fleet.Zones {
		p.outOfStock[pool{zone: z, spot: true}] = true
	}
	p.endpoints = nil
	p.run(start.Add(time.Hour), 60, b, steady(12), 0.25)
	onDemand, _ := p.counts()
	assert.Assert(t, onDemand >= 12, "%d", onDemand)
	// Once spot stock is back, spot endpoints replace on-demand ones.
	p.outOfStock = make(map[pool]bool)
	p.run(start.Add(2*time.Hour), 500, b, steady(12), 0.25)
	onDemandAfter, cheap := p.counts()
	assert.Assert(t, onDemandAfter < onDemand && cheap["a"] > 0, "%d on-demand, cheap %v", onDemandAfter, cheap)
}

func TestNoCheapOrderInReclaimedZone(t *testing.T) {
	p := newFakePlatform(fleetOf("a", "b", "c"))
	b := NewPlanner(Config{})
	p.run(start, 60, b, steady(12), 0.25)
	remaining := p.endpoints[:0]
	for _, e := range p.endpoints {
		if !e.Spot || e.Zone != "a" {
			remaining = append(remaining, e)
		}
	}
	p.endpoints = remaining
	plan := p.step(start.Add(10*time.Minute), b, 12, 3)
	assert.Assert(t, len(plan.Orders()) > 0)
	for _, o := range plan.Orders() {
		assert.Assert(t, !o.Spot() || o.Zone() != "a")
	}
}

func TestBackoffGrowsWhileOutOfStock(t *testing.T) {
	b := NewPlanner(Config{})
	now := start
	var delays []time.Duration
	for range 6 {
		b.RecordOutOfStock(now, "a", true)
		until := b.backoffs[pool{zone: "a", spot: true}].until
		delays = append(delays, until.Sub(now))
		assert.Assert(t, !b.inStock(now, "a", true) && b.inStock(until, "a", true) && b.inStock(now, "a", false))
		now = until
	}
	assert.DeepEqual(t, delays, []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 10 * time.Minute})
}

func TestNoiseCausesFewOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newFakePlatform(fleetOf("a", "b", "c"))
		b := NewPlanner(Config{})
		p.weights = &sqcommand.Weights{Goodput: 1, Cost: rapid.Float64Range(0, 8).Draw(rt, "cost")}
		level := rapid.Float64Range(2, 30).Draw(rt, "level")
		onDemandShare := rapid.Float64Range(0, 1).Draw(rt, "dear")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		needed := func(int) float64 { return level * (0.9 + 0.2*r.Float64()) }
		p.run(start, 200, b, needed, onDemandShare)
		before := p.added + p.removed
		p.run(start.Add(1000*time.Second), 720, b, needed, onDemandShare)
		orders := p.added + p.removed - before
		assert.Assert(rt, orders <= 4, "%d orders in an hour at %v engines", orders, level)
	})
}

func TestBaselinesFollowCurrentDemand(t *testing.T) {
	for name, b := range map[string]planner{"all on-demand": NewAllOnDemand(), "greedy cheap": NewGreedySpot()} {
		t.Run(name, func(t *testing.T) {
			p := newFakePlatform(fleetOf("a", "b"))
			p.run(start, 20, b, steady(6), 0.5)
			assert.Equal(t, len(p.endpoints), 6)
		})
	}
}

func TestCanRunOnCheap(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  WorkConfig
		want bool
	}{
		"once":                    {WorkConfig{SpotAllowed: true, AtMostOnce: true, Retryable: true, Resumable: true}, false},
		"not allowed":             {WorkConfig{Retryable: true, Resumable: true}, false},
		"neither":                 {WorkConfig{SpotAllowed: true}, false},
		"resumable":               {WorkConfig{SpotAllowed: true, Resumable: true, ExpectedDuration: time.Hour}, true},
		"short and idempotent":    {WorkConfig{SpotAllowed: true, Retryable: true, ExpectedDuration: time.Second, ReclaimNotice: 5 * time.Second}, true},
		"time for another run":    {WorkConfig{SpotAllowed: true, Retryable: true, ExpectedDuration: time.Minute, Slack: time.Minute}, true},
		"no time for another run": {WorkConfig{SpotAllowed: true, Retryable: true, ExpectedDuration: time.Minute, Slack: time.Second}, false},
		"short but at most once":  {WorkConfig{SpotAllowed: true, AtMostOnce: true, ExpectedDuration: time.Millisecond, ReclaimNotice: time.Minute}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, reason := CanRunOnSpot(c.cfg)
			assert.Equal(t, got, c.want, reason)
			assert.Assert(t, reason != "")
		})
	}
}

func TestExplain(t *testing.T) {
	p := newFakePlatform(fleetOf("a", "b", "c"))
	b := NewPlanner(Config{})
	var lines []string
	for i := range 200 {
		needed := 6.0
		if i > 100 {
			needed = 1
		}
		plan := p.step(start.Add(time.Duration(i)*5*time.Second), b, needed, needed/4)
		if len(plan.Orders()) > 0 {
			lines = append(lines, plan.Explanation()...)
		}
		for _, o := range plan.Orders() {
			lines = append(lines, o.Reason())
		}
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "explain.golden")
}
