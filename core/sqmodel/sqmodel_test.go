package sqmodel

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqroute"
)

func at(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func model(full string, needed float64) Model {
	name, version, _ := strings.Cut(full, "@")
	return NewModel(ModelConfig{Name: name, Version: version, WeightBytes: 100, RequiredEngines: needed})
}

// engine returns an engine; "e1 a m@1,m@2 > n@1" loads n@1 in zone a.
func engine(s string) Engine {
	f := strings.Fields(s)
	cfg := EngineConfig{ID: f[0], Zone: f[1]}
	if len(f) > 2 && f[2] != "-" {
		cfg.Loaded = strings.Split(f[2], ",")
	}
	if len(f) > 4 {
		cfg.Loading = f[4]
		cfg.OrderOpen = true
	}
	return NewEngine(cfg)
}

func view(models []Model, engines ...string) View {
	cfg := ViewConfig{Models: models}
	for _, e := range engines {
		cfg.Engines = append(cfg.Engines, engine(e))
	}
	return NewView(cfg)
}

func orders(p Plan) string {
	var all []string
	for _, l := range p.LoadOrders() {
		all = append(all, l.Engine()+" "+l.Model())
	}
	return strings.Join(all, ", ")
}

func TestPlanned(t *testing.T) {
	m2, n1 := model("m@2", 0), model("n@1", 0)
	busyM := model("m@2", 1.9)
	expect := func(what, want string, cfg Config, v View) {
		t.Helper()
		assert.Equal(t, orders(NewPlanner(cfg).Plan(at(0), v)), want, what)
	}
	both := []Model{m2, n1}
	expect("all is well", "", Config{}, view(both, "e1 a m@2,n@1", "e2 b m@2,n@1"))
	expect("no model is declared", "", Config{}, view(nil, "e1 a -"))
	expect("a model that nobody has, in two zones", "e1 n@1, e2 n@1", Config{}, view(both, "e1 a m@2", "e2 b m@2"))
	expect("one load at a time", "e1 n@1", Config{MaxConcurrentLoads: 1}, view(both, "e1 a m@2", "e2 b m@2"))
	slow := view(both, "e1 a m@2", "e2 b m@2")
	slow.cfg.WeightStoreBytesPerSecond = 10
	expect("the store's rate", "e1 n@1", Config{MaxLoadTime: 10 * time.Second}, slow)
	expect("idle engines", "e1 m@2, e2 n@1", Config{}, view(both, "e1 a -", "e2 b -", "e3 c -"))
	expect("a rollout starts with one", "e1 m@2", Config{}, view([]Model{m2}, "e1 a m@1", "e2 b m@1", "e3 c m@1"))
	expect("and waits for it", "", Config{}, view([]Model{m2}, "e1 a m@1 > m@2", "e2 b m@1", "e3 c m@1"))
	expect("and goes on", "e2 m@2", Config{}, view([]Model{m2}, "e1 a m@1,m@2", "e2 b m@1", "e3 c m@1"))
	expect("a full engine drops no last copy", "", Config{ModelSlots: 1}, view(both, "e1 a n@1"))
	expect("nor do two at once", "e1 m@2", Config{ModelSlots: 1}, view(both, "e1 a n@1", "e2 b n@1"))
	expect("nor beside one under way", "", Config{ModelSlots: 1}, view(both, "e1 a n@1 > m@2", "e2 b n@1"))
	three := []Model{m2, n1, model("o@1", 0)}
	expect("nor for two models at once", "e1 m@2", Config{ModelSlots: 1}, view(three, "e1 a n@1", "e2 b n@1"))
	expect("demand", "e3 m@2", Config{}, view([]Model{busyM, n1}, "e1 a m@2,n@1", "e2 b m@2,n@1", "e3 c n@1"))
	expect("demand takes no engine that its model needs", "", Config{ModelSlots: 1},
		view([]Model{busyM, n1}, "e1 a m@2", "e2 b m@2", "e3 c n@1", "e4 a n@1"))
}

func TestRolesCount(t *testing.T) {
	m := model("m@1", 0)
	prefill := NewEngine(EngineConfig{ID: "e1", Zone: "a", Role: sqroute.RolePrefill, Loaded: []string{"m@1"}})
	other := NewEngine(EngineConfig{ID: "e2", Zone: "a", Role: sqroute.RolePrefill, Loaded: []string{"x@1"}})
	decode := NewEngine(EngineConfig{ID: "e3", Zone: "a", Role: sqroute.RoleDecode, Loaded: []string{"x@1"}})
	v := NewView(ViewConfig{Models: []Model{m}, Engines: []Engine{prefill, other, decode}})
	assert.Equal(t, orders(NewPlanner(Config{MaxConcurrentLoads: 1}).Plan(at(0), v)), "e3 m@1")
}

func TestFailedLoadPauses(t *testing.T) {
	models := []Model{model("m@2", 0)}
	p := NewPlanner(Config{})
	assert.Equal(t, orders(p.Plan(at(0), view(models, "e1 a m@1", "e2 b m@1"))), "e1 m@2")
	assert.Equal(t, orders(p.Plan(at(1), view(models, "e1 a m@1 > m@2", "e2 b m@1"))), "")
	assert.Equal(t, orders(p.Plan(at(2), view(models, "e1 a m@1", "e2 b m@1"))), "")
	assert.Equal(t, orders(p.Plan(at(8), view(models, "e1 a m@1", "e2 b m@1"))), "e2 m@2")
	assert.Equal(t, orders(p.Plan(at(40), view(models, "e1 a m@1", "e2 b m@1"))), "e1 m@2")
}

// TestLateReport: the order has ended, and the engine's report that has the
// model is not in yet.
func TestLateReport(t *testing.T) {
	models := []Model{model("m@1", 0)}
	p := NewPlanner(Config{MaxConcurrentLoads: 1})
	assert.Equal(t, orders(p.Plan(at(0), view(models, "e1 a x@1", "e2 a x@1"))), "e1 m@1")
	assert.Equal(t, orders(p.Plan(at(1), view(models, "e1 a x@1 > m@1", "e2 a x@1"))), "")
	assert.Equal(t, orders(p.Plan(at(2), view(models, "e1 a x@1", "e2 a x@1"))), "")
	assert.Equal(t, orders(p.Plan(at(3), view(models, "e1 a x@1,m@1", "e2 a x@1"))), "e2 m@1")
}

func TestFixed(t *testing.T) {
	v := view([]Model{model("m@2", 9), model("n@1", 0)}, "e1 a m@1", "e2 b -", "e3 c x@1")
	assert.Equal(t, orders(NewFixed().Plan(at(0), v)), "e2 n@1, e3 m@2")
}

func TestReasons(t *testing.T) {
	m, n := model("m@2", 2.5), model("n@1", 0.2)
	m.cfg.Adapters = []string{"legal", "tourism"}
	models := []Model{m, n}
	var lines []string
	for _, v := range []View{
		view(models, "e1 a m@1", "e2 a n@1"),
		view(models, "e1 a m@2,n@1", "e2 a n@1", "e3 b m@1,n@1"),
		view(models, "e1 a m@2,n@1", "e2 b m@2,n@1", "e3 b x@1,n@1", "e4 c -"),
		view(models, "e1 a x@1,n@1"),
	} {
		p := NewPlanner(Config{}).Plan(at(0), v)
		for _, l := range p.LoadOrders() {
			lines = append(lines, l.Reason())
		}
		lines = append(append(lines, p.Problems()...), "")
	}
	golden.Assert(t, strings.Join(lines, "\n"), "reasons.golden")
}

// An engine that fails each load is asked ever more rarely, and one that never
// answers keeps no other from loading.
func TestFailingLoadsAreAskedMoreRarely(t *testing.T) {
	p := NewPlanner(Config{InitialBackoff: 10 * time.Second, MaxBackoff: time.Minute, MaxReportDelay: time.Second})
	var asked []int
	loading := false
	for second := range 400 {
		state := "e1 a -"
		if loading {
			state = "e1 a - > m@2"
		}
		loading = len(p.Plan(at(second), view([]Model{model("m@2", 0)}, state)).LoadOrders()) > 0
		if loading {
			asked = append(asked, second)
		}
	}
	assert.Assert(t, len(asked) > 4 && len(asked) < 10, "%v", asked)
	for i := 2; i < len(asked); i++ {
		gap, before := asked[i]-asked[i-1], asked[i-1]-asked[i-2]
		assert.Assert(t, gap >= before && gap <= 70, "%v", asked)
	}
}

func TestStuckLoadLetsOthersGoOn(t *testing.T) {
	p := NewPlanner(Config{MaxConcurrentLoads: 1, MaxLoadTime: time.Minute})
	v := view([]Model{model("m@2", 0)}, "e1 a - > m@2", "e2 b -")
	assert.Equal(t, orders(p.Plan(at(0), v)), "")
	assert.Equal(t, orders(p.Plan(at(110), v)), "")
	assert.Equal(t, orders(p.Plan(at(130), v)), "e2 m@2")
}
