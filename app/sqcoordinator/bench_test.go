package sqcoordinator

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// BenchmarkBeat measures the part of a heartbeat that grows with the fleet, and the size of
// its response, at a holder with many gateways that all use all endpoints.
func BenchmarkBeat(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{8, 30}, {79, 72}, {291, 135}} {
		b.Run(fmt.Sprintf("%dGateways", size.gateways), func(b *testing.B) {
			c := newGroup(b, 1).nodes[1].coordinator
			now := time.Unix(1000, 0)
			ts := newTermState(testLog(), now, 2, time.Second)
			ts.fleet = []sqplace.Endpoint{}
			reqs := make([]*sqrpc.BeatRequest, size.gateways)
			for i := range reqs {
				reqs[i] = newBeatRequest(fmt.Sprintf("front-zone-%d", i), 1)
				reqs[i].Address = fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
				for e := range size.endpoints {
					reqs[i].Loads = append(reqs[i].Loads, &sqrpc.InFlight{Id: fmt.Sprintf("i-%010d", e), Running: 2, UnreadTokens: 700})
				}
				c.recordBeat(now, ts, reqs[i])
			}
			now = now.Add(gatewayCountDelay)
			for _, req := range reqs {
				c.recordBeat(now, ts, req)
			}
			bytes, n := 0, 0
			for b.Loop() {
				req := reqs[n%len(reqs)]
				res := &sqrpc.BeatResponse{}
				req.DirectoryRevision = ts.gateways.directoryRevision
				c.recordBeat(now, ts, req)
				c.fillBeatResponse(now, ts, req, res)
				encoded, err := proto.Marshal(res)
				assert.NilError(b, err)
				bytes += len(encoded)
				n++
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/response")
		})
	}
}
