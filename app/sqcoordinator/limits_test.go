package sqcoordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqrpc"
)

// TestLimitIsToldToAllGateways checks that the limit which one gateway reports reaches the
// others, with permits for those that want to send, and that orders and the holder's own
// calls heed it.
func TestLimitIsToldToAllGateways(t *testing.T) {
	t.Parallel()
	c := newGroup(t, 1).nodes[1].coordinator
	now := time.Unix(1000, 0)
	ts := newTermState(testLog(), now, 2, time.Second)
	ts.fleet = []sqplace.Endpoint{sqplace.NewEndpoint(sqplace.EndpointConfig{ID: "i1", Service: "s"})}
	beat := func(req *sqrpc.BeatRequest) []*sqrpc.EndpointLimit {
		res := &sqrpc.BeatResponse{}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.exchangeLimits(now, ts, req, res)
		return res.GetLimits()
	}
	assert.Equal(t, len(beat(&sqrpc.BeatRequest{Gateway: "g2"})), 0)
	assert.Assert(t, c.mayCallEngine(now, ts, "i1"))
	report := &sqrpc.LimitReport{Endpoint: "i1", Named: true, PerSecond: 4}
	limits := beat(&sqrpc.BeatRequest{Gateway: "g1", LimitReports: []*sqrpc.LimitReport{report}})
	assert.Assert(t, len(limits) == 1 && limits[0].GetPerSecond() == 4 && limits[0].GetPermits() == 0)
	service := sqtable.ServiceConfig{Name: "s"}
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{service}})
	assert.NilError(t, err)
	assert.DeepEqual(t, serviceView(table.Service("s"), ts).Limited, map[string]bool{"i1": true})
	now = now.Add(500 * time.Millisecond)
	assert.Equal(t, beat(&sqrpc.BeatRequest{Gateway: "g2"})[0].GetPermits(), uint32(0))
	wants := []*sqrpc.PermitWant{{Endpoint: "i1", Requests: 1}}
	assert.Equal(t, beat(&sqrpc.BeatRequest{Gateway: "g2", PermitWants: wants})[0].GetPermits(), uint32(1))
	assert.Assert(t, c.mayCallEngine(now, ts, "i1"))
	assert.Assert(t, !c.mayCallEngine(now, ts, "i1"))
	assert.Equal(t, beat(&sqrpc.BeatRequest{Gateway: "g2", PermitWants: wants})[0].GetPermits(), uint32(0))
	now = now.Add(time.Second)
	ended := &sqrpc.LimitReport{Endpoint: "i1", AgeMillis: 200}
	assert.Equal(t, len(beat(&sqrpc.BeatRequest{Gateway: "g2", LimitReports: []*sqrpc.LimitReport{ended}})), 0)
}
