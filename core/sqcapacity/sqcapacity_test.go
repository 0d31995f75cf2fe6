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

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func endpoints(zone string, spot bool, stage sqplace.Stage, n int) []sqplace.Endpoint {
	var list []sqplace.Endpoint
	for i := range n {
		list = append(list, sqplace.NewEndpoint(sqplace.EndpointConfig{
			ID: fmt.Sprintf("%s-%v-%v-%d", zone, spot, stage, i), Service: "engines", Zone: zone, Slots: 16, Stage: stage, Spot: spot,
		}))
	}
	return list
}

func view(list ...[]sqplace.Endpoint) *Service {
	v := &Service{
		Name: "engines", Engine: &sqtable.Engine{Slots: 16, StageSwitchTime: 3 * time.Second},
		Scaling: &sqtable.Scaling{MinPerZone: 1, MaxPerZone: 12, SpotPriceRatio: 0.2, ZonePrices: map[string]float64{"a": 0.9, "b": 1.1}},
	}
	for _, l := range list {
		v.Endpoints = append(v.Endpoints, l...)
	}
	return v
}

// zoneDear and zoneSpot are what each of two zones gets of a first fleet of 12.
const (
	zoneDear = 12 * dearPercent / 100 / 2
	zoneSpot = (12*firstPercent/100+1)/2 - zoneDear
)

func first() *Service {
	return view(endpoints("a", false, sqplace.Decode, 6), endpoints("b", false, sqplace.Decode, 6))
}

// orders returns the orders of the planner and notes them as sent.
func orders(p *Planner, now time.Time, v *Service) map[string]int {
	got := map[string]int{}
	p.RecordDemand(now, v)
	for _, o := range p.Orders(now, v) {
		p.RecordOrder(now, o)
		got[fmt.Sprintf("%s %v", o.Zone, o.Spot)] = o.Count
	}
	return got
}

// TestListFillsUp wants nothing ordered while the platform's list is empty or
// still growing: what is not listed yet must not be given back.
func TestListFillsUp(t *testing.T) {
	p := New()
	assert.Equal(t, len(orders(p, at(0), view())), 0)
	assert.Equal(t, len(orders(p, at(0.5), view(endpoints("a", false, sqplace.Decode, 1)))), 0)
	assert.Equal(t, len(orders(p, at(1), first())), 0)
	assert.Equal(t, len(p.StageChanges(at(1), first())), 0)
	assert.Assert(t, len(orders(p, at(2.5), first())) > 0)
}

// TestCheapOnesFirst wants the dear endpoints kept until the cheap ones serve.
func TestCheapOnesFirst(t *testing.T) {
	p := New()
	orders(p, at(0), first())
	assert.DeepEqual(t, orders(p, at(2), first()), map[string]int{"a true": zoneSpot, "b true": zoneSpot})
	assert.Equal(t, len(orders(p, at(3), first())), 0, "nothing new to say")
	v := first()
	v.Endpoints = append(v.Endpoints, endpoints("a", true, sqplace.Decode, zoneSpot)...)
	assert.DeepEqual(t, orders(p, at(6), v), map[string]int{"a false": zoneDear})
}

// TestReclaimed wants a zone that loses its cheap endpoints ordered again, and not
// replaced by dear ones as long as enough run.
func TestReclaimed(t *testing.T) {
	p := New()
	orders(p, at(0), first())
	dear, spot := endpoints("a", false, sqplace.Decode, zoneDear), endpoints("a", true, sqplace.Decode, zoneSpot)
	dearB := endpoints("b", false, sqplace.Decode, zoneDear)
	v := view(dear, dearB, spot, endpoints("b", true, sqplace.Decode, zoneSpot))
	orders(p, at(2), first())
	orders(p, at(6), v)
	v = view(dear, dearB, spot)
	assert.DeepEqual(t, orders(p, at(13), v), map[string]int{"b true": zoneSpot})
	for _, o := range p.Orders(at(13), v) {
		p.RecordRefusal(at(13), o)
	}
	p.RecordRefusal(at(13), Order{Service: "engines", Zone: "b", Spot: true})
	assert.Equal(t, len(p.Orders(at(14), v)), 0, "a zone that has none is left alone")
}

