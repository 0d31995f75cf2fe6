package sqplace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEqualChoicesGoWhereConnectionIsOpen fails if an endpoint without an open connection is
// chosen over an equal one, also after the connection's idle timeout or beyond the idle time
// that the request allows, or over one that is slower than the time to open a connection.
func TestEqualChoicesGoWhereConnectionIsOpen(t *testing.T) {
	p := newPlacer(t, plainEndpoint("l1", "a"), plainEndpoint("l2", "a"), plainEndpoint("l3", "a"))
	q := plainQuery()
	q.CountConnections = true
	chosen := func(now time.Time) map[string]bool {
		ids := map[string]bool{}
		for range 200 {
			ids[p.Choose(now, q).Endpoint.ID()] = true
		}
		return ids
	}
	assert.Equal(t, len(chosen(start)), 3)
	p.SetConnection("l2", Connection{IdleSince: start, UsableUntil: start.Add(3 * time.Second)})
	assert.DeepEqual(t, chosen(start.Add(2*time.Second)), map[string]bool{"l2": true})
	assert.Equal(t, len(chosen(start.Add(3*time.Second))), 3)
	q.MaxIdle = time.Second
	assert.Equal(t, len(chosen(start.Add(2*time.Second))), 3)
	q.MaxIdle = 0
	p.SetPeerLoads(map[string]Load{"l2": {Running: 12}})
	assert.Assert(t, !chosen(start)["l2"], "a wait is longer than the time to open a connection")
	p.SetPeerLoads(nil)
	q.CountConnections = false
	assert.Equal(t, len(chosen(start)), 3)
}

// TestConnectTimeIsMeasured fails if the time to open connections is not learned by service,
// or a stalled process makes it absurd.
func TestConnectTimeIsMeasured(t *testing.T) {
	p := newPlacer(t)
	for range 200 {
		p.RecordConnect("ledger", 5*time.Millisecond)
		p.RecordConnect("engines", time.Minute)
	}
	assert.Assert(t, (p.pool("ledger").connectTime-5*time.Millisecond).Abs() < 100*time.Microsecond)
	assert.Assert(t, p.pool("engines").connectTime <= maxConnectTime)
}

// The simulated load of connections: the second customer's gateways and plain endpoints.
const (
	connGateways   = 80
	connEndpoints  = 57
	connSlots      = 6
	connSeconds    = 20
	connServeTime  = 60 // ms, of which every request takes between a half and one and a half
	connIdleTime   = 3 * time.Second
	connSetupMilli = 3
)

// connResult is what a simulation saw.
type connResult struct {
	newPercent float64
	// mostOpen is the largest number of connections to one endpoint.
	mostOpen int
	p95      int
}

// simEndpoint is an endpoint with slots and the idle connections of each gateway.
type simEndpoint struct {
	slotFree []int
	open     int
	idle     [][]int
}

