package sqcoordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqrpc"
)

// TestSwitchTime wants no service taken for granted: a table may drop one while
// its engine changes.
func TestSwitchTime(t *testing.T) {
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{
		{Name: "plain"}, {Name: "engines", Engine: &sqtable.Engine{StageSwitchTime: time.Second}},
	}})
	assert.NilError(t, err)
	b := orderBook{table: table}
	assert.Equal(t, b.switchTime("engines"), time.Second)
	assert.Equal(t, b.switchTime("plain"), time.Duration(0))
	assert.Equal(t, b.switchTime("dropped"), time.Duration(0))
}

// TestStageListed wants gateways told a changed stage before the platform's list
// shows it, and no longer than that.
func TestStageListed(t *testing.T) {
	e := sqplace.NewEndpoint(sqplace.EndpointConfig{ID: "i1", Service: "engines", Stage: sqplace.Decode})
	te := newTenure(time.Unix(100, 0), 2, time.Second)
	te.fleet = []sqplace.Endpoint{e}
	te.orders.away["i1"] = true
	assert.Assert(t, te.inForce()[0].Draining())
	delete(te.orders.away, "i1")
	te.orders.changed["i1"] = sqplace.Prefill
	assert.Equal(t, te.inForce()[0].Stage(), sqplace.Prefill)
	te.orders.forgetListed([]sqplace.Endpoint{e})
	assert.Equal(t, te.inForce()[0].Stage(), sqplace.Prefill)
	te.orders.forgetListed([]sqplace.Endpoint{e.WithStage(sqplace.Prefill)})
	assert.Equal(t, len(te.orders.changed), 0)
}

// TestListAge wants the age of a list that was never read counted from the
// beginning of the tenure.
func TestListAge(t *testing.T) {
	begun := time.Unix(100, 0)
	te := newTenure(begun, 2, time.Second)
	assert.Equal(t, te.listAge(begun.Add(3*time.Second)), 3*time.Second)
	te.listedAt = begun.Add(2 * time.Second)
	assert.Equal(t, te.listAge(begun.Add(3*time.Second)), time.Second)
}

// TestDemand wants what gateways report as sums added up once, also over a restart.
func TestDemand(t *testing.T) {
	b := newOrderBook()
	report := func(n uint64) map[string]*sqrpc.ServiceDemand {
		return map[string]*sqrpc.ServiceDemand{"s": {Service: "s", Requests: n, UnreadTokens: 10 * n, BusyMillis: n}}
	}
	b.addDemand(nil, report(5))
	b.addDemand(report(5), report(8))
	b.addDemand(nil, report(2))
	assert.Equal(t, b.demand["s"].Requests, 10.0)
	assert.Equal(t, b.demand["s"].PrefillTokens, 100.0)
	assert.Equal(t, b.demand["s"].DecodeTime, 10*time.Millisecond)
}
