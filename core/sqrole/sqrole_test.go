package sqrole

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

const changeTime = 5 * time.Second

type planner interface {
	Plan(now time.Time, view View) Plan
}

// engines are those of a test, which take changeTime to change.
type engines struct {
	list    []EngineConfig
	until   map[int]time.Time
	changes int
}

func newEngines(both, prefill, decode int) *engines {
	e := &engines{until: make(map[int]time.Time)}
	for role, n := range []int{both, prefill, decode} {
		for range n {
			e.list = append(e.list, EngineConfig{ID: "e" + strconv.Itoa(len(e.list)), Model: "m", Role: sqroute.Role(role)})
		}
	}
	return e
}

func (e *engines) counts() counts {
	var c counts
	for i := range e.list {
		c[e.list[i].Role]++
	}
	return c
}

// step plans once and carries out what was ordered.
func (e *engines) step(now time.Time, p planner, w work, weights *sqcommand.Weights) Plan {
	view := ViewConfig{RoleChangeTime: changeTime, Weights: weights, Demands: []Demand{demandOf(w)}}
	for i := range e.list {
		if at, ok := e.until[i]; ok && !now.Before(at) {
			delete(e.until, i)
			e.list[i].Role, e.list[i].ChangingRole, e.list[i].RoleChangedAt = e.list[i].TargetRole, false, now
		}
		view.Engines = append(view.Engines, NewEngine(e.list[i]))
	}
	plan := p.Plan(now, NewView(view))
	for _, c := range plan.Changes() {
		i, _ := strconv.Atoi(c.Engine()[1:])
		e.list[i].ChangingRole, e.list[i].TargetRole = true, c.To()
		e.until[i] = now.Add(changeTime)
		e.changes++
	}
	return plan
}

func demandOf(w work) Demand {
	return NewDemand(DemandConfig{Model: "m", PrefillArrivalRate: w.prefill * DefaultPrefillRate, DecodeArrivalRate: w.decode * DefaultDecodeRate})
}

// run steps once a second and returns the changes that were ordered.
func (e *engines) run(from time.Time, seconds int, p planner, at func(second int) work) int {
	before := e.changes
	for i := range seconds {
		e.step(from.Add(time.Duration(i)*time.Second), p, at(i), nil)
	}
	return e.changes - before
}

func steady(w work) func(int) work { return func(int) work { return w } }

func noisy(r *rand.Rand, at func(int) work, part float64) func(int) work {
	return func(i int) work {
		w := at(i)
		return work{prefill: w.prefill * (1 + part*(2*r.Float64()-1)), decode: w.decode * (1 + part*(2*r.Float64()-1))}
	}
}

// swing goes from answers to prompts and back within minutes.
func swing(i int) work {
	s := math.Sin(2 * math.Pi * float64(i) / 300)
	return work{prefill: 6 + 4*s, decode: 7 - 4*s}
}

func TestNoiseChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 20).Draw(rt, "engines")
		prefill := rapid.IntRange(1, n-1).Draw(rt, "prefill")
		e := newEngines(0, prefill, n-prefill)
		load := rapid.Float64Range(0.3, 1).Draw(rt, "load") * float64(n)
		share := rapid.Float64Range(0.1, 0.9).Draw(rt, "share")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		at := noisy(r, steady(work{prefill: load * share, decode: load * (1 - share)}), 0.2)
		p := NewPlanned(Config{})
		e.run(start, 300, p, at)
		changes := e.run(start.Add(300*time.Second), 900, p, at)
		assert.Assert(rt, changes <= 2, "%d changes, %d engines at load %v, share %v, now %v", changes, n, load, share, e.counts())
	})
}

// best tries every split: the plainly right version for demand that stays.
func best(n int, w work) float64 {
	least := math.Inf(1)
	for prefill := range n + 1 {
		for decode := range n + 1 - prefill {
			c := counts{sqroute.RoleBoth: n - prefill - decode, sqroute.RolePrefill: prefill, sqroute.RoleDecode: decode}
			if c.prefills() > 0 && c.decodes() > 0 {
				least = min(least, c.regret(w))
			}
		}
	}
	return least
}

func TestSettlesNearTheBestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(rt, "engines")
		prefill := rapid.IntRange(1, n-1).Draw(rt, "prefill")
		e := newEngines(0, prefill, n-prefill)
		load := rapid.Float64Range(0.2, 1.0).Draw(rt, "load") * float64(n)
		share := rapid.Float64Range(0.05, 0.95).Draw(rt, "share")
		w := work{prefill: load * share, decode: load * (1 - share)}
		e.run(start, 1200, NewPlanned(Config{}), steady(w))
		got, want := e.counts().regret(w), best(n, w)
		// What is left to gain is less than what a change must gain, a few
		// times over since moves are weighed one by one.
		slack := 3 * DefaultMinGain / float64(n)
		assert.Assert(rt, got <= want+slack, "%v: %v, best %v", e.counts(), got, want)
	})
}

