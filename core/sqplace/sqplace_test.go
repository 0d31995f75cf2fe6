package sqplace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqtable"
)

var start = time.Unix(1000, 0)

func testServices(t testing.TB) []*sqtable.Service {
	t.Helper()
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{
		{Name: "engines", Engine: &sqtable.Engine{Slots: 16, KVCapacityTokens: 400_000, KVBytesPerToken: 327_680, LinkMbps: 1_600_000}},
		{Name: "ledger"},
	}})
	assert.NilError(t, err)
	return table.Services()
}

func engineEndpoint(id string, s Stage) Endpoint {
	return NewEndpoint(EndpointConfig{ID: id, Service: "engines", Address: "10.0.0.1:1", Zone: "a", Slots: 16, Stage: s})
}

func plainEndpoint(id, zone string) Endpoint {
	return NewEndpoint(EndpointConfig{ID: id, Service: "ledger", Address: "10.0.0.2:1", Zone: zone, Slots: 6})
}

func newPlacer(t testing.TB, fleet ...Endpoint) *Placer {
	t.Helper()
	p := New(Config{Zone: "a", Seed: 1})
	p.SetServices(testServices(t))
	p.SetEndpoints(fleet)
	return p
}

func engineQuery(sharedPart string, shared, suffix int) *Query {
	return &Query{Service: "engines", TimeLeft: 8 * time.Second, Prompt: sqattempt.Prompt{
		Model: "m", Tokens: shared + suffix,
		Parts: []sqattempt.Part{{ID: sharedPart, Tokens: shared}, {ID: "own", Tokens: suffix}},
	}}
}

func plainQuery() *Query { return &Query{Service: "ledger", TimeLeft: time.Second} }

// TestLeastLoaded checks that a plain request goes to the endpoint with the fewest
// requests in flight, including those of other gateways.
func TestLeastLoaded(t *testing.T) {
	p := newPlacer(t, plainEndpoint("l1", "a"), plainEndpoint("l2", "a"))
	p.SetPeerLoads(map[string]Load{"l1": {Running: 12}})
	for range 5 {
		c := p.Choose(start, plainQuery())
		assert.Equal(t, c.Endpoint.ID(), "l2")
		p.StartDispatch(start, c.Endpoint, plainQuery(), 0, c.ExpectedLatency)
	}
}

// TestSkipsUnavailableEndpoints checks that no request goes to an endpoint that is
// draining, was tried, or could not be reached, as long as there is another.
func TestSkipsUnavailableEndpoints(t *testing.T) {
	draining := plainEndpoint("l1", "a").WithDraining()
	p := newPlacer(t, draining, plainEndpoint("l2", "a"), plainEndpoint("l3", "a"))
	q := plainQuery()
	q.Tried = []string{"l2"}
	assert.Equal(t, p.Choose(start, q).Endpoint.ID(), "l3")
	e := plainEndpoint("l3", "a")
	p.StartDispatch(start, &e, plainQuery(), 0, 0).Finish(start, false, false)
	assert.Equal(t, p.Choose(start, plainQuery()).Endpoint.ID(), "l2")
	q.Tried = []string{"l2", "l3"}
	c := p.Choose(start, q)
	assert.Assert(t, c.Endpoint == nil && c.RetryAfter > 0)
}

// TestRefusedIfDeadlineUnmeetable checks that a request is refused, with a retry
// delay, if the queued work takes longer than the request's time left.
func TestRefusedIfDeadlineUnmeetable(t *testing.T) {
	p := newPlacer(t, engineEndpoint("e1", Decode))
	p.SetPeerLoads(map[string]Load{"e1": {Running: 10, PrefillTokens: 400_000}})
	c := p.Choose(start, engineQuery("s", 1000, 500))
	assert.Assert(t, c.Endpoint == nil)
	assert.Equal(t, c.Reason, "the deadline cannot be met")
	assert.Assert(t, c.RetryAfter >= minRetryAfter && c.RetryAfter <= maxRetryAfter)
}

// TestUrgentPrefilledFirst checks that an urgent request is served behind queued work
// that would make a less urgent request miss its deadline.
func TestUrgentPrefilledFirst(t *testing.T) {
	p := newPlacer(t, engineEndpoint("e1", Decode))
	p.SetPeerLoads(map[string]Load{"e1": {Running: 4, PrefillTokens: 120_000}})
	q := engineQuery("s", 50, 200)
	q.TimeLeft = 4 * time.Second
	assert.Assert(t, p.Choose(start, q).Endpoint == nil)
	q.Urgent = true
	assert.Assert(t, p.Choose(start, q).Endpoint != nil)
}

// TestGatewaysPreferSameEngine checks that gateways send the same shared part to the
// same engine before they have exchanged any updates.
func TestGatewaysPreferSameEngine(t *testing.T) {
	var fleet []Endpoint
	for i := range 8 {
		fleet = append(fleet, engineEndpoint(fmt.Sprintf("e%d", i), Decode))
	}
	p1, p2 := newPlacer(t, fleet...), newPlacer(t, fleet...)
	p2.randomState = 99
	for i := range 20 {
		q := engineQuery(fmt.Sprintf("subject%d", i), 13_000, 3000)
		assert.Equal(t, p1.Choose(start, q).Endpoint.ID(), p2.Choose(start, q).Endpoint.ID())
	}
}

