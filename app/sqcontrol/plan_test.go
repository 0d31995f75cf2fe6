package sqcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqrole"
)

func TestArrivingOrders(t *testing.T) {
	table := sqfleet.New(sqfleet.Config{}, 0)
	table.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "listed"}})
	record := func(id string, done bool, result string, age time.Duration) *sqcommand.OrderRecord {
		return &sqcommand.OrderRecord{Closed: true, Done: done, Result: result, Order: &sqcommand.Order{
			Id: id, Kind: sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT, OpenedUnixNano: start().Add(-age).UnixNano(),
		}}
	}
	role := record("role", true, "", 0)
	role.Order.Kind = sqcommand.OrderKind_ORDER_KIND_ROLE
	orders := []*sqcommand.OrderRecord{
		record("came", true, "listed", time.Second),
		record("refused", false, "", time.Second),
		record("onTheWay", true, "e9", 59*time.Second),
		record("lost", true, "e8", 61*time.Second),
		role,
	}
	expect := func(arrivalSeconds uint32, want ...string) {
		t.Helper()
		var got []string
		for _, o := range arrivingOrders(orders, table.All(), start(), &sqcommand.Fleet{ArrivalSeconds: arrivalSeconds}) {
			got = append(got, o.GetId())
		}
		assert.DeepEqual(t, got, want)
	}
	expect(20, "onTheWay")
	expect(21, "onTheWay", "lost")
	expect(1)
}

func TestEnginesNeeded(t *testing.T) {
	backlog := sqrole.DefaultBacklogDrainTime.Seconds()
	expect := func(want float64, demands ...sqrole.DemandConfig) {
		t.Helper()
		in := planInput{demands: demands}
		if want == 0 {
			assert.Equal(t, in.enginesNeeded(), 0.0)
			return
		}
		near(t, in.enginesNeeded(), want)
	}
	expect(0)
	expect(2, sqrole.DemandConfig{PrefillArrivalRate: 1000, EnginePrefillRate: 500})
	expect(2.5, sqrole.DemandConfig{PrefillArrivalRate: 1000, EnginePrefillRate: 500, DecodeArrivalRate: 25, EngineDecodeRate: 50})
	expect(3, sqrole.DemandConfig{PrefillArrivalRate: 1000, PrefillOutstanding: 1500 * backlog, EnginePrefillRate: 500})
	expect(1, sqrole.DemandConfig{PrefillArrivalRate: sqrole.DefaultPrefillRate})
	expect(1, sqrole.DemandConfig{DecodeArrivalRate: sqrole.DefaultDecodeRate})
	expect(3, sqrole.DemandConfig{PrefillArrivalRate: 500, EnginePrefillRate: 500}, sqrole.DemandConfig{DecodeArrivalRate: 100, EngineDecodeRate: 50})
}

func TestParseAddOrder(t *testing.T) {
	expect := func(target, argument, zone string, spot bool) {
		t.Helper()
		gotZone, gotSpot := parseAddOrder(&sqcommand.Order{Target: target, Argument: argument})
		assert.Equal(t, gotZone, zone)
		assert.Equal(t, gotSpot, spot)
	}
	expect("zoneA/k2x0", argumentSpot, "zoneA", true)
	expect("zoneA/k2x0", argumentOnDemand, "zoneA", false)
	expect("zone/A/k2x0", argumentOnDemand, "zone/A", false)
	expect("zoneA", argumentOnDemand, "zoneA", false)
}

func TestRequiresDrain(t *testing.T) {
	expect := func(kind sqcommand.OrderKind, closed, done, want bool) {
		t.Helper()
		rec := &sqcommand.OrderRecord{Order: &sqcommand.Order{Kind: kind}, Closed: closed, Done: done}
		assert.Equal(t, requiresDrain(rec), want)
	}
	expect(sqcommand.OrderKind_ORDER_KIND_ROLE, false, false, true)
	expect(sqcommand.OrderKind_ORDER_KIND_ROLE, true, true, false)
	expect(sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT, false, false, true)
	expect(sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT, true, true, true)
	expect(sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT, true, false, false)
	expect(sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL, false, false, false)
	expect(sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT, false, false, false)
}

// While orders of earlier holders are open, their engines cannot be planned for.
func TestHasInheritedOrders(t *testing.T) {
	expect := func(want bool, ids ...string) {
		t.Helper()
		in := planInput{openOrders: make(map[string]*sqcommand.Order)}
		for _, id := range ids {
			in.openOrders[id] = &sqcommand.Order{Id: id}
		}
		assert.Equal(t, in.hasInheritedOrders(3), want)
	}
	expect(false)
	expect(false, "order-3-1", "order-3-12")
	expect(true, "order-3-1", "order-2-9")
	expect(true, "order-31-1")
}
