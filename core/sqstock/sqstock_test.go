package sqstock

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

var start = time.Unix(1_000_000, 0)

func fleetOf(zones ...string) *sqcommand.Fleet {
	return &sqcommand.Fleet{Zones: zones, MinEngines: 1, MaxEngines: 100, DearPrice: 1000, CheapPrice: 300, ArrivalSeconds: 60, OrdersEnabled: true}
}

// platform carries out orders as a test wants it.
type platform struct {
	fleet   *sqcommand.Fleet
	weights *sqcommand.Weights
	list    []EndpointConfig
	due     map[string]time.Time
	out     map[stock]bool
	added   int
	removed int
}

func newPlatform(fleet *sqcommand.Fleet) *platform {
	return &platform{fleet: fleet, due: make(map[string]time.Time), out: make(map[stock]bool)}
}

type planner interface {
	OutOfStock(now time.Time, zone string, cheap bool)
	Plan(now time.Time, view View) Plan
}

func (p *platform) step(now time.Time, b planner, needed, dear float64) Plan {
	v := ViewConfig{Fleet: p.fleet, Weights: p.weights, NeededEngines: needed, NeededOnDemand: dear}
	for _, e := range p.list {
		if at := p.due[e.ID]; at.After(now) {
			v.Pending = append(v.Pending, NewPendingEndpoint(PendingEndpointConfig{Zone: e.Zone, Cheap: e.Cheap}))
			continue
		}
		v.Endpoints = append(v.Endpoints, NewEndpoint(e))
	}
	plan := b.Plan(now, NewView(v))
	for _, o := range plan.Orders() {
		p.carryOut(now, b, o)
	}
	return plan
}

func (p *platform) carryOut(now time.Time, b planner, o Order) {
	if o.Action() == Release {
		p.removed++
		for i := range p.list {
			if p.list[i].ID == o.VM() {
				p.list = append(p.list[:i], p.list[i+1:]...)
				return
			}
		}
	}
	if p.out[stock{zone: o.Zone(), cheap: o.Cheap()}] {
		b.OutOfStock(now, o.Zone(), o.Cheap())
		return
	}
	p.added++
	id := "vm" + strconv.Itoa(p.added)
	p.list = append(p.list, EndpointConfig{ID: id, Zone: o.Zone(), Cheap: o.Cheap()})
	p.due[id] = now.Add(time.Minute)
}

func (p *platform) run(from time.Time, steps int, b planner, needed func(i int) float64, dearPart float64) {
	for i := range steps {
		n := needed(i)
		p.step(from.Add(time.Duration(i)*5*time.Second), b, n, n*dearPart)
	}
}

func (p *platform) counts() (dear int, cheap map[string]int) {
	cheap = make(map[string]int)
	for _, e := range p.list {
		if e.Cheap {
			cheap[e.Zone]++
		} else {
			dear++
		}
	}
	return dear, cheap
}

func steady(n float64) func(int) float64 { return func(int) float64 { return n } }

// The work that must be on time outlives the loss of any zone's cheap
// endpoints, and what may not run on cheap ones never needs one.
func TestSurvivesTheLossOfAZonesCheapEndpoints(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(rt, "zones")]
		p := newPlatform(fleetOf(zones...))
		p.fleet.CheapPrice = uint32(rapid.IntRange(100, 1200).Draw(rt, "price"))
		p.weights = &sqcommand.Weights{
			Goodput: rapid.Float64Range(0, 1).Draw(rt, "goodput"), Cost: rapid.Float64Range(0, 1).Draw(rt, "cost"),
		}
		needed := rapid.Float64Range(0, 40).Draw(rt, "needed")
		part := rapid.Float64Range(0, 1).Draw(rt, "dear")
		p.run(start, 60, NewBalanced(Config{}), steady(needed), part)
		dear, cheap := p.counts()
		survive := needed*part + needed*(1-part)*surviveShare(p.weights)
		total, most := dear, 0
		for _, n := range cheap {
			total += n
			most = max(most, n)
		}
		assert.Assert(rt, float64(dear) >= needed*part, "%d dear for %v", dear, needed*part)
		assert.Assert(rt, float64(total) >= needed, "%d for %v", total, needed)
		assert.Assert(rt, float64(total-most) >= survive, "%d dear, cheap %v, %v must survive", dear, cheap, survive)
	})
}

// naiveSolve tries every pair of counts.
func naiveSolve(n need) float64 {
	least := math.Inf(1)
	for dear := range 80 {
		for cheap := range 80 {
			left := float64(dear)
			if n.zones > 0 {
				left += float64(cheap - (cheap+n.zones-1)/n.zones)
			}
			ok := float64(dear) >= n.dear && float64(dear+cheap) >= n.total && left >= n.survive && dear+cheap >= n.min
			if ok && (n.zones > 0 || cheap == 0) {
				least = min(least, float64(dear)*n.dearPrice+float64(cheap)*n.cheapPrice)
			}
		}
	}
	return least
}

func TestSolveAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := need{
			carry: carry{total: rapid.Float64Range(0, 25).Draw(rt, "total")}, min: rapid.IntRange(0, 6).Draw(rt, "min"), max: 1000,
			zones: rapid.IntRange(0, 4).Draw(rt, "zones"), dearPrice: 1000, cheapPrice: float64(rapid.IntRange(50, 1100).Draw(rt, "price")),
		}
		n.dear = n.total * rapid.Float64Range(0, 1).Draw(rt, "dear")
		n.survive = n.dear + (n.total-n.dear)*rapid.Float64Range(0, 1).Draw(rt, "survive")
		got := n.solve()
		assert.Equal(rt, float64(got.dear)*n.dearPrice+float64(got.cheap)*n.cheapPrice, naiveSolve(n), "%+v", got)
	})
}

func TestOrdersAroundStockThatIsOut(t *testing.T) {
	p := newPlatform(fleetOf("a", "b", "c"))
	p.out[stock{zone: "a", cheap: true}] = true
	b := NewBalanced(Config{})
	p.run(start, 60, b, steady(12), 0.25)
	_, cheap := p.counts()
	assert.Equal(t, cheap["a"], 0)
	assert.Assert(t, cheap["b"] > 0 && cheap["c"] > 0, "%v", cheap)
	// Without any cheap stock, dear endpoints do.
	for _, z := range p.fleet.Zones {
		p.out[stock{zone: z, cheap: true}] = true
	}
	p.list = nil
	p.run(start.Add(time.Hour), 60, b, steady(12), 0.25)
	dear, _ := p.counts()
	assert.Assert(t, dear >= 12, "%d", dear)
	// Once it is back, the cheap ones come and spare dear ones go.
	p.out = make(map[stock]bool)
	p.run(start.Add(2*time.Hour), 500, b, steady(12), 0.25)
	after, cheap := p.counts()
	assert.Assert(t, after < dear && cheap["a"] > 0, "%d dear, cheap %v", after, cheap)
}

func TestReclaimedZoneIsNotAskedAtOnce(t *testing.T) {
	p := newPlatform(fleetOf("a", "b", "c"))
	b := NewBalanced(Config{})
	p.run(start, 60, b, steady(12), 0.25)
	kept := p.list[:0]
	for _, e := range p.list {
		if !e.Cheap || e.Zone != "a" {
			kept = append(kept, e)
		}
	}
	p.list = kept
	plan := p.step(start.Add(10*time.Minute), b, 12, 3)
	assert.Assert(t, len(plan.Orders()) > 0)
	for _, o := range plan.Orders() {
		assert.Assert(t, !o.Cheap() || o.Zone() != "a")
	}
}

func TestPausesGrowWhileStockIsOut(t *testing.T) {
	b := NewBalanced(Config{})
	now := start
	var pauses []time.Duration
	for range 6 {
		b.OutOfStock(now, "a", true)
		until := b.pauses[stock{zone: "a", cheap: true}].until
		pauses = append(pauses, until.Sub(now))
		assert.Assert(t, !b.inStock(now, "a", true) && b.inStock(until, "a", true) && b.inStock(now, "a", false))
		now = until
	}
	assert.DeepEqual(t, pauses, []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 10 * time.Minute})
}

func TestNoiseOrdersNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlatform(fleetOf("a", "b", "c"))
		b := NewBalanced(Config{})
		p.weights = &sqcommand.Weights{Goodput: 1, Cost: rapid.Float64Range(0, 8).Draw(rt, "cost")}
		level := rapid.Float64Range(2, 30).Draw(rt, "level")
		part := rapid.Float64Range(0, 1).Draw(rt, "dear")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		at := func(int) float64 { return level * (0.9 + 0.2*r.Float64()) }
		p.run(start, 200, b, at, part)
		before := p.added + p.removed
		p.run(start.Add(1000*time.Second), 720, b, at, part)
		orders := p.added + p.removed - before
		assert.Assert(rt, orders <= 4, "%d orders in an hour at %v engines", orders, level)
	})
}

func TestReleasesWhatIsSpareForLong(t *testing.T) {
	p := newPlatform(fleetOf("a", "b", "c"))
	b := NewBalanced(Config{})
	p.run(start, 100, b, steady(20), 0.2)
	large := len(p.list)
	p.run(start.Add(500*time.Second), 20, b, steady(5), 0.2)
	assert.Equal(t, len(p.list), large)
	p.run(start.Add(600*time.Second), 200, b, steady(5), 0.2)
	assert.Assert(t, len(p.list) <= 9, "%d left", len(p.list))
}

// Where cost counts, what is spare goes back sooner, but not before its
// replacement could come.
func TestCostDecidesHowSoonSpareEndpointsGo(t *testing.T) {
	released := func(w *sqcommand.Weights) time.Duration {
		p := newPlatform(fleetOf("a", "b", "c"))
		p.weights = w
		b := NewBalanced(Config{})
		p.run(start, 100, b, steady(20), 0.2)
		for i := range 200 {
			p.step(start.Add(500*time.Second+time.Duration(i)*5*time.Second), b, 5, 1)
			if p.removed > 0 {
				return time.Duration(i) * 5 * time.Second
			}
		}
		return time.Hour
	}
	service := released(&sqcommand.Weights{Goodput: 4, WorstTeam: 4, Cost: 1})
	cost := released(&sqcommand.Weights{Goodput: 1, WorstTeam: 1, Cost: 4})
	t.Logf("released after %v and %v", service, cost)
	assert.Assert(t, cost >= time.Minute && cost < service*2/3, "%v and %v", cost, service)
}

