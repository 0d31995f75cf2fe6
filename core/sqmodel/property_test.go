package sqmodel

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeFleet simulates engines that hold up to slots models and evict the oldest. A
// load takes a number of steps and may fail.
type fakeFleet struct {
	slots     int
	models    []Model
	engines   []EngineConfig
	stepsLeft map[string]int
}

func (f *fakeFleet) view() View {
	v := ViewConfig{Models: f.models}
	for _, e := range f.engines {
		e.Loaded = slices.Clone(e.Loaded)
		v.Engines = append(v.Engines, NewEngine(e))
	}
	return NewView(v)
}

// startLoad starts a load that takes a number of steps.
func (f *fakeFleet) startLoad(l LoadOrder, steps int) {
	for i := range f.engines {
		if e := &f.engines[i]; e.ID == l.Engine() {
			e.HasOpenOrder, e.Loading = true, l.Model()
			f.stepsLeft[e.ID] = steps
		}
	}
}

// advance runs one step and ends the loads that are due.
func (f *fakeFleet) advance(loadFails func() bool) {
	for i := range f.engines {
		e := &f.engines[i]
		if e.Loading == "" {
			continue
		}
		if f.stepsLeft[e.ID]--; f.stepsLeft[e.ID] > 0 {
			continue
		}
		if !loadFails() {
			e.Loaded = append(e.Loaded, e.Loading)
			e.Loaded = e.Loaded[max(0, len(e.Loaded)-f.slots):]
		}
		e.HasOpenOrder, e.Loading = false, ""
	}
}

// servedZones returns, for each declared model that an engine has, the zones of
// those engines.
func (f *fakeFleet) servedZones() map[string]map[string]bool {
	zones := make(map[string]map[string]bool)
	for _, m := range f.models {
		for _, e := range f.engines {
			if e.has(m.cfg.Name) {
				if zones[m.cfg.Name] == nil {
					zones[m.cfg.Name] = make(map[string]bool)
				}
				zones[m.cfg.Name][e.Zone] = true
			}
		}
	}
	return zones
}

// TestPlansConverge draws fleets, models and constant demand. The planner must
// never evict the last copy of a model or exceed the limit of concurrent loads,
// and two planners with the same input must agree. In the end there are no more
// loads, every engine has a declared model, and every model is in its new version
// and, since all fleets have room for it, in two zones.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := &fakeFleet{slots: rapid.IntRange(1, 3).Draw(t, "slots"), stepsLeft: make(map[string]int)}
		modelCount := rapid.IntRange(1, 3).Draw(t, "models")
		for i := range modelCount {
			fleet.models = append(fleet.models, newModel("m"+strconv.Itoa(i)+"@2", rapid.Float64Range(0, 4).Draw(t, "needed")))
		}
		for i := range rapid.IntRange(2*modelCount, 9).Draw(t, "engines") {
			e := EngineConfig{ID: "e" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%3)}
			if rapid.Bool().Draw(t, "loaded") {
				e.Loaded = []string{"m" + strconv.Itoa(rapid.IntRange(0, modelCount).Draw(t, "model")) + "@1"}
			}
			fleet.engines = append(fleet.engines, e)
		}
		cfg := Config{MaxConcurrentLoads: rapid.IntRange(1, 3).Draw(t, "loads"), ModelSlots: fleet.slots}
		p, twin := NewPlanner(cfg), NewPlanner(cfg)
		stepsWithoutLoads := 0
		for step := 0; stepsWithoutLoads < 40; step++ {
			if step > 1000 {
				t.Fatalf("still loading: %+v", fleet.engines)
			}
			now := at(10 * step)
			plan := p.Plan(now, fleet.view())
			assert.DeepEqual(t, formatOrders(plan), formatOrders(twin.Plan(now, fleet.view())))
			for _, l := range plan.LoadOrders() {
				fleet.startLoad(l, rapid.IntRange(1, 3).Draw(t, "steps"))
			}
			loading := 0
			for _, e := range fleet.engines {
				if e.Loading != "" {
					loading++
				}
			}
			assert.Assert(t, loading <= cfg.MaxConcurrentLoads)
			before := fleet.servedZones()
			fleet.advance(func() bool { return step < 30 && rapid.IntRange(0, 9).Draw(t, "fails") == 0 })
			for name := range before {
				assert.Assert(t, len(fleet.servedZones()[name]) > 0, "no engine has %s any more", name)
			}
			stepsWithoutLoads++
			if loading > 0 {
				stepsWithoutLoads = 0
			}
		}
		end := fleet.view()
		for _, e := range fleet.engines {
			assert.Assert(t, e.hasDeclaredModel(end.models()), "%s has no declared model", e.ID)
		}
		for _, m := range fleet.models {
			assert.Assert(t, len(fleet.servedZones()[m.cfg.Name]) > 1, "%s is not in two zones: %+v", m.cfg.Name, fleet.engines)
		}
		s := newPlanState(at(100000), p, end.models(), fleet.engines)
		for i := range s.models {
			done, _ := s.rolloutProgress(&s.models[i])
			c := s.placement(s.models[i].Name, false)
			assert.Equal(t, done, c.copies, "%s: %+v", s.models[i].Name, fleet.engines)
		}
	})
}

// TestDemandNoiseOrdersNothing checks that demand that varies by 20 percent causes
// no loads.
func TestDemandNoiseOrdersNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(Config{ModelSlots: 1})
		engines := []string{"e1 a m@1", "e2 b m@1", "e3 c m@1", "e4 a n@1", "e5 b n@1"}
		for i := range 600 {
			noise := rapid.Float64Range(0.8, 1.2).Draw(t, "noise")
			models := []Model{newModel("m@1", 2*noise), newModel("n@1", 1.2*noise)}
			now := at(0).Add(time.Duration(i) * time.Second)
			assert.Equal(t, formatOrders(p.Plan(now, newView(models, engines...))), "")
		}
	})
}
