package sqcoordinator

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqheartbeat"
	"sequoiadock/io/sqrpc"
)

// TestSpeedsReachAllGateways fails if the speed that two gateways heard of does not reach a
// third one, with its age, also for an endpoint at which nothing runs; or if endpoints
// without figures are given one.
func TestSpeedsReachAllGateways(t *testing.T) {
	r := newGatewayRegistry(testLog(), 2)
	now := time.Unix(1000, 0)
	for i, name := range []string{"g1", "g2"} {
		req := registryBeat(name, &sqrpc.InFlight{Id: "e1", Running: 1}, &sqrpc.InFlight{Id: "e2", Running: 1})
		req.Speeds = []*sqrpc.SpeedReport{
			{Endpoint: "e1", WorkPercent: uint32(150 + 100*i), Reports: 2, AgeMillis: uint32(400 - 300*i)},
			{Endpoint: "idle", WorkPercent: 60, Reports: 1, AgeMillis: 1000},
			{Endpoint: "e2", WorkPercent: 1_000_000, Reports: 1},
		}
		r.record(now, req, nil)
	}
	r.record(now, registryBeat("g3"), nil)
	encoded, _, err := r.encodedLoadSum(now, "g3")
	assert.NilError(t, err)
	var list sqrpc.InFlightList
	assert.NilError(t, proto.Unmarshal(encoded, &list))
	got := map[string]*sqrpc.InFlight{}
	for _, l := range list.GetLoads() {
		got[l.GetId()] = l
	}
	assert.Assert(t, got["e1"].GetWorkPercent() > 190 && got["e1"].GetWorkPercent() <= 250 && got["e1"].GetAgeMillis() == 100, "%v", got["e1"])
	assert.Equal(t, got["e1"].GetRunning(), uint32(2))
	assert.Assert(t, got["idle"].GetWorkPercent() < 100 && got["idle"].GetRunning() == 0, "%v", got["idle"])
	assert.Equal(t, got["e2"].GetWorkPercent(), uint32(0))
}

// TestIdleSpeedsAreBounded fails if the sum of loads grows with the endpoints at which nothing
// runs, or if some of their speeds never reach a gateway.
func TestIdleSpeedsAreBounded(t *testing.T) {
	r, now := newGatewayRegistry(testLog(), 2), time.Unix(1000, 0)
	const endpoints, sums = 3 * maxIdleSpeeds, 60
	req := registryBeat("g1")
	for i := range endpoints {
		req.Speeds = append(req.Speeds, &sqrpc.SpeedReport{Endpoint: fmt.Sprint(i), WorkPercent: 150, Reports: 1})
	}
	r.record(now, req, nil)
	reached := map[string]bool{}
	for range sums {
		loads := r.loadList(now).GetLoads()
		assert.Assert(t, len(loads) <= maxIdleSpeeds, "%d", len(loads))
		for _, l := range loads {
			reached[l.GetId()] = true
		}
	}
	assert.Equal(t, len(reached), endpoints)
}

// BenchmarkBeatWithSpeeds measures heartbeats with the time between them, where each reports
// the speed of four endpoints or none.
func BenchmarkBeatWithSpeeds(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints, reports int }{{79, 130, 0}, {79, 130, 4}, {340, 1100, 0}, {340, 1100, 4}} {
		b.Run(fmt.Sprintf("%dEndpoints/%dReports", size.endpoints, size.reports), func(b *testing.B) {
			c, now, n := newGroup(b, 1).nodes[1].coordinator, time.Unix(1000, 0), 0
			ts, reqs := benchTerm(c, now, size.gateways, size.endpoints)
			for b.Loop() {
				now = now.Add(sqheartbeat.Interval(size.gateways) / time.Duration(size.gateways))
				n++
				req, res := reqs[n%len(reqs)], &sqrpc.BeatResponse{}
				req.Number++
				req.DirectoryRevision, req.FleetRevision, req.Speeds = ts.gateways.directoryRevision, ts.listing.Revision(), nil
				for i := range size.reports {
					e := fmt.Sprintf("i-%010d", (n*size.reports+i)%size.endpoints)
					req.Speeds = append(req.Speeds, &sqrpc.SpeedReport{Endpoint: e, WorkPercent: 150, Reports: 1})
				}
				c.recordBeat(now, ts, req)
				c.fillBeatResponse(now, ts, req, res)
				_, err := proto.Marshal(res)
				assert.NilError(b, err)
			}
		})
	}
}
