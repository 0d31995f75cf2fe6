package sqcoordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

// addresses returns the directory's addresses in order.
func (r *gatewayRegistry) addresses() (list []string) {
	for _, a := range r.directory {
		list = append(list, a.GetAddress())
	}
	return list
}

func registryBeat(name string, loads ...*sqrpc.InFlight) *sqrpc.BeatRequest {
	return &sqrpc.BeatRequest{Gateway: name, Run: "1", Address: name + ":1", Loads: loads}
}

// TestInFlightSums checks that the sums which are kept up to date equal those over the last
// heartbeats of all gateways that are not silent, in random sequences of heartbeats,
// restarts and silences.
func TestInFlightSums(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newGatewayRegistry(testLog(), 2)
		now := time.Unix(1000, 0)
		last := map[string]*sqrpc.BeatRequest{}
		beatAt := map[string]time.Time{}
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			req := registryBeat(fmt.Sprint("g", rng.IntN(6)))
			req.Run = fmt.Sprint(rng.IntN(2))
			for e := range rng.IntN(5) {
				req.Loads = append(req.Loads, &sqrpc.InFlight{Id: fmt.Sprint("e", e), Running: uint32(rng.IntN(3)), UncachedTokens: uint64(rng.IntN(100)), MemoryTokens: uint64(rng.IntN(100)), BodyBytes: uint64(rng.IntN(100))})
			}
			last[req.GetGateway()], beatAt[req.GetGateway()] = req, now
			r.record(now, req, nil)
			r.checkedAt = time.Time{}
			r.checkSilence(now)
			want := map[string]inFlight{}
			for name, q := range last {
				if name == req.GetGateway() || now.Sub(beatAt[name]) > gatewayListedTimeout {
					continue
				}
				for _, l := range q.GetLoads() {
					sum := want[l.GetId()]
					want[l.GetId()] = inFlight{
						sum.running + l.GetRunning(), sum.uncachedTokens + l.GetUncachedTokens(), sum.memoryTokens + l.GetMemoryTokens(), sum.bodyBytes + l.GetBodyBytes(),
					}
				}
			}
			got := map[string]inFlight{}
			for _, l := range r.othersInFlight(req.GetGateway()) {
				got[l.GetId()] = inFlight{l.GetRunning(), l.GetUncachedTokens(), l.GetMemoryTokens(), l.GetBodyBytes()}
			}
			for id, l := range want {
				assert.Equal(t, got[id], l, "seed %d", seed)
			}
			for id, l := range got {
				assert.Equal(t, want[id], l, "seed %d", seed)
			}
		}
	}
}

// TestDirectory checks when gateways enter and leave the directory, and that its revision
// changes with it and only then.
func TestDirectory(t *testing.T) {
	r := newGatewayRegistry(testLog(), 2)
	now := time.Unix(1000, 0)
	beat := func(req *sqrpc.BeatRequest) uint64 {
		r.record(now, req, nil)
		r.checkSilence(now)
		return r.directoryRevision
	}
	beat(registryBeat("b"))
	first := beat(registryBeat("a"))
	assert.DeepEqual(t, r.addresses(), []string{"a:1", "b:1"})
	assert.Equal(t, beat(registryBeat("b")), first)
	leaving := registryBeat("b")
	leaving.Leaving = true
	assert.Equal(t, beat(leaving), first+1)
	assert.DeepEqual(t, r.addresses(), []string{"a:1"})
	now = now.Add(gatewayListedTimeout + 1)
	assert.Equal(t, beat(registryBeat("b")), first+2)
	assert.DeepEqual(t, r.addresses(), []string{"b:1"})
	assert.Equal(t, len(r.byName), 2, "a still counts among the gateways that share limits")
	now = now.Add(gatewayLostTimeout)
	beat(registryBeat("b"))
	assert.Equal(t, len(r.byName), 1)
}

// TestDirectorySentOnce checks that a gateway gets the list of gateways only if it has
// another revision.
func TestDirectorySentOnce(t *testing.T) {
	c := newGroup(t, 1).nodes[1].coordinator
	now := time.Unix(1000, 0)
	ts := newTermState(testLog(), now, 2, time.Second)
	beat := func(known uint64) *sqrpc.BeatResponse {
		req, res := registryBeat("a"), &sqrpc.BeatResponse{}
		req.DirectoryRevision = known
		c.recordBeat(now, ts, req)
		c.fillBeatResponse(now, ts, req, res)
		return res
	}
	first := beat(0)
	assert.Equal(t, len(first.GetGateways()), 1)
	again := beat(first.GetDirectoryRevision())
	assert.Equal(t, len(again.GetGateways()), 0)
	assert.Equal(t, again.GetDirectoryRevision(), first.GetDirectoryRevision())
	assert.Equal(t, len(beat(first.GetDirectoryRevision()+1).GetGateways()), 1)
}
