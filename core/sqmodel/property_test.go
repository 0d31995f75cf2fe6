package sqmodel

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world plays engines that hold slots models, drop the oldest, and take a while
// for a load, of which some fail.
type world struct {
	slots   int
	models  []Model
	engines []EngineConfig
	left    map[string]int
}

func (w *world) view() View {
	v := ViewConfig{Models: w.models}
	for _, e := range w.engines {
		e.Loaded = slices.Clone(e.Loaded)
		v.Engines = append(v.Engines, NewEngine(e))
	}
	return NewView(v)
}

func (w *world) order(l LoadOrder, steps int) {
	for i := range w.engines {
		if e := &w.engines[i]; e.ID == l.Engine() {
			e.OrderOpen, e.Loading = true, l.Model()
			w.left[e.ID] = steps
		}
	}
}

func (w *world) step(fails func() bool) {
	for i := range w.engines {
		e := &w.engines[i]
		if e.Loading == "" {
			continue
		}
		if w.left[e.ID]--; w.left[e.ID] > 0 {
			continue
		}
		if !fails() {
			e.Loaded = append(e.Loaded, e.Loading)
			e.Loaded = e.Loaded[max(0, len(e.Loaded)-w.slots):]
		}
		e.OrderOpen, e.Loading = false, ""
	}
}

// served returns the declared models that some engine has.
func (w *world) served() map[string]map[string]bool {
	zones := make(map[string]map[string]bool)
	for _, m := range w.models {
		for _, e := range w.engines {
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

// TestLoadsSettle draws fleets, models and demand that stays: the planner never
// ends a model's service, never loads more at once than it may, two planners
// with the same input agree, and it comes to rest with every engine at work and,
// where there is room, every model in its new version and in two zones.
func TestLoadsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{slots: rapid.IntRange(1, 3).Draw(t, "slots"), left: make(map[string]int)}
		names := rapid.IntRange(1, 3).Draw(t, "models")
		for i := range names {
			w.models = append(w.models, model("m"+strconv.Itoa(i)+"@2", rapid.Float64Range(0, 4).Draw(t, "needed")))
		}
		for i := range rapid.IntRange(2*names, 9).Draw(t, "engines") {
			e := EngineConfig{ID: "e" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%3)}
			if rapid.Bool().Draw(t, "loaded") {
				e.Loaded = []string{"m" + strconv.Itoa(rapid.IntRange(0, names).Draw(t, "model")) + "@1"}
			}
			w.engines = append(w.engines, e)
		}
		cfg := Config{MaxConcurrentLoads: rapid.IntRange(1, 3).Draw(t, "loads"), ModelSlots: w.slots}
		p, same := NewPlanner(cfg), NewPlanner(cfg)
		quiet := 0
		for step := 0; quiet < 40; step++ {
			if step > 1000 {
				t.Fatalf("still loading: %+v", w.engines)
			}
			now := at(10 * step)
			plan := p.Plan(now, w.view())
			assert.DeepEqual(t, orders(plan), orders(same.Plan(now, w.view())))
			for _, l := range plan.LoadOrders() {
				w.order(l, rapid.IntRange(1, 3).Draw(t, "steps"))
			}
			loading := 0
			for _, e := range w.engines {
				if e.Loading != "" {
					loading++
				}
			}
			assert.Assert(t, loading <= cfg.MaxConcurrentLoads)
			before := w.served()
			w.step(func() bool { return step < 30 && rapid.IntRange(0, 9).Draw(t, "fails") == 0 })
			for name := range before {
				assert.Assert(t, len(w.served()[name]) > 0, "%s is served no more", name)
			}
			quiet++
			if loading > 0 {
				quiet = 0
			}
		}
		end := w.view()
		for _, e := range w.engines {
			assert.Assert(t, e.hasDeclared(end.models()), "%s has nothing", e.ID)
		}
		for _, m := range w.models {
			assert.Assert(t, len(w.served()[m.cfg.Name]) > 1, "%s is in one zone: %+v", m.cfg.Name, w.engines)
		}
		s := newSituation(at(100000), p, end.models(), w.engines)
		for i := range s.models {
			done, _ := s.progress(&s.models[i])
			c := s.spread(s.models[i].Name, false)
			assert.Equal(t, done, c.copies, "%s: %+v", s.models[i].Name, w.engines)
		}
	})
}

// TestNoiseMovesNothing: demand that swings by a fifth orders nothing more.
func TestNoiseMovesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(Config{ModelSlots: 1})
		engines := []string{"e1 a m@1", "e2 b m@1", "e3 c m@1", "e4 a n@1", "e5 b n@1"}
		for i := range 600 {
			noise := rapid.Float64Range(0.8, 1.2).Draw(t, "noise")
			models := []Model{model("m@1", 2*noise), model("n@1", 1.2*noise)}
			now := at(0).Add(time.Duration(i) * time.Second)
			assert.Equal(t, orders(p.Plan(now, view(models, engines...))), "")
		}
	})
}
