package sqcapacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
)

var start = time.Unix(1000, 0)

func timeAt(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newEndpoints(zone string, spot bool, stage sqplace.Stage, n int) []sqplace.Endpoint {
	var list []sqplace.Endpoint
	for i := range n {
		list = append(list, sqplace.NewEndpoint(sqplace.EndpointConfig{
			ID: fmt.Sprintf("%s-%v-%v-%d", zone, spot, stage, i), Service: "engines", Zone: zone, Slots: 16, Stage: stage, Spot: spot,
		}))
	}
	return list
}

func newService(lists ...[]sqplace.Endpoint) *Service {
	svc := &Service{
		Name: "engines", Engine: &sqtable.Engine{Slots: 16, StageSwitchTime: 3 * time.Second},
		Scaling: &sqtable.Scaling{MinPerZone: 1, MaxPerZone: 12, SpotPriceRatio: 0.2, ZonePrices: map[string]float64{"a": 0.9, "b": 1.1}},
	}
	for _, l := range lists {
		svc.Endpoints = append(svc.Endpoints, l...)
	}
	return svc
}

// zoneOnDemand and zoneSpot are the orders of each of two zones for 12 initial
// endpoints.
const (
	zoneOnDemand = 12 * minOnDemandPercent / 100 / 2
	zoneSpot     = (12*initialTargetPercent/100+1)/2 - zoneOnDemand
)

func initialService() *Service {
	return newService(newEndpoints("a", false, sqplace.Decode, 6), newEndpoints("b", false, sqplace.Decode, 6))
}

// sendOrders records the orders of the planner as sent and returns their counts by
// "zone spot".
func sendOrders(p *Planner, now time.Time, svc *Service) map[string]int {
	counts := map[string]int{}
	p.Observe(now, svc)
	for _, o := range p.Orders(now, svc) {
		p.RecordOrder(now, o)
		counts[fmt.Sprintf("%s %v", o.Zone, o.Spot)] = o.Count
	}
	return counts
}

// TestNoOrdersWhileFleetListGrows checks that nothing is ordered while the platform's
// list is empty or still growing: an order for fewer endpoints than exist would
// release those that are not listed yet.
func TestNoOrdersWhileFleetListGrows(t *testing.T) {
	p := New()
	assert.Equal(t, len(sendOrders(p, timeAt(0), newService())), 0)
	assert.Equal(t, len(sendOrders(p, timeAt(0.5), newService(newEndpoints("a", false, sqplace.Decode, 1)))), 0)
	assert.Equal(t, len(sendOrders(p, timeAt(1), initialService())), 0)
	assert.Equal(t, len(p.StageChanges(timeAt(1), initialService())), 0)
	assert.Assert(t, len(sendOrders(p, timeAt(2.5), initialService())) > 0)
}

// TestSpotReadyBeforeOnDemandReleased checks that on-demand endpoints are kept until
// spot endpoints are listed.
func TestSpotReadyBeforeOnDemandReleased(t *testing.T) {
	p := New()
	sendOrders(p, timeAt(0), initialService())
	assert.DeepEqual(t, sendOrders(p, timeAt(2), initialService()), map[string]int{"a true": zoneSpot, "b true": zoneSpot})
	assert.Equal(t, len(sendOrders(p, timeAt(3), initialService())), 0, "same orders as before")
	svc := initialService()
	svc.Endpoints = append(svc.Endpoints, newEndpoints("a", true, sqplace.Decode, zoneSpot)...)
	assert.DeepEqual(t, sendOrders(p, timeAt(6), svc), map[string]int{"a false": zoneOnDemand})
}

// TestReclaimedSpotReordered checks that the spot endpoints of a zone that lost them
// are ordered again, and not replaced by on-demand endpoints as long as enough run.
func TestReclaimedSpotReordered(t *testing.T) {
	p := New()
	sendOrders(p, timeAt(0), initialService())
	onDemandA, spotA := newEndpoints("a", false, sqplace.Decode, zoneOnDemand), newEndpoints("a", true, sqplace.Decode, zoneSpot)
	onDemandB := newEndpoints("b", false, sqplace.Decode, zoneOnDemand)
	svc := newService(onDemandA, onDemandB, spotA, newEndpoints("b", true, sqplace.Decode, zoneSpot))
	sendOrders(p, timeAt(2), initialService())
	sendOrders(p, timeAt(6), svc)
	svc = newService(onDemandA, onDemandB, spotA)
	assert.DeepEqual(t, sendOrders(p, timeAt(13), svc), map[string]int{"b true": zoneSpot})
	for _, o := range p.Orders(timeAt(13), svc) {
		p.RecordRefusal(timeAt(13), o)
	}
	p.RecordRefusal(timeAt(13), Order{Service: "engines", Zone: "b", Spot: true})
	assert.Equal(t, len(p.Orders(timeAt(14), svc)), 0, "no order during the backoff after a refusal")
}

// TestNewLeaseHolderKeepsFirstFleet checks that a later lease holder plans from the
// initial endpoints, not from the endpoints ordered since.
func TestNewLeaseHolderKeepsFirstFleet(t *testing.T) {
	p := New()
	svc := newService(
		newEndpoints("a", false, sqplace.Decode, zoneOnDemand), newEndpoints("b", false, sqplace.Decode, zoneOnDemand),
		newEndpoints("a", true, sqplace.Decode, zoneSpot), newEndpoints("b", true, sqplace.Decode, zoneSpot),
	)
	svc.InitialEndpoints = 12
	assert.Equal(t, len(sendOrders(p, timeAt(0), svc)), 0, "nothing to change")
	assert.Equal(t, p.InitialEndpoints(timeAt(0), "engines"), 12)
	assert.Equal(t, len(sendOrders(p, timeAt(5), svc)), 0)

	svc.InitialEndpoints = 0
	assert.Equal(t, p.service("engines").target, 12*initialTargetPercent/100)
}

// TestShortageOrdersOnDemand checks that on-demand endpoints are ordered if fewer than
// minRunningPercent of the target run.
func TestShortageOrdersOnDemand(t *testing.T) {
	p := New()
	sendOrders(p, timeAt(0), initialService())
	sendOrders(p, timeAt(2), initialService())
	got := sendOrders(p, timeAt(12), newService(newEndpoints("a", false, sqplace.Decode, zoneOnDemand)))
	assert.Assert(t, got["b false"] > zoneOnDemand || got["a false"] > zoneOnDemand, "%v", got)
}

// TestPeakDemandRaisesTarget checks that the busiest second raises the target, and that
// the target does not fall afterwards.
func TestPeakDemandRaisesTarget(t *testing.T) {
	p := New()
	sendOrders(p, timeAt(0), initialService())
	sendOrders(p, timeAt(2), initialService())
	svc := initialService()
	svc.Scaling.MaxPerZone = 20
	svc.Demand = Demand{PrefillTokens: 600_000, Requests: 100, DecodeTime: 10 * time.Second}
	p.Observe(timeAt(3), svc)
	got := sendOrders(p, timeAt(4), svc)
	assert.Assert(t, got["a true"] > zoneSpot, "%v", got)
	target := p.service("engines").target
	for s := range 60 {
		sendOrders(p, timeAt(5+float64(s)), svc)
	}
	assert.Equal(t, p.service("engines").target, target)
}

// TestPlainService checks that the orders of a service without engines follow its
// initial endpoints, and that its endpoints change no stages.
func TestPlainService(t *testing.T) {
	p := New()
	svc := initialService()
	svc.Engine = nil
	sendOrders(p, timeAt(0), svc)
	svc.Demand.Requests = 1000
	p.Observe(timeAt(1.5), svc)
	assert.DeepEqual(t, sendOrders(p, timeAt(2.5), svc), map[string]int{"a true": zoneSpot, "b true": zoneSpot})
	assert.Equal(t, len(p.StageChanges(timeAt(3), svc)), 0)
}

// TestStageChanges checks that engines enter the prefill stage before the first request,
// and that only maxChangingPercent of them change at a time under load.
func TestStageChanges(t *testing.T) {
	p := New()
	sendOrders(p, timeAt(0), initialService())
	changes := p.StageChanges(timeAt(2), initialService())
	assert.Equal(t, len(changes), 12*initialPrefillPercent/100)
	zones := map[string]int{}
	for _, c := range changes {
		assert.Equal(t, c.Stage, sqplace.Prefill)
		zones[c.Endpoint.Zone()]++
	}
	assert.DeepEqual(t, zones, map[string]int{"a": 12 * initialPrefillPercent / 200, "b": 12 * initialPrefillPercent / 200})

	p = New()
	svc := initialService()
	sendOrders(p, timeAt(0), svc)
	for s := range 5 {
		svc.Demand.Requests += 100
		svc.Demand.PrefillTokens += 150_000
		svc.Demand.DecodeTime += 20 * time.Second
		p.Observe(timeAt(float64(s)+1), svc)
	}
	assert.Equal(t, len(p.StageChanges(timeAt(7), svc)), 1)
	assert.Equal(t, len(p.StageChanges(timeAt(8), svc)), 0, "one engine is still changing its stage")
}