// simulateConnections plays so many requests per millisecond at random gateways. In the
// middle, a fifth of the endpoints closes all idle connections without notice.
func simulateConnections(t *testing.T, perMilli float64, count bool) (result connResult) {
	fleet := simFleet(connEndpoints, func(i int) Endpoint { return plainEndpoint(fmt.Sprint("l", i), "a") })
	endpoints := map[string]*simEndpoint{}
	for _, e := range fleet {
		endpoints[e.ID()] = &simEndpoint{slotFree: make([]int, connSlots), idle: make([][]int, connGateways)}
	}
	s := newSim(t, 1, 2, connGateways, fleet...)
	var latencies []int
	sends, opened, due := 0, 0, 0.0
	for milli := range connSeconds * 1000 {
		now := start.Add(time.Duration(milli) * time.Millisecond)
		s.advance(now)
		if milli%300 == 0 {
			s.exchangeLoads(s.gateways...)
			for i := range fleet {
				endpoints[fleet[i].ID()].expire(milli, milli == connSeconds*500/300*300 && i%5 == 0)
			}
		}
		for due += perMilli; due >= 1; due-- {
			g := s.random.IntN(connGateways)
			q := plainQuery()
			q.CountConnections = count
			c := s.gateways[g].Choose(now, q)
			e, setup := endpoints[c.Endpoint.ID()], 0
			sends++
			if n := len(e.idle[g]); n > 0 && milli-e.idle[g][n-1] < int(connIdleTime.Milliseconds()) {
				e.idle[g] = e.idle[g][:n-1]
			} else {
				opened, setup = opened+1, connSetupMilli
				e.open++
				result.mostOpen = max(result.mostOpen, e.open)
			}
			last := Connection{}
			if n := len(e.idle[g]); n > 0 {
				last = Connection{IdleSince: start.Add(time.Duration(e.idle[g][n-1]) * time.Millisecond)}
				last.UsableUntil = last.IdleSince.Add(connIdleTime)
			}
			s.gateways[g].SetConnection(c.Endpoint.ID(), last)
			done := e.run(milli+setup, connServeTime/2+s.random.IntN(connServeTime))
			latencies = append(latencies, done-milli)
			d := s.gateways[g].StartDispatch(now, c.Endpoint, q, 0, 0)
			s.after(start.Add(time.Duration(done)*time.Millisecond), func(at time.Time) {
				d.Finish(at, true, true)
				e.idle[g] = append(e.idle[g], done)
				s.gateways[g].SetConnection(c.Endpoint.ID(), Connection{IdleSince: at, UsableUntil: at.Add(connIdleTime)})
			})
		}
	}
	slices.Sort(latencies)
	result.newPercent, result.p95 = float64(opened)/float64(sends)*100, latencies[len(latencies)*95/100]
	return result
}

// run returns when a request that arrives at the endpoint ends.
func (e *simEndpoint) run(milli, duration int) int {
	slices.Sort(e.slotFree)
	e.slotFree[0] = max(e.slotFree[0], milli) + duration
	return e.slotFree[0]
}

// expire closes the connections that have been idle for too long, or all idle ones.
func (e *simEndpoint) expire(milli int, all bool) {
	for g, idle := range e.idle {
		kept := idle[:0]
		for _, since := range idle {
			if !all && milli-since < int(connIdleTime.Milliseconds()) {
				kept = append(kept, since)
			}
		}
		e.open -= len(idle) - len(kept)
		e.idle[g] = kept
	}
}

// TestConnectionsAreReused fails if counting open connections does not at least halve the
// new ones of a load from many gateways to few endpoints, or if answers take longer, at a
// seventh and at two thirds of what the endpoints can serve.
func TestConnectionsAreReused(t *testing.T) {
	for _, perMilli := range []float64{0.8, 3.8} {
		before, now := simulateConnections(t, perMilli, false), simulateConnections(t, perMilli, true)
		t.Logf("%.0f a second: new connections %.1f %% of the requests, %.1f %% before; most to one endpoint %d, %d before; 95th percentile %d ms, %d ms before",
			perMilli*1000, now.newPercent, before.newPercent, now.mostOpen, before.mostOpen, now.p95, before.p95)
		assert.Assert(t, now.newPercent*2 < before.newPercent)
		assert.Assert(t, now.p95 <= before.p95)
		assert.Assert(t, now.mostOpen <= before.mostOpen)
	}
}

// BenchmarkChooseConnected measures one decision that counts connections, half of which
// are open, among the endpoints of a large plain service.
func BenchmarkChooseConnected(b *testing.B) {
	for _, count := range []bool{false, true} {
		b.Run(fmt.Sprint("count=", count), func(b *testing.B) {
			p := newPlacer(b, simFleet(130, func(i int) Endpoint { return plainEndpoint(fmt.Sprint("l", i), "a") })...)
			for i := range 65 {
				p.SetConnection(fmt.Sprint("l", 2*i), Connection{IdleSince: start, UsableUntil: start.Add(time.Second)})
			}
			q := plainQuery()
			q.CountConnections = count
			for b.Loop() {
				if p.Choose(start, q).Endpoint == nil {
					b.Fatal("no endpoint was chosen")
				}
			}
		})
	}
}
