package sqdirectory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated zone: gateways whose VMs differ by 3.3 times, and callers that hold
// connections for some seconds and ask for addresses each second.
const (
	loadGateways  = 27
	loadCallers   = 300
	loadSeconds   = 120
	connections   = 4
	keepPercent   = 80
	faultAtSecond = 40
	faultySeconds = 30
)

// loadResult sums what a simulation saw: gateway-seconds above the capacity of the VM, and
// connections that callers closed since the address was missing from a new answer.
type loadResult struct {
	overSeconds, closed, mostLeftOut int
}

// simulateZone plays the zone. Demand is the load of all callers in percent of what all
// gateways can carry. From faultAtSecond on, the gateway 1, a large one, has a third of its
// capacity for a while.
func simulateZone(demand float64, weighted bool) (result loadResult) {
	rng := rand.New(rand.NewPCG(1, 2))
	list := zoneOf("a", loadGateways, 100, 330, 200)
	total := 0.0
	for _, g := range list {
		total += float64(g.Weight)
	}
	perConnection := total * demand / 100 / (loadCallers * connections)
	open := make([][]string, loadCallers)
	o, meters, used := NewOverloads(), make([]*Meter, loadGateways), make([]time.Duration, loadGateways)
	for i := range meters {
		meters[i] = NewMeter(VM{ProcessorShare: 1})
	}
	for second := range loadSeconds {
		now := start.Add(time.Duration(second) * time.Second)
		named := slices.Clone(list)
		for i := range named {
			if !weighted {
				named[i].Weight, named[i].Overloaded = 0, false
			}
		}
		answer := Answer(named, "a")
		for c := range open {
			kept := open[c][:0]
			for _, a := range open[c] {
				if !slices.Contains(answer, a) {
					result.closed++
				} else if rng.IntN(100) < keepPercent {
					kept = append(kept, a)
				}
			}
			for len(kept) < connections {
				kept = append(kept, answer[rng.IntN(len(answer))])
			}
			open[c] = kept
		}
		load := map[string]float64{}
		for _, addresses := range open {
			for _, a := range addresses {
				load[a] += perConnection
			}
		}
		var reports []Report
		for i, g := range list {
			capacity := float64(g.Weight)
			if i == 1 && second >= faultAtSecond && second < faultAtSecond+faultySeconds {
				capacity /= 3
			}
			if load[g.Address] > capacity {
				result.overSeconds++
			}
			used[i] += time.Duration(load[g.Address] / capacity * float64(time.Second))
			u := meters[i].Record(Reading{At: now, ProcessorTime: used[i]})
			reports = append(reports, Report{Name: g.Address, Zone: "a", Utilization: u, Weight: g.Weight})
		}
		o.Update(now, reports)
		for i := range list {
			list[i].Overloaded = o.LeftOut(list[i].Address)
		}
		_, leftOut := o.Count()
		result.mostLeftOut = max(result.mostLeftOut, leftOut)
	}
	return result
}

// TestUnevenZone fails if weights and overloads leave gateways above their capacity for as
// long as answers without them, or if they make callers close more than a small part of
// their connections, also while all gateways together are too few.
func TestUnevenZone(t *testing.T) {
	for _, demand := range []float64{50, 65, 95} {
		today, now := simulateZone(demand, false), simulateZone(demand, true)
		t.Logf("demand %.0f %%: %d gateway-seconds above the capacity, %d before; %d connections closed; %d gateways left out at most",
			demand, now.overSeconds, today.overSeconds, now.closed, now.mostLeftOut)
		assert.Assert(t, now.overSeconds < today.overSeconds && (demand > roomPercent || now.overSeconds*10 < today.overSeconds))
		assert.Assert(t, now.closed*500 < loadCallers*connections*loadSeconds)
		assert.Assert(t, now.mostLeftOut*leftOutDivisor <= loadGateways && (demand < roomPercent || now.mostLeftOut == 0))
	}
}
