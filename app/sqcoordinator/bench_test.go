package sqcoordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// benchTerm returns the state of a term with gateways that all use all endpoints, and the
// heartbeats that they send.
func benchTerm(c *coordinator, now time.Time, gateways, endpoints int) (*termState, []*sqrpc.BeatRequest) {
	ts := newTermState(testLog(), now, 2, time.Second)
	ts.fleet = []sqplace.Endpoint{}
	for e := range endpoints {
		ts.fleet = append(ts.fleet, sqplace.NewEndpoint(sqplace.EndpointConfig{
			ID: fmt.Sprintf("i-%010d", e), Service: "engines-a", Address: fmt.Sprintf("10.1.%d.%d:8080", e/250, e%250), Zone: "zone-a-1",
			Slots: 16, Stage: sqplace.Decode, Spot: true,
		}))
	}
	ts.updateListing()
	reqs := make([]*sqrpc.BeatRequest, gateways)
	for i := range reqs {
		reqs[i] = newBeatRequest(fmt.Sprintf("front-zone-%d", i), 1)
		reqs[i].Address = fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
		for e := range endpoints {
			reqs[i].Loads = append(reqs[i].Loads, &sqrpc.InFlight{Id: fmt.Sprintf("i-%010d", e), Running: 2, UncachedTokens: 700})
		}
	}
	for _, at := range []time.Time{now.Add(-gatewayCountDelay), now} {
		for _, req := range reqs {
			c.recordBeat(at, ts, req)
		}
	}
	return ts, reqs
}

// BenchmarkBeat measures the part of a heartbeat that grows with the fleet, and the size of
// its response: to a gateway that has all lists, and to one that has just started.
func BenchmarkBeat(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{8, 30}, {79, 72}, {291, 135}, {340, 1100}} {
		for _, isFirst := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dGateways/first=%v", size.gateways, isFirst), func(b *testing.B) {
				c := newGroup(b, 1).nodes[1].coordinator
				now := time.Unix(1000, 0)
				ts, reqs := benchTerm(c, now, size.gateways, size.endpoints)
				if isFirst {
					fillCacheUpdates(b, now, ts)
				}
				bytes, n := 0, 0
				for b.Loop() {
					req := reqs[n%len(reqs)]
					res := &sqrpc.BeatResponse{}
					req.Number++
					req.DirectoryRevision, req.FleetRevision = ts.gateways.directoryRevision, ts.listing.Revision()
					if isFirst {
						req.DirectoryRevision, req.FleetRevision, req.LastCacheUpdate = 0, 0, 0
						assert.NilError(b, ts.cacheUpdates.exchange(now, req, res))
					}
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
}

// BenchmarkChangedEndpoint measures a heartbeat after one endpoint has changed, to a gateway
// that takes changes and to one that takes whole lists.
func BenchmarkChangedEndpoint(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{30, 30}, {100, 72}, {291, 330}, {1000, 1100}} {
		for _, takesDeltas := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dEndpoints/deltas=%v", size.endpoints, takesDeltas), func(b *testing.B) {
				now := time.Unix(1000, 0)
				c := newGroup(b, 1).nodes[1].coordinator
				ts, _ := benchTerm(c, now, 1, size.endpoints)
				req := &sqrpc.BeatRequest{FleetRevision: ts.listing.Revision(), TakesDeltas: takesDeltas}
				ts.fleet[0] = ts.fleet[0].WithDraining()
				ts.updateListing()
				bytes := 0
				for b.Loop() {
					res := &sqrpc.BeatResponse{}
					c.fillListing(now, ts, req, res)
					encoded, err := proto.Marshal(res)
					assert.NilError(b, err)
					bytes = len(encoded)
				}
				b.ReportMetric(float64(bytes), "B/response")
			})
		}
	}
}

// fillCacheUpdates makes the log of cache updates as long as it can be.
func fillCacheUpdates(b *testing.B, now time.Time, ts *termState) {
	b.Helper()
	for i := range maxKeptCacheUpdates {
		update := &sqrpc.CacheUpdate{Endpoint: fmt.Sprintf("i-%010d", i), PrefixHash: uint64(i) << 40, Tokens: 13300, SuffixTokens: 3700}
		req := &sqrpc.BeatRequest{Gateway: "other", LastCacheUpdate: ts.cacheUpdates.nextNumber, CacheUpdates: []*sqrpc.CacheUpdate{update}}
		assert.NilError(b, ts.cacheUpdates.exchange(now.Add(time.Duration(i)*time.Millisecond), req, &sqrpc.BeatResponse{}))
	}
}

// BenchmarkTable measures what the holder spends on sending a new version of a large table
// to all gateways, and how many bytes one of them gets.
func BenchmarkTable(b *testing.B) {
	var routes strings.Builder
	for i := range 2800 {
		fmt.Fprintf(&routes, `{"name":"r-%07x","host":"h.example","prefix":"/%08x/","kind":"repeatable","timeout":2000,`+
			`"latencyObjective":500,"rank":1,"service":"ledger","sends":2,"open":false,"followsSession":false,"resumes":false},`,
			i*40503&0xfffffff, uint32(i*2654435761))
	}
	document := []byte(routes.String())
	for _, gateways := range []int{69, 340} {
		b.Run(fmt.Sprintf("%dGateways", gateways), func(b *testing.B) {
			sent := 0
			for b.Loop() {
				var s tableStore
				sent = 0
				for range gateways {
					sent += fetchAll(b, &s, document)
				}
			}
			b.ReportMetric(float64(sent)/float64(gateways), "B/gateway")
		})
	}
}