func TestFollowsASwingWithAThirdOfTheChanges(t *testing.T) {
	ours, reactive := newEngines(0, 8, 8), newEngines(0, 8, 8)
	seed := func() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }
	p := NewPlanned(Config{})
	late := 0
	at := noisy(seed(), swing, 0.2)
	for i := range 900 {
		ours.step(start.Add(time.Duration(i)*time.Second), p, at(i), nil)
		if ours.counts().load(swing(i)) > 1.15 {
			late++
		}
	}
	reactive.run(start, 900, NewReactive(), noisy(seed(), swing, 0.2))
	t.Logf("changes: planned %d, reactive %d; overloaded for %d of 900 s", ours.changes, reactive.changes, late)
	assert.Assert(t, ours.changes > 0 && 3*ours.changes <= reactive.changes, "%d and %d", ours.changes, reactive.changes)
	assert.Assert(t, late < 45, "overloaded for %d s", late)
}

func TestWeightsDecideHowCloselyTheMixIsFollowed(t *testing.T) {
	count := func(w *sqcommand.Weights) int {
		e := newEngines(0, 8, 8)
		p := NewPlanned(Config{})
		for i := range 900 {
			m := swing(i)
			e.step(start.Add(time.Duration(i)*time.Second), p, work{prefill: 3 + m.prefill/2, decode: 3 + m.decode/2}, w)
		}
		return e.changes
	}
	goodput, cost := count(&sqcommand.Weights{Goodput: 1}), count(&sqcommand.Weights{Cost: 1})
	assert.Assert(t, goodput > cost, "%d and %d", goodput, cost)
}

// A load that is open on one engine holds up no role change of another.
func TestLoadOnOneEngineHoldsUpNoOther(t *testing.T) {
	p := NewPlanned(Config{})
	cfg := ViewConfig{Demands: []Demand{demandOf(work{prefill: 0.2, decode: 5})}}
	for i := range 6 {
		e := EngineConfig{ID: "e" + strconv.Itoa(i), Model: "m", Role: sqroute.RolePrefill, HasOpenOrder: i == 0}
		if i > 3 {
			e.Role = sqroute.RoleDecode
		}
		cfg.Engines = append(cfg.Engines, NewEngine(e))
	}
	changes := p.Plan(start, NewView(cfg)).Changes()
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Engine() != "e0")
}

func TestKeepsTheLastEngineOfAKind(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPlanned(Config{MinChangeInterval: 0.001, MinGain: 0.001, EnginesPerChange: 1})
		var list []EngineConfig
		for i := range rapid.IntRange(1, 6).Draw(rt, "engines") {
			list = append(list, EngineConfig{
				ID: "e" + strconv.Itoa(i), Model: "m", Role: sqroute.Role(rapid.IntRange(0, 2).Draw(rt, "role")),
				ChangingRole: rapid.IntRange(0, 3).Draw(rt, "changing") == 0, Unschedulable: rapid.IntRange(0, 3).Draw(rt, "closed") == 0,
				HasOpenOrder: rapid.IntRange(0, 3).Draw(rt, "taken") == 0,
			})
		}
		w := work{prefill: rapid.Float64Range(0, 9).Draw(rt, "prefill"), decode: rapid.Float64Range(0, 9).Draw(rt, "decode")}
		view := ViewConfig{Demands: []Demand{demandOf(w)}}
		for i := range list {
			view.Engines = append(view.Engines, NewEngine(list[i]))
		}
		changes := p.Plan(start, NewView(view)).Changes()
		left := make(map[string]bool)
		for _, c := range changes {
			assert.Assert(rt, !left[c.Engine()], "two changes of one engine")
			left[c.Engine()] = true
		}
		var before, after counts
		for _, e := range list {
			if e.ChangingRole || e.Unschedulable || e.HasOpenOrder {
				assert.Assert(rt, !left[e.ID], "%s was busy", e.ID)
				continue
			}
			before[e.Role]++
			if !left[e.ID] {
				after[e.Role]++
			}
		}
		assert.Assert(rt, after.prefills() > 0 || before.prefills() == 0 || len(changes) == 0)
		assert.Assert(rt, after.decodes() > 0 || before.decodes() == 0 || len(changes) == 0)
	})
}

func TestChangesAtOnceAreBounded(t *testing.T) {
	e := newEngines(0, 16, 4)
	plan := e.step(start, NewPlanned(Config{}), work{prefill: 1, decode: 18}, nil)
	assert.Equal(t, len(plan.Changes()), 4)
}

func TestSameInputSamePlan(t *testing.T) {
	run := func() []string {
		e := newEngines(4, 6, 6)
		p := NewPlanned(Config{})
		var lines []string
		for i := range 300 {
			lines = append(lines, e.step(start.Add(time.Duration(i)*time.Second), p, swing(i), nil).Lines()...)
		}
		return lines
	}
	assert.DeepEqual(t, run(), run())
}

func TestExplain(t *testing.T) {
	e := newEngines(1, 6, 2)
	plan := e.step(start, NewPlanned(Config{}), work{prefill: 2, decode: 5}, nil)
	lines := append([]string(nil), plan.Lines()...)
	for _, c := range plan.Changes() {
		lines = append(lines, c.Reason())
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "explain.golden")
}

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{8, 20, 100, 340, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			e := newEngines(workers/4, workers/4, workers-2*(workers/4))
			p := NewPlanned(Config{})
			view := ViewConfig{Demands: []Demand{demandOf(work{prefill: float64(workers) / 3, decode: float64(workers) / 3})}}
			for i := range e.list {
				view.Engines = append(view.Engines, NewEngine(e.list[i]))
			}
			v := NewView(view)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				p.Plan(now, v)
			}
		})
	}
}
