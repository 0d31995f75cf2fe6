package sqstock

import (
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
)

// fakePlatform executes orders: an added endpoint is ready after a minute, and
// orders for capacity pools in outOfStock are refused.
type fakePlatform struct {
	fleet      *sqcommand.Fleet
	weights    *sqcommand.Weights
	endpoints  []EndpointConfig
	readyAt    map[string]time.Time
	outOfStock map[pool]bool
	added      int
	removed    int
}

func newFakePlatform(fleet *sqcommand.Fleet) *fakePlatform {
	return &fakePlatform{fleet: fleet, readyAt: make(map[string]time.Time), outOfStock: make(map[pool]bool)}
}

type planner interface {
	RecordOutOfStock(now time.Time, zone string, cheap bool)
	Plan(now time.Time, view View) Plan
}

// step makes one plan and executes its orders.
func (p *fakePlatform) step(now time.Time, b planner, needed, onDemand float64) Plan {
	cfg := ViewConfig{Fleet: p.fleet, Weights: p.weights, RequiredEngines: needed, RequiredOnDemand: onDemand}
	for _, e := range p.endpoints {
		if readyAt := p.readyAt[e.ID]; readyAt.After(now) {
			cfg.Pending = append(cfg.Pending, NewPendingEndpoint(PendingEndpointConfig{Zone: e.Zone, Spot: e.Spot}))
			continue
		}
		cfg.Endpoints = append(cfg.Endpoints, NewEndpoint(e))
	}
	plan := b.Plan(now, NewView(cfg))
	for _, o := range plan.Orders() {
		p.execute(now, b, o)
	}
	return plan
}

func (p *fakePlatform) execute(now time.Time, b planner, o Order) {
	if o.Action() == Release {
		p.removed++
		for i := range p.endpoints {
			if p.endpoints[i].ID == o.VM() {
				p.endpoints = append(p.endpoints[:i], p.endpoints[i+1:]...)
				return
			}
		}
	}
	if p.outOfStock[pool{zone: o.Zone(), spot: o.Spot()}] {
		b.RecordOutOfStock(now, o.Zone(), o.Spot())
		return
	}
	p.added++
	id := "vm" + strconv.Itoa(p.added)
	p.endpoints = append(p.endpoints, EndpointConfig{ID: id, Zone: o.Zone(), Spot: o.Spot()})
	p.readyAt[id] = now.Add(time.Minute)
}

// run makes a plan every 5 seconds.
func (p *fakePlatform) run(from time.Time, steps int, b planner, needed func(i int) float64, onDemandShare float64) {
	for i := range steps {
		n := needed(i)
		p.step(from.Add(time.Duration(i)*5*time.Second), b, n, n*onDemandShare)
	}
}

// counts returns the number of on-demand endpoints, and of spot ones by zone.
func (p *fakePlatform) counts() (onDemand int, cheap map[string]int) {
	cheap = make(map[string]int)
	for _, e := range p.endpoints {
		if e.Spot {
			cheap[e.Zone]++
		} else {
			onDemand++
		}
	}
	return onDemand, cheap
}

func steady(n float64) func(int) float64 { return func(int) float64 { return n } }
