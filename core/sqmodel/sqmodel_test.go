package sqmodel

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqroute"
)

// at returns the time a number of seconds after the start of a test.
func at(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func newModel(fullName string, requiredEngines float64) Model {
	name, version, _ := strings.Cut(fullName, "@")
	return NewModel(ModelConfig{Name: name, Version: version, WeightBytes: 100, RequiredEngines: requiredEngines})
}

// newEngine parses an engine: "e1 a m@1,m@2 > n@1" is engine e1 in zone a, which has
// m@1 and m@2 and is loading n@1; "-" stands for no models.
func newEngine(s string) Engine {
	f := strings.Fields(s)
	cfg := EngineConfig{ID: f[0], Zone: f[1]}
	if len(f) > 2 && f[2] != "-" {
		cfg.Loaded = strings.Split(f[2], ",")
	}
	if len(f) > 4 {
		cfg.Loading = f[4]
		cfg.HasOpenOrder = true
	}
	return NewEngine(cfg)
}

func newView(models []Model, engines ...string) View {
	cfg := ViewConfig{Models: models}
	for _, e := range engines {
		cfg.Engines = append(cfg.Engines, newEngine(e))
	}
	return NewView(cfg)
}

// formatOrders returns the orders of a plan as "ENGINE MODEL@VERSION, ...".
func formatOrders(p Plan) string {
	var all []string
	for _, l := range p.LoadOrders() {
		all = append(all, l.Engine()+" "+l.Model())
	}
	return strings.Join(all, ", ")
}

func TestPlanner(t *testing.T) {
	m2, n1 := newModel("m@2", 0), newModel("n@1", 0)
	busyM := newModel("m@2", 1.9)
	expect := func(what, want string, cfg Config, v View) {
		t.Helper()
		assert.Equal(t, formatOrders(NewPlanner(cfg).Plan(at(0), v)), want, what)
	}
	models := []Model{m2, n1}
	expect("nothing to load", "", Config{}, newView(models, "e1 a m@2,n@1", "e2 b m@2,n@1"))
	expect("no model is declared", "", Config{}, newView(nil, "e1 a -"))
	expect("missing model in two zones", "e1 n@1, e2 n@1", Config{}, newView(models, "e1 a m@2", "e2 b m@2"))
	expect("MaxConcurrentLoads allows one load", "e1 n@1", Config{MaxConcurrentLoads: 1}, newView(models, "e1 a m@2", "e2 b m@2"))
	slowStore := newView(models, "e1 a m@2", "e2 b m@2")
	slowStore.cfg.WeightStoreBytesPerSecond = 10
	expect("weight store rate allows one load", "e1 n@1", Config{MaxLoadTime: 10 * time.Second}, slowStore)
	expect("engines without a model", "e1 m@2, e2 n@1", Config{}, newView(models, "e1 a -", "e2 b -", "e3 c -"))
	expect("rollout starts with one engine", "e1 m@2", Config{}, newView([]Model{m2}, "e1 a m@1", "e2 b m@1", "e3 c m@1"))
	expect("rollout waits for the first engine", "", Config{}, newView([]Model{m2}, "e1 a m@1 > m@2", "e2 b m@1", "e3 c m@1"))
	expect("rollout continues after the first engine", "e2 m@2", Config{}, newView([]Model{m2}, "e1 a m@1,m@2", "e2 b m@1", "e3 c m@1"))
	expect("last copy is kept", "", Config{ModelSlots: 1}, newView(models, "e1 a n@1"))
	expect("one of two copies is kept", "e1 m@2", Config{ModelSlots: 1}, newView(models, "e1 a n@1", "e2 b n@1"))
	expect("last copy beside a load is kept", "", Config{ModelSlots: 1}, newView(models, "e1 a n@1 > m@2", "e2 b n@1"))
	threeModels := []Model{m2, n1, newModel("o@1", 0)}
	expect("two models do not evict both copies", "e1 m@2", Config{ModelSlots: 1}, newView(threeModels, "e1 a n@1", "e2 b n@1"))
	expect("demand", "e3 m@2", Config{}, newView([]Model{busyM, n1}, "e1 a m@2,n@1", "e2 b m@2,n@1", "e3 c n@1"))
	expect("demand does not evict a needed copy", "", Config{ModelSlots: 1},
		newView([]Model{busyM, n1}, "e1 a m@2", "e2 b m@2", "e3 c n@1", "e4 a n@1"))
}

func TestMissingRoleIsLoaded(t *testing.T) {
	m := newModel("m@1", 0)
	prefill := NewEngine(EngineConfig{ID: "e1", Zone: "a", Role: sqroute.RolePrefill, Loaded: []string{"m@1"}})
	otherPrefill := NewEngine(EngineConfig{ID: "e2", Zone: "a", Role: sqroute.RolePrefill, Loaded: []string{"x@1"}})
	decode := NewEngine(EngineConfig{ID: "e3", Zone: "a", Role: sqroute.RoleDecode, Loaded: []string{"x@1"}})
	v := NewView(ViewConfig{Models: []Model{m}, Engines: []Engine{prefill, otherPrefill, decode}})
	assert.Equal(t, formatOrders(NewPlanner(Config{MaxConcurrentLoads: 1}).Plan(at(0), v)), "e3 m@1")
}

func TestFailedLoadBacksOff(t *testing.T) {
	models := []Model{newModel("m@2", 0)}
	p := NewPlanner(Config{})
	assert.Equal(t, formatOrders(p.Plan(at(0), newView(models, "e1 a m@1", "e2 b m@1"))), "e1 m@2")
	assert.Equal(t, formatOrders(p.Plan(at(1), newView(models, "e1 a m@1 > m@2", "e2 b m@1"))), "")
	assert.Equal(t, formatOrders(p.Plan(at(2), newView(models, "e1 a m@1", "e2 b m@1"))), "")
	assert.Equal(t, formatOrders(p.Plan(at(8), newView(models, "e1 a m@1", "e2 b m@1"))), "e2 m@2")
	assert.Equal(t, formatOrders(p.Plan(at(40), newView(models, "e1 a m@1", "e2 b m@1"))), "e1 m@2")
}

// TestDelayedLoadReport covers an order that ends before the engine's report shows
// the model: the load must not count as failed and be ordered from another engine.
func TestDelayedLoadReport(t *testing.T) {
	models := []Model{newModel("m@1", 0)}
	p := NewPlanner(Config{MaxConcurrentLoads: 1})
	assert.Equal(t, formatOrders(p.Plan(at(0), newView(models, "e1 a x@1", "e2 a x@1"))), "e1 m@1")
	assert.Equal(t, formatOrders(p.Plan(at(1), newView(models, "e1 a x@1 > m@1", "e2 a x@1"))), "")
	assert.Equal(t, formatOrders(p.Plan(at(2), newView(models, "e1 a x@1", "e2 a x@1"))), "")
	assert.Equal(t, formatOrders(p.Plan(at(3), newView(models, "e1 a x@1,m@1", "e2 a x@1"))), "e2 m@1")
}

func TestFixed(t *testing.T) {
	v := newView([]Model{newModel("m@2", 9), newModel("n@1", 0)}, "e1 a m@1", "e2 b -", "e3 c x@1")
	assert.Equal(t, formatOrders(NewFixed().Plan(at(0), v)), "e2 n@1, e3 m@2")
}

func TestReasons(t *testing.T) {
	m, n := newModel("m@2", 2.5), newModel("n@1", 0.2)
	m.cfg.Adapters = []string{"legal", "tourism"}
	models := []Model{m, n}
	var lines []string
	for _, v := range []View{
		newView(models, "e1 a m@1", "e2 a n@1"),
		newView(models, "e1 a m@2,n@1", "e2 a n@1", "e3 b m@1,n@1"),
		newView(models, "e1 a m@2,n@1", "e2 b m@2,n@1", "e3 b x@1,n@1", "e4 c -"),
		newView(models, "e1 a x@1,n@1"),
	} {
		p := NewPlanner(Config{}).Plan(at(0), v)
		for _, l := range p.LoadOrders() {
			lines = append(lines, l.Reason())
		}
		lines = append(append(lines, p.Problems()...), "")
	}
	golden.Assert(t, strings.Join(lines, "\n"), "reasons.golden")
}

// TestRepeatedFailuresBackOff checks that an engine whose loads all fail is given
// loads at growing intervals.
func TestRepeatedFailuresBackOff(t *testing.T) {
	p := NewPlanner(Config{InitialBackoff: 10 * time.Second, MaxBackoff: time.Minute, MaxReportDelay: time.Second})
	var orderedAt []int
	loading := false
	for second := range 400 {
		state := "e1 a -"
		if loading {
			state = "e1 a - > m@2"
		}
		loading = len(p.Plan(at(second), newView([]Model{newModel("m@2", 0)}, state)).LoadOrders()) > 0
		if loading {
			orderedAt = append(orderedAt, second)
		}
	}
	assert.Assert(t, len(orderedAt) > 4 && len(orderedAt) < 10, "%v", orderedAt)
	for i := 2; i < len(orderedAt); i++ {
		gap, previousGap := orderedAt[i]-orderedAt[i-1], orderedAt[i-1]-orderedAt[i-2]
		assert.Assert(t, gap >= previousGap && gap <= 70, "%v", orderedAt)
	}
}

// TestTimedOutLoadFreesItsSlot checks that an engine that never finishes a load does
// not keep other engines from loading.
func TestTimedOutLoadFreesItsSlot(t *testing.T) {
	p := NewPlanner(Config{MaxConcurrentLoads: 1, MaxLoadTime: time.Minute})
	v := newView([]Model{newModel("m@2", 0)}, "e1 a - > m@2", "e2 b -")
	assert.Equal(t, formatOrders(p.Plan(at(0), v)), "")
	assert.Equal(t, formatOrders(p.Plan(at(110), v)), "")
	assert.Equal(t, formatOrders(p.Plan(at(130), v)), "e2 m@2")
}
