package sqplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func limitedPlacer(t *testing.T, bodyBytes int) *Placer {
	p := New(Config{Zone: "a", Seed: 1, LimitedMemory: true, MaxEndpointBodyBytes: bodyBytes})
	p.SetServices(testServices(t))
	p.SetEndpoints([]Endpoint{engineEndpoint("d1", Decode)})
	return p
}

// TestOrderOfRoom guards against a large request that takes the room of urgent or small ones,
// against one that waits for ever behind them, and against an endpoint that is sent more than
// it has memory for, or gets nothing since reservations are not released.
func TestOrderOfRoom(t *testing.T) {
	p := limitedPlacer(t, 0)
	p.SetPeerLoads(map[string]Load{"d1": {Running: 3, MemoryTokens: 355_000}})
	large, small, urgent, patient := engineQuery("s", 13_000, 4000), engineQuery("t", 92, 291), engineQuery("s", 13_000, 4000), engineQuery("s", 13_000, 4000)
	urgent.Urgent, patient.Waited = true, 10*time.Second
	c := p.Choose(start, large)
	assert.Assert(t, c.Endpoint == nil && c.Wait > 0 && c.RetryAfter > 0)
	for _, q := range []*Query{small, urgent, patient} {
		c = p.Choose(start, q)
		assert.Assert(t, c.Endpoint != nil, c.Reason)
	}
	p.StartDispatch(start, c.Endpoint, urgent, 0, 0).Abandon()
	p.StartDispatch(start, c.Endpoint, urgent, 0, 0).Finish(start, false, false)
	d := p.StartDispatch(start, c.Endpoint, urgent, 0, 0)
	assert.Equal(t, p.OwnLoads()["d1"].MemoryTokens, 17_000)
	d.Finish(start, true, true)
	assert.Equal(t, len(p.OwnLoads()), 0)
	large.TimeLeft = time.Millisecond
	c = p.Choose(start, large)
	assert.Assert(t, c.Endpoint == nil && c.Wait == 0 && c.RetryAfter > 0)
}

// TestBodiesOfAllGateways guards against bodies beyond the bound that many gateways send before
// they hear of each other, and against a body that no gateway ever sends.
func TestBodiesOfAllGateways(t *testing.T) {
	const bound, body = 64 << 20, 4 << 20
	p := limitedPlacer(t, bound)
	p.SetGateways(8)
	q := engineQuery("s", 100, 100)
	q.BodyBytes = body
	sent := 0
	for ; sent < 10; sent++ {
		c := p.Choose(start, q)
		if c.Endpoint == nil {
			break
		}
		p.StartDispatch(start, c.Endpoint, q, 0, 0)
	}
	assert.Equal(t, sent, bound/8/body)
	p.SetPeerLoads(map[string]Load{"d1": {BodyBytes: bound - 3*body}})
	assert.Assert(t, p.Choose(start, q).Endpoint == nil)
}

// TestDoubtGrows guards against trust in a prefix when the updates of other gateways stop, and
// when what they report has filled the engine's memory.
func TestDoubtGrows(t *testing.T) {
	p := limitedPlacer(t, 0)
	q := engineQuery("s", 13_000, 4000)
	e := engineEndpoint("d1", Decode)
	p.StartDispatch(start, &e, q, 0, 0).Finish(start, true, true)
	uncached := func(now time.Time) int { return p.Choose(now, q).UncachedTokens }
	now := start
	for range 20 {
		now = now.Add(time.Second)
		p.ApplyCacheUpdates(now, []CacheUpdate{{Endpoint: "d1", SuffixTokens: 8000}})
	}
	assert.Assert(t, uncached(now) < 5000)
	late := uncached(now.Add(20 * time.Second))
	assert.Assert(t, late > 5000 && late <= 17_000, "%d", late)
	p.ApplyCacheUpdates(now.Add(60*time.Second), nil)
	// The engine is the preferred one, where half of a prefix that none is known to hold is
	// assumed to be cached.
	assert.Equal(t, uncached(now.Add(60*time.Second)), 17_000-13_000/2)
}

// TestReachFollowsObservations guards against an estimate that keeps trusting a memory that is
// smaller than declared, and against one that slow answers of busy engines mislead.
func TestReachFollowsObservations(t *testing.T) {
	s := limitedPlacer(t, 0).pool("engines")
	e := prefixExpectation{probability: 0.99, depth: 0.4, held: 60 * time.Millisecond, evicted: 280 * time.Millisecond}
	s.residency.busy = 0.9
	for range 100 {
		s.correctReach(e, e.evicted)
	}
	assert.Assert(t, s.residency.reach > 0.6, "%f", s.residency.reach)
	s.residency.busy = 0.1
	for range 100 {
		s.correctReach(e, e.evicted)
	}
	assert.Assert(t, s.residency.reach < 0.5, "%f", s.residency.reach)
	for range 1000 {
		s.correctReach(e, e.held)
	}
	assert.Assert(t, s.residency.reach > 0.8, "%f", s.residency.reach)
}
