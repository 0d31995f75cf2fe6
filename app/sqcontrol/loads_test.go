package sqcontrol

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqmodel"
	"sequoiadock/core/sqrole"
)

// TestModelView plans for three engines of which one has the new version, so that
// the state of the second engine decides which loads are planned.
func TestModelView(t *testing.T) {
	expect := func(name, want string, state sqfleet.State, open *sqcommand.Order) {
		t.Helper()
		table := sqfleet.New(sqfleet.Config{}, 0)
		table.ApplyList(start(), []sqfleet.EndpointConfig{
			{ID: "e1", Kind: sqfleet.KindEngine, Zone: "a"}, {ID: "e2", Kind: sqfleet.KindEngine, Zone: "b", State: state},
			{ID: "e3", Kind: sqfleet.KindEngine, Zone: "b"}, {ID: "s1", Kind: "booking", Zone: "b"},
			{ID: "silent", Kind: sqfleet.KindEngine, Zone: "b"},
		})
		table.ApplyStatus("e1", sqfleet.EngineStatus{Role: "both", Models: []string{"m@2"}})
		table.ApplyStatus("e2", sqfleet.EngineStatus{Role: "both", Models: []string{"m@1"}})
		table.ApplyStatus("e3", sqfleet.EngineStatus{Role: "both", Models: []string{"m@1"}})
		table.SetDraining(func(id string) bool { return id == "e2" && state == sqfleet.Draining })
		in := planInput{
			now: start(), endpoints: table.All(), openOrders: make(map[string]*sqcommand.Order),
			cfg:     &sqcommand.Configuration{Models: []*sqcommand.Model{{Name: "m", Version: "2"}}},
			demands: []sqrole.DemandConfig{{Model: "m", PrefillArrivalRate: 1000, EnginePrefillRate: 1000}},
		}
		if open != nil {
			in.openOrders["e2"] = open
		}
		plan := sqmodel.NewPlanner(sqmodel.Config{}).Plan(start(), sqmodel.NewView(in.modelView()))
		var got []string
		for _, l := range plan.LoadOrders() {
			got = append(got, l.Engine()+" "+l.Model())
		}
		assert.Equal(t, strings.Join(got, ", "), want, name)
	}
	role := &sqcommand.Order{Kind: sqcommand.OrderKind_ORDER_KIND_ROLE, Argument: "decode"}
	load := &sqcommand.Order{Kind: sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL, Argument: "m@2"}
	release := &sqcommand.Order{Kind: sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT}
	expect("live", "e2 m@2", sqfleet.Live, nil)
	expect("changes its role", "e3 m@2", sqfleet.Draining, role)
	expect("loads", "", sqfleet.Live, load)
	expect("is released", "e3 m@2", sqfleet.Draining, release)
	expect("drains", "e3 m@2", sqfleet.Draining, nil)
	expect("leaves", "e3 m@2", sqfleet.Leaving, nil)
}