// TestLaterHolder wants a holder that comes later to plan from the first fleet,
// and not from what was ordered since.
func TestLaterHolder(t *testing.T) {
	p := New()
	v := view(
		endpoints("a", false, sqplace.Decode, zoneDear), endpoints("b", false, sqplace.Decode, zoneDear),
		endpoints("a", true, sqplace.Decode, zoneSpot), endpoints("b", true, sqplace.Decode, zoneSpot),
	)
	v.FirstFleet = 12
	assert.Equal(t, len(orders(p, at(0), v)), 0, "nothing to change")
	assert.Equal(t, p.FirstFleet(at(0), "engines"), 12)
	assert.Equal(t, len(orders(p, at(5), v)), 0)

	v.FirstFleet = 0
	assert.Equal(t, p.service("engines").wanted, 12*firstPercent/100)
}

// TestShortage wants dear endpoints ordered when less than half of what is wanted
// runs.
func TestShortage(t *testing.T) {
	p := New()
	orders(p, at(0), first())
	orders(p, at(2), first())
	got := orders(p, at(12), view(endpoints("a", false, sqplace.Decode, zoneDear)))
	assert.Assert(t, got["b false"] > zoneDear || got["a false"] > zoneDear, "%v", got)
}

// TestDemandAdds wants more endpoints when the busiest second needed them, and
// never fewer afterwards.
func TestDemandAdds(t *testing.T) {
	p := New()
	orders(p, at(0), first())
	orders(p, at(2), first())
	v := first()
	v.Scaling.MaxPerZone = 20
	v.Demand = Demand{PrefillTokens: 600_000, Requests: 100, DecodeTime: 10 * time.Second}
	p.RecordDemand(at(3), v)
	got := orders(p, at(4), v)
	assert.Assert(t, got["a true"] > zoneSpot, "%v", got)
	wanted := p.service("engines").wanted
	for s := range 60 {
		orders(p, at(5+float64(s)), v)
	}
	assert.Equal(t, p.service("engines").wanted, wanted)
}

// TestPlainService wants a service without engines ordered by its first fleet.
func TestPlainService(t *testing.T) {
	p := New()
	v := first()
	v.Engine = nil
	orders(p, at(0), v)
	v.Demand.Requests = 1000
	p.RecordDemand(at(1.5), v)
	assert.DeepEqual(t, orders(p, at(2.5), v), map[string]int{"a true": zoneSpot, "b true": zoneSpot})
	assert.Equal(t, len(p.StageChanges(at(3), v)), 0)
}

// TestStages wants engines to read ahead before the first request, and one or two
// at a time to change under load.
func TestStages(t *testing.T) {
	p := New()
	orders(p, at(0), first())
	changes := p.StageChanges(at(2), first())
	assert.Equal(t, len(changes), 12*firstReadPercent/100)
	zones := map[string]int{}
	for _, c := range changes {
		assert.Equal(t, c.Stage, sqplace.Prefill)
		zones[c.Endpoint.Zone()]++
	}
	assert.DeepEqual(t, zones, map[string]int{"a": 12 * firstReadPercent / 200, "b": 12 * firstReadPercent / 200})

	p = New()
	v := first()
	orders(p, at(0), v)
	for s := range 5 {
		v.Demand.Requests += 100
		v.Demand.PrefillTokens += 150_000
		v.Demand.DecodeTime += 20 * time.Second
		p.RecordDemand(at(float64(s)+1), v)
	}
	assert.Equal(t, len(p.StageChanges(at(7), v)), 1)
	assert.Equal(t, len(p.StageChanges(at(8), v)), 0, "one is still changing")
}
