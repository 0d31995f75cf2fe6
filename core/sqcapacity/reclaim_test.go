package sqcapacity

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// spotService returns a service of three zones with 12 initial endpoints that replaces
// reclaimed ones, with so many spot and on-demand endpoints in each zone.
func spotService(spots, onDemand [3]int) *Service {
	svc := newService()
	svc.ReplacesReclaimed, svc.InitialEndpoints = true, 12
	svc.Scaling.ZonePrices = map[string]float64{"a": 1, "b": 1, "c": 1}
	for i, zone := range []string{"a", "b", "c"} {
		svc.Endpoints = append(svc.Endpoints, newEndpoints(zone, true, sqplace.Decode, spots[i])...)
		svc.Endpoints = append(svc.Endpoints, newEndpoints(zone, false, sqplace.Decode, onDemand[i])...)
	}
	return svc
}

// onDemandOrders returns the on-demand endpoints that shall run in each zone by the last
// orders sent.
func onDemandOrders(p *Planner) [3]int {
	var counts [3]int
	for i, zone := range []string{"a", "b", "c"} {
		counts[i] = p.service("engines").lastOrders[orderKey{zone, false}].count
	}
	return counts
}

// newSpotPlanner returns a planner that has ordered one on-demand and seven spot endpoints a
// zone, and sees them run.
func newSpotPlanner() *Planner {
	p := New()
	sendOrders(p, timeAt(0), spotService([3]int{}, [3]int{4, 4, 4}))
	sendOrders(p, timeAt(5), spotService([3]int{7, 7, 7}, [3]int{4, 4, 4}))
	return p
}

// TestNoReserveWhileSpotsRun fails if on-demand endpoints beyond the least of a zone are paid
// for while no zone has lost its spot endpoints, or because some of them crashed.
func TestNoReserveWhileSpotsRun(t *testing.T) {
	p := newSpotPlanner()
	assert.DeepEqual(t, onDemandOrders(p), [3]int{1, 1, 1})
	sendOrders(p, timeAt(6), spotService([3]int{7, 4, 7}, [3]int{1, 1, 1}))
	assert.DeepEqual(t, onDemandOrders(p), [3]int{1, 1, 1})
}

// TestInitialNumberSurvivesReclaims fails if the loss of a second zone's spot endpoints leaves
// fewer endpoints than the service had initially, once those ordered at the first loss run.
func TestInitialNumberSurvivesReclaims(t *testing.T) {
	p := newSpotPlanner()
	svc := spotService([3]int{7, 0, 7}, [3]int{1, 1, 1})
	sendOrders(p, timeAt(6), svc)
	ordered := onDemandOrders(p)
	assert.DeepEqual(t, ordered, [3]int{1, 3, 1})
	left := spotService([3]int{0, 0, 7}, ordered)
	assert.Assert(t, len(left.Endpoints) >= 12, "%d", len(left.Endpoints))
	sendOrders(p, timeAt(10), left)
	ordered = onDemandOrders(p)
	assert.Assert(t, 7+ordered[0]+ordered[1]+ordered[2] >= 12, "%v", ordered)
}

// TestStandInsAreReleased fails if on-demand endpoints stay after a zone has its spot
// endpoints back, or are released before these have run for a while.
func TestStandInsAreReleased(t *testing.T) {
	p := newSpotPlanner()
	sendOrders(p, timeAt(6), spotService([3]int{7, 0, 7}, [3]int{1, 1, 1}))
	back := spotService([3]int{7, 5, 7}, [3]int{1, 3, 1})
	recovery := zoneRecoveryTime.Seconds()
	sendOrders(p, timeAt(12), back)
	sendOrders(p, timeAt(12+recovery/2), back)
	assert.Equal(t, onDemandOrders(p)[1], 3)
	sendOrders(p, timeAt(12+recovery), back)
	assert.DeepEqual(t, onDemandOrders(p), [3]int{1, 1, 1})
}

// TestNewHolderKeepsStandIns fails if a lease holder that did not see the loss releases the
// endpoints that stand in for a zone whose spot endpoints are still gone.
func TestNewHolderKeepsStandIns(t *testing.T) {
	p := New()
	svc := spotService([3]int{7, 0, 7}, [3]int{1, 3, 1})
	for i := range 20 {
		orders := sendOrders(p, timeAt(float64(i)/2), svc)
		_, released := orders[fmt.Sprintf("b %v", false)]
		assert.Assert(t, !released, "%v", orders)
	}
}
