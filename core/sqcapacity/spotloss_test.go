package sqcapacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestStandInsStayWhileSpotsAreGone fails if endpoints that fill the limit of a zone are
// released although its spot endpoints are still gone, or leave no room for these to return.
func TestStandInsStayWhileSpotsAreGone(t *testing.T) {
	p := newSpotPlanner()
	svc := spotService([3]int{7, 0, 0}, [3]int{1, 1, 1})
	svc.Scaling.MaxPerZone, svc.InitialEndpoints = 8, 24
	sendOrders(p, timeAt(6), svc)
	ordered := onDemandOrders(p)
	assert.Assert(t, ordered[1] > 1 && ordered[2] > 1, "%v", ordered)
	for i := range 20 {
		svc = spotService([3]int{7, 0, 0}, ordered)
		svc.Scaling.MaxPerZone, svc.InitialEndpoints = 8, 24
		sendOrders(p, timeAt(10+float64(i)), svc)
		now := onDemandOrders(p)
		assert.Assert(t, now[1] >= ordered[1] && now[2] >= ordered[2], "%v, before %v", now, ordered)
		ordered = now
		spots := p.service("engines").lastOrders[orderKey{"b", true}].count
		assert.Assert(t, spots > 0 && spots+ordered[1] <= 8, "%d", spots)
	}
}

// TestNoStandInsForReleasedSpots fails if a zone counts as lost because fewer spot endpoints
// were ordered than before and one of them crashed.
func TestNoStandInsForReleasedSpots(t *testing.T) {
	p := newSpotPlanner()
	for i, spots := range []int{7, 2, 2} {
		svc := spotService([3]int{spots, spots, spots}, [3]int{1, 1, 1})
		if spots == 2 {
			svc.Scaling.MaxPerZone = 4
		}
		sendOrders(p, timeAt(6+float64(i)), svc)
		assert.DeepEqual(t, onDemandOrders(p), [3]int{1, 1, 1})
	}
}