func TestKeepsTheLastOfARole(t *testing.T) {
	b := NewBalanced(Config{})
	fleet := fleetOf("a")
	var list []Endpoint
	for i, role := range []sqroute.Role{sqroute.RolePrefill, sqroute.RoleDecode, sqroute.RoleDecode} {
		list = append(list, NewEndpoint(EndpointConfig{ID: "e" + strconv.Itoa(i), Zone: "a", Model: "m", Role: role}))
	}
	for i := range 200 {
		plan := b.Plan(start.Add(time.Duration(i)*time.Second), NewView(ViewConfig{Fleet: fleet, Endpoints: list}))
		for _, o := range plan.Orders() {
			assert.Assert(t, o.VM() != "e0", "the only prefill engine was released")
		}
	}
}

func TestWeightsDecideWhatSurvives(t *testing.T) {
	cost := func(w *sqcommand.Weights) float64 {
		p := newPlatform(fleetOf("a", "b"))
		p.weights = w
		p.run(start, 100, NewBalanced(Config{}), steady(20), 0.1)
		dear, cheap := p.counts()
		return 1000*float64(dear) + 300*float64(cheap["a"]+cheap["b"])
	}
	assert.Assert(t, cost(&sqcommand.Weights{Cost: 1}) < cost(&sqcommand.Weights{Goodput: 1}))
}

func TestSpendsLessThanAllDear(t *testing.T) {
	spend := func(b planner) float64 {
		p := newPlatform(fleetOf("a", "b", "c"))
		p.run(start, 100, b, steady(20), 0.2)
		dear, cheap := p.counts()
		return 1000*float64(dear) + 300*float64(cheap["a"]+cheap["b"]+cheap["c"])
	}
	ours, allDear := spend(NewBalanced(Config{})), spend(NewAllOnDemand())
	t.Logf("ours %v, all dear %v", ours, allDear)
	assert.Assert(t, ours <= 0.7*allDear, "%v and %v", ours, allDear)
}

func TestBaselinesFollowTheMoment(t *testing.T) {
	for name, b := range map[string]planner{"all dear": NewAllOnDemand(), "greedy cheap": NewGreedyCheap()} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(fleetOf("a", "b"))
			p.run(start, 20, b, steady(6), 0.5)
			assert.Equal(t, len(p.list), 6)
		})
	}
}

func TestFitsCheap(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  WorkConfig
		want bool
	}{
		"once":                  {WorkConfig{CheapAllowed: true, AtMostOnce: true, Idempotent: true, Resumable: true}, false},
		"not allowed":           {WorkConfig{Idempotent: true, Resumable: true}, false},
		"neither":               {WorkConfig{CheapAllowed: true}, false},
		"resumable":             {WorkConfig{CheapAllowed: true, Resumable: true, ExpectedDuration: time.Hour}, true},
		"short and repeatable":  {WorkConfig{CheapAllowed: true, Idempotent: true, ExpectedDuration: time.Second, ReclaimNotice: 5 * time.Second}, true},
		"time for another run":  {WorkConfig{CheapAllowed: true, Idempotent: true, ExpectedDuration: time.Minute, Slack: time.Minute}, true},
		"no time for a second":  {WorkConfig{CheapAllowed: true, Idempotent: true, ExpectedDuration: time.Minute, Slack: time.Second}, false},
		"short but must not be": {WorkConfig{CheapAllowed: true, AtMostOnce: true, ExpectedDuration: time.Millisecond, ReclaimNotice: time.Minute}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, why := CanRunOnCheap(c.cfg)
			assert.Equal(t, got, c.want, why)
			assert.Assert(t, why != "")
		})
	}
}

func TestExplain(t *testing.T) {
	p := newPlatform(fleetOf("a", "b", "c"))
	b := NewBalanced(Config{})
	var lines []string
	for i := range 200 {
		needed := 6.0
		if i > 100 {
			needed = 1
		}
		plan := p.step(start.Add(time.Duration(i)*5*time.Second), b, needed, needed/4)
		if len(plan.Orders()) > 0 {
			lines = append(lines, plan.Lines()...)
		}
		for _, o := range plan.Orders() {
			lines = append(lines, o.Reason())
		}
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "explain.golden")
}

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{8, 20, 100, 340, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			fleet := fleetOf("a", "b", "c")
			fleet.MaxEngines = 2000
			var list []Endpoint
			for i := range workers {
				list = append(list, NewEndpoint(EndpointConfig{ID: strconv.Itoa(i), Zone: fleet.Zones[i%3], Cheap: i%2 == 0}))
			}
			v := NewView(ViewConfig{Fleet: fleet, Endpoints: list, NeededEngines: float64(workers) * 0.9, NeededOnDemand: float64(workers) / 3})
			p := NewBalanced(Config{})
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				p.Plan(now, v)
			}
		})
	}
}