// TestCacheUpdatesGuideOtherGateways checks that a gateway sends a prefix to the
// engine that another gateway chose, once it has applied that gateway's updates.
func TestCacheUpdatesGuideOtherGateways(t *testing.T) {
	fleet := []Endpoint{engineEndpoint("e1", Decode), engineEndpoint("e2", Decode), engineEndpoint("e3", Decode)}
	p1, p2 := newPlacer(t, fleet...), newPlacer(t, fleet...)
	q := engineQuery("s", 13_000, 3000)
	preferred := p1.Choose(start, q).Endpoint.ID()
	for i := range fleet {
		if fleet[i].ID() != preferred {
			p1.StartDispatch(start, &fleet[i], q, 16_000, 0)
			break
		}
	}
	updates := p1.TakeCacheUpdates()
	assert.Equal(t, len(updates), 1)
	assert.Equal(t, len(p1.TakeCacheUpdates()), 0)
	p2.ApplyCacheUpdates(start, updates)
	assert.Equal(t, p2.Choose(start, q).Endpoint.ID(), updates[0].Endpoint)
}

// TestRemotePrefill checks that a prefill engine processes a long prompt and a decode
// engine generates its tokens, and that a request with NoRemotePrefill goes straight
// to the decode engine.
func TestRemotePrefill(t *testing.T) {
	p := newPlacer(t, engineEndpoint("p1", Prefill), engineEndpoint("d1", Decode))
	c := p.Choose(start, engineQuery("s", 13_000, 3000))
	assert.Equal(t, c.PrefillEndpoint.ID(), "p1")
	assert.Equal(t, c.Endpoint.ID(), "d1")
	q := engineQuery("s", 13_000, 3000)
	q.NoRemotePrefill = true
	c = p.Choose(start, q)
	assert.Assert(t, c.PrefillEndpoint == nil)
	assert.Equal(t, c.Endpoint.ID(), "d1")
	assert.Equal(t, p.ChooseDecode(start, q).Endpoint.ID(), "d1")
}

// TestRemotePrefillWithoutLinkRate checks that a prompt is prefilled remotely although
// the transfer rate of the links is unknown.
func TestRemotePrefillWithoutLinkRate(t *testing.T) {
	p := newPlacer(t, engineEndpoint("p1", Prefill), engineEndpoint("d1", Decode))
	p.pool("engines").engine = &sqtable.Engine{Slots: 16, KVCapacityTokens: 400_000, KVBytesPerToken: 327_680}
	assert.Equal(t, p.Choose(start, engineQuery("s", 13_000, 3000)).PrefillEndpoint.ID(), "p1")
}

// TestInFlightAccounting checks that no load is left after all requests have ended, in
// whichever way, and that a second End of a request has no effect.
func TestInFlightAccounting(t *testing.T) {
	p := newPlacer(t, engineEndpoint("d1", Decode))
	e := engineEndpoint("d1", Decode)
	q := engineQuery("s", 1000, 500)
	a, b, c := p.StartDispatch(start, &e, q, 1500, 0), p.StartDispatch(start, &e, q, 500, 0), p.StartDispatch(start, &e, q, 500, 0)
	assert.Equal(t, p.OwnLoads()["d1"], Load{Running: 3, PrefillTokens: 2500})
	a.RecordFirstToken(start.Add(time.Second))
	assert.Equal(t, p.OwnLoads()["d1"], Load{Running: 3, PrefillTokens: 1000})
	assert.Equal(t, a.DecodeTime(start.Add(3*time.Second)), 2*time.Second)
	a.Finish(start.Add(3*time.Second), true, true)
	a.Finish(start.Add(3*time.Second), true, true)
	b.Finish(start, false, true)
	c.Abandon()
	assert.Equal(t, len(p.OwnLoads()), 0)
}

// TestSuffixesEvictPrefixes checks that a prefix counts as evicted once the unshared
// suffixes of other prompts have filled the engine's cache, both at the gateway that
// sent these prompts and at a gateway that applied its updates.
func TestSuffixesEvictPrefixes(t *testing.T) {
	e := engineEndpoint("e1", Decode)
	p1, p2 := newPlacer(t, e), newPlacer(t, e)
	query := engineQuery("kept", 13_000, 0)
	query.Prompt.Parts[1].Tokens = 0
	cachedTokens := func(p *Placer) int {
		hashes, lengths := prefixHashes(&query.Prompt)
		return p.nodes["e1"].cache.cachedTokens(hashes, lengths)
	}
	p1.StartDispatch(start, &e, query, 13_000, 0)
	p2.ApplyCacheUpdates(start, p1.TakeCacheUpdates())
	assert.Equal(t, cachedTokens(p1), 13_000)
	for i := range 7 {
		now := start.Add(time.Duration(i+1) * time.Second)
		p1.StartDispatch(now, &e, engineQuery("other", 13_000, 50_000), 50_000, 0)
		p2.ApplyCacheUpdates(now, p1.TakeCacheUpdates())
	}
	assert.Equal(t, cachedTokens(p1), 0)
	assert.Equal(t, cachedTokens(p2), 0)
}
