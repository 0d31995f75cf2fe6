package sqcoordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqrpc"
)

// TestStageSwitchTime checks that a service without engines, or one that is not in the
// table, has no switch time: a new table may drop a service while the stage of one of
// its engines changes.
func TestStageSwitchTime(t *testing.T) {
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{
		{Name: "plain"}, {Name: "engines", Engine: &sqtable.Engine{StageSwitchTime: time.Second}},
	}})
	assert.NilError(t, err)
	o := orderState{table: table}
	assert.Equal(t, o.stageSwitchTime("engines"), time.Second)
	assert.Equal(t, o.stageSwitchTime("plain"), time.Duration(0))
	assert.Equal(t, o.stageSwitchTime("dropped"), time.Duration(0))
}

// TestStageOverrides checks that gateways get the new stage of an engine before the
// platform's list shows it, and that the override is deleted once the list does.
func TestStageOverrides(t *testing.T) {
	e := sqplace.NewEndpoint(sqplace.EndpointConfig{ID: "i1", Service: "engines", Stage: sqplace.Decode})
	ts := newTermState(testLog(), time.Unix(100, 0), 2, time.Second)
	ts.fleet = []sqplace.Endpoint{e}
	ts.orders.changingStage["i1"] = true
	assert.Assert(t, ts.endpointsForGateways()[0].Draining())
	delete(ts.orders.changingStage, "i1")
	ts.orders.stageOverrides["i1"] = sqplace.Prefill
	assert.Equal(t, ts.endpointsForGateways()[0].Stage(), sqplace.Prefill)
	ts.orders.pruneStageOverrides([]sqplace.Endpoint{e})
	assert.Equal(t, ts.endpointsForGateways()[0].Stage(), sqplace.Prefill)
	ts.orders.pruneStageOverrides([]sqplace.Endpoint{e.WithStage(sqplace.Prefill)})
	assert.Equal(t, len(ts.orders.stageOverrides), 0)
}

// TestListAge checks that the age of a list that was never read is counted from the
// start of the term.
func TestListAge(t *testing.T) {
	startedAt := time.Unix(100, 0)
	ts := newTermState(testLog(), startedAt, 2, time.Second)
	assert.Equal(t, ts.listAge(startedAt.Add(3*time.Second)), 3*time.Second)
	ts.fleetReadAt = startedAt.Add(2 * time.Second)
	assert.Equal(t, ts.listAge(startedAt.Add(3*time.Second)), time.Second)
}

// TestDemandIncrements checks that the cumulative demand that gateways report is counted
// only once, also when a gateway restarts and its totals start at zero again.
func TestDemandIncrements(t *testing.T) {
	o := newOrderState()
	demandOf := func(n uint64) map[string]*sqrpc.ServiceDemand {
		return map[string]*sqrpc.ServiceDemand{"s": {Service: "s", Requests: n, UncachedTokens: 10 * n, BusyMillis: n}}
	}
	o.addDemand(nil, demandOf(5))
	o.addDemand(demandOf(5), demandOf(8))
	o.addDemand(nil, demandOf(2))
	assert.Equal(t, o.demand["s"].Requests, 10.0)
	assert.Equal(t, o.demand["s"].PrefillTokens, 100.0)
	assert.Equal(t, o.demand["s"].DecodeTime, 10*time.Millisecond)
}
