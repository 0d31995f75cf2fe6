package sqstock

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

func TestReleasesSpareEndpointsAfterDelay(t *testing.T) {
	p := newFakePlatform(fleetOf("a", "b", "c"))
	b := NewPlanner(Config{})
	p.run(start, 100, b, steady(20), 0.2)
	before := len(p.endpoints)
	p.run(start.Add(500*time.Second), 20, b, steady(5), 0.2)
	assert.Equal(t, len(p.endpoints), before)
	p.run(start.Add(600*time.Second), 200, b, steady(5), 0.2)
	assert.Assert(t, len(p.endpoints) <= 9, "%d left", len(p.endpoints))
}

// A higher weight of cost shortens the release delay, but not below one arrival
// delay, in which a released endpoint could be replaced.
func TestCostWeightShortensReleaseDelay(t *testing.T) {
	firstReleaseAfter := func(w *sqcommand.Weights) time.Duration {
		p := newFakePlatform(fleetOf("a", "b", "c"))
		p.weights = w
		b := NewPlanner(Config{})
		p.run(start, 100, b, steady(20), 0.2)
		for i := range 200 {
			p.step(start.Add(500*time.Second+time.Duration(i)*5*time.Second), b, 5, 1)
			if p.removed > 0 {
				return time.Duration(i) * 5 * time.Second
			}
		}
		return time.Hour
	}
	serviceDelay := firstReleaseAfter(&sqcommand.Weights{Goodput: 4, WorstTeam: 4, Cost: 1})
	costDelay := firstReleaseAfter(&sqcommand.Weights{Goodput: 1, WorstTeam: 1, Cost: 4})
	t.Logf("first release after %v with weight on service, %v with weight on cost", serviceDelay, costDelay)
	assert.Assert(t, costDelay >= time.Minute && costDelay < serviceDelay*2/3, "%v and %v", costDelay, serviceDelay)
}

func TestKeepsLastEndpointOfRole(t *testing.T) {
	b := NewPlanner(Config{})
	fleet := fleetOf("a")
	var endpoints []Endpoint
	for i, role := range []sqroute.Role{sqroute.RolePrefill, sqroute.RoleDecode, sqroute.RoleDecode} {
		endpoints = append(endpoints, NewEndpoint(EndpointConfig{ID: "e" + strconv.Itoa(i), Zone: "a", Model: "m", Role: role}))
	}
	for i := range 200 {
		plan := b.Plan(start.Add(time.Duration(i)*time.Second), NewView(ViewConfig{Fleet: fleet, Endpoints: endpoints}))
		for _, o := range plan.Orders() {
			assert.Assert(t, o.VM() != "e0", "the only prefill endpoint was released")
		}
	}
}

func TestCostWeightLowersFleetPrice(t *testing.T) {
	fleetPrice := func(w *sqcommand.Weights) float64 {
		p := newFakePlatform(fleetOf("a", "b"))
		p.weights = w
		p.run(start, 100, NewPlanner(Config{}), steady(20), 0.1)
		onDemand, cheap := p.counts()
		return 1000*float64(onDemand) + 300*float64(cheap["a"]+cheap["b"])
	}
	assert.Assert(t, fleetPrice(&sqcommand.Weights{Cost: 1}) < fleetPrice(&sqcommand.Weights{Goodput: 1}))
}

func TestSpendsLessThanAllOnDemand(t *testing.T) {
	fleetPrice := func(b planner) float64 {
		p := newFakePlatform(fleetOf("a", "b", "c"))
		p.run(start, 100, b, steady(20), 0.2)
		onDemand, cheap := p.counts()
		return 1000*float64(onDemand) + 300*float64(cheap["a"]+cheap["b"]+cheap["c"])
	}
	balanced, allOnDemand := fleetPrice(NewPlanner(Config{})), fleetPrice(NewAllOnDemand())
	t.Logf("price: balanced %v, all on-demand %v", balanced, allOnDemand)
	assert.Assert(t, balanced <= 0.7*allOnDemand, "%v and %v", balanced, allOnDemand)
}