// fetchAll fetches all pieces of version 1 and returns the number of bytes sent.
func fetchAll(b *testing.B, s *tableStore, document []byte) int {
	var d sqtransfer.Download
	sent := 0
	for {
		next := d.Next(1)
		p, err := s.piece(1, document, &sqrpc.TableRequest{Version: next.Version, Offset: uint64(next.Offset), MaxBytes: uint32(next.Size)})
		assert.NilError(b, err)
		encoded, err := proto.Marshal(&sqrpc.TablePiece{Version: p.Version, Offset: uint64(p.Offset), TotalBytes: uint64(p.Total), Data: p.Data})
		assert.NilError(b, err)
		sent += len(encoded)
		complete, err := d.Add(p)
		assert.NilError(b, err)
		if complete {
			return sent
		}
	}
}

// BenchmarkHeartbeatCall measures a whole heartbeat over HTTP, at the gateway and the lease
// holder together, from many gateways that each have some requests in flight and have
// counted the requests of some teams.
func BenchmarkHeartbeatCall(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{30, 30}, {100, 72}, {291, 330}, {1000, 1100}} {
		b.Run(fmt.Sprintf("%dGateways", size.gateways), func(b *testing.B) {
			g := newGroup(b, 1, 2, 3)
			holder := g.nodes[g.holder()].coordinator
			now := sqclock.Now()
			ts, reqs := benchTerm(holder, now, size.gateways, size.endpoints)
			ts.term = holder.replica.Status().Term()
			ts.fleetReadAt, ts.fleetKnownAt = now, now
			holder.mu.Lock()
			holder.termState = ts
			holder.mu.Unlock()
			client := sqrpc.NewCoordinatorProtobufClient("http://"+holder.cfg.InternalAddress, holder.client)
			n := 0
			for b.Loop() {
				req := reqs[n%len(reqs)]
				n++
				fillHeartbeat(req, n)
				res, err := client.Beat(b.Context(), req)
				assert.NilError(b, err)
				req.FleetRevision, req.DirectoryRevision, req.LastCacheUpdate = res.GetFleetRevision(), res.GetDirectoryRevision(), res.GetLastCacheUpdate()
			}
		})
	}
}

// fillHeartbeat sets what a gateway with five requests a second reports in its n-th
// heartbeat.
func fillHeartbeat(req *sqrpc.BeatRequest, n int) {
	const teams, windows, running = 20, 3, 4
	req.Number, req.TakesDeltas, req.FetchesTable = uint64(n), true, true
	req.Counts, req.Loads = nil, nil
	for window := range windows {
		for team := range teams {
			req.Counts = append(req.Counts, &sqrpc.WindowCounts{Window: uint64(1000 + window), Team: fmt.Sprintf("team%d", team), Requests: uint64(n)})
		}
	}
	for i := range running {
		req.Loads = append(req.Loads, &sqrpc.InFlight{Id: fmt.Sprintf("i-%010d", (n+i*37)%130), Running: 1, UncachedTokens: 900})
	}
	req.CacheUpdates = []*sqrpc.CacheUpdate{{Endpoint: "i-0000000001", PrefixHash: uint64(n), Tokens: 13300, SuffixTokens: 3700}}
}

// BenchmarkBeatAfterCrashes measures a heartbeat after a part of the engines has crashed
// with requests in flight, from gateways that have no news.
func BenchmarkBeatAfterCrashes(b *testing.B) {
	const crashes, requests = 64, 8
	for _, gateways := range []int{30, 100, 291, 1000} {
		b.Run(fmt.Sprintf("%dGateways", gateways), func(b *testing.B) {
			c := newGroup(b, 1).nodes[1].coordinator
			now := time.Unix(1000, 0)
			ts, reqs := benchTerm(c, now, gateways, 1)
			report := &sqrpc.BeatRequest{}
			for i := range crashes {
				r := &sqrpc.CrashReport{Service: "engines", Endpoint: fmt.Sprintf("e%d", i), AgeMillis: uint32(2000 + i)}
				for j := range requests {
					r.Requests = append(r.Requests, &sqrpc.RequestTraits{Ids: []string{fmt.Sprintf("a%d", (i*j)%50), fmt.Sprintf("b%d-%d", i, j)}})
				}
				report.Crashes = append(report.Crashes, r)
			}
			c.exchangeEvidence(now, ts, report, &sqrpc.BeatResponse{})
			bytes, n := 0, 0
			for b.Loop() {
				req := reqs[n%len(reqs)]
				n++
				req.Number = uint64(n)
				res := &sqrpc.BeatResponse{}
				c.exchangeEvidence(now.Add(time.Duration(n)*2*time.Millisecond), ts, req, res)
				req.SuspectRevision = res.GetSuspectRevision()
				encoded, err := proto.Marshal(res)
				assert.NilError(b, err)
				bytes += len(encoded)
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/response")
		})
	}
}
