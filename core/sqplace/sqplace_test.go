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

func services(t *testing.T) []*sqtable.Service {
	t.Helper()
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{
		{Name: "engines", Engine: &sqtable.Engine{Slots: 16, KVCapacityTokens: 400_000, KVBytesPerToken: 327_680, LinkMbps: 1_600_000}},
		{Name: "ledger"},
	}})
	assert.NilError(t, err)
	return table.Services()
}

func engine(id string, s Stage) Endpoint {
	return NewEndpoint(EndpointConfig{ID: id, Service: "engines", Address: "10.0.0.1:1", Zone: "a", Slots: 16, Stage: s})
}

func ledger(id, zone string) Endpoint {
	return NewEndpoint(EndpointConfig{ID: id, Service: "ledger", Address: "10.0.0.2:1", Zone: zone, Slots: 6})
}

func newPlacer(t *testing.T, fleet ...Endpoint) *Placer {
	t.Helper()
	p := New(Config{Zone: "a", Seed: 1})
	p.SetServices(services(t))
	p.SetFleet(fleet)
	return p
}

func ask(subject string, shared, own int) *Query {
	return &Query{Service: "engines", TimeLeft: 8 * time.Second, Prompt: sqattempt.Prompt{
		Model: "m", Tokens: shared + own,
		Parts: []sqattempt.Part{{ID: subject, Tokens: shared}, {ID: "own", Tokens: own}},
	}}
}

func plain() *Query { return &Query{Service: "ledger", TimeLeft: time.Second} }

// TestLeastLoaded wants a plain request at the endpoint with the fewest in flight,
// those of other gateways included.
func TestLeastLoaded(t *testing.T) {
	p := newPlacer(t, ledger("l1", "a"), ledger("l2", "a"))
	p.SetRemoteLoads(map[string]Load{"l1": {Running: 12}})
	for range 5 {
		c := p.Choose(start, plain())
		assert.Equal(t, c.Endpoint.ID(), "l2")
		p.Begin(start, c.Endpoint, plain(), 0, c.ExpectedLatency)
	}
}

// TestNeverDraining wants no request at an endpoint that leaves, was tried, or
// could not be reached, as long as there is another.
func TestNeverDraining(t *testing.T) {
	leaving := ledger("l1", "a").WithDraining()
	p := newPlacer(t, leaving, ledger("l2", "a"), ledger("l3", "a"))
	q := plain()
	q.Tried = []string{"l2"}
	assert.Equal(t, p.Choose(start, q).Endpoint.ID(), "l3")
	e := ledger("l3", "a")
	p.Begin(start, &e, plain(), 0, 0).End(start, false, false)
	assert.Equal(t, p.Choose(start, plain()).Endpoint.ID(), "l2")
	q.Tried = []string{"l2", "l3"}
	c := p.Choose(start, q)
	assert.Assert(t, c.Endpoint == nil && c.RetryAfter > 0)
}

// TestRefusedAtOnce wants a request refused, with a time to come back, when the
// work in front of it takes longer than it may wait.
func TestRefusedAtOnce(t *testing.T) {
	p := newPlacer(t, engine("e1", Decode))
	p.SetRemoteLoads(map[string]Load{"e1": {Running: 10, PendingPrefillTokens: 400_000}})
	c := p.Choose(start, ask("s", 1000, 500))
	assert.Assert(t, c.Endpoint == nil)
	assert.Equal(t, c.Reason, "the deadline cannot be met")
	assert.Assert(t, c.RetryAfter >= shortestRetry && c.RetryAfter <= longestRetry)
}

// TestUrgentWaitsLess wants an urgent request served behind work that makes a
// less urgent one come too late.
func TestUrgentWaitsLess(t *testing.T) {
	p := newPlacer(t, engine("e1", Decode))
	p.SetRemoteLoads(map[string]Load{"e1": {Running: 4, PendingPrefillTokens: 120_000}})
	q := ask("s", 50, 200)
	q.TimeLeft = 4 * time.Second
	assert.Assert(t, p.Choose(start, q).Endpoint == nil)
	q.Urgent = true
	assert.Assert(t, p.Choose(start, q).Endpoint != nil)
}

// TestGatewaysAgree wants gateways that know nothing of each other to send the
// same shared part to the same engine.
func TestGatewaysAgree(t *testing.T) {
	var fleet []Endpoint
	for i := range 8 {
		fleet = append(fleet, engine(fmt.Sprintf("e%d", i), Decode))
	}
	p1, p2 := newPlacer(t, fleet...), newPlacer(t, fleet...)
	p2.draws = 99
	for i := range 20 {
		q := ask(fmt.Sprintf("subject%d", i), 13_000, 3000)
		assert.Equal(t, p1.Choose(start, q).Endpoint.ID(), p2.Choose(start, q).Endpoint.ID())
	}
}

// TestReadsTold wants a gateway to follow another's choice once it heard of it.
func TestReadsTold(t *testing.T) {
	fleet := []Endpoint{engine("e1", Decode), engine("e2", Decode), engine("e3", Decode)}
	p1, p2 := newPlacer(t, fleet...), newPlacer(t, fleet...)
	q := ask("s", 13_000, 3000)
	usual := p1.Choose(start, q).Endpoint.ID()
	for i := range fleet {
		if fleet[i].ID() != usual {
			p1.Begin(start, &fleet[i], q, 16_000, 0)
			break
		}
	}
	reads := p1.TakeCacheUpdates()
	assert.Equal(t, len(reads), 1)
	assert.Equal(t, len(p1.TakeCacheUpdates()), 0)
	p2.ApplyCacheUpdates(start, reads)
	assert.Equal(t, p2.Choose(start, q).Endpoint.ID(), reads[0].Endpoint)
}

// TestReadAhead wants a long prompt read by a prefill engine and its tokens made
// by a decode engine, and a request that must not be read ahead sent directly.
func TestReadAhead(t *testing.T) {
	p := newPlacer(t, engine("p1", Prefill), engine("d1", Decode))
	c := p.Choose(start, ask("s", 13_000, 3000))
	assert.Equal(t, c.Prefill.ID(), "p1")
	assert.Equal(t, c.Endpoint.ID(), "d1")
	q := ask("s", 13_000, 3000)
	q.NoRemotePrefill = true
	c = p.Choose(start, q)
	assert.Assert(t, c.Prefill == nil)
	assert.Equal(t, c.Endpoint.ID(), "d1")
	assert.Equal(t, p.ChooseDecode(start, q).Endpoint.ID(), "d1")
}

// TestNoLinkRate wants a prompt read ahead though the rate of the links is not
// known.
func TestNoLinkRate(t *testing.T) {
	p := newPlacer(t, engine("p1", Prefill), engine("d1", Decode))
	p.pool("engines").engine = &sqtable.Engine{Slots: 16, KVCapacityTokens: 400_000, KVBytesPerToken: 327_680}
	assert.Equal(t, p.Choose(start, ask("s", 13_000, 3000)).Prefill.ID(), "p1")
}

// TestTickets wants the books to be empty when all requests have ended, however
// they ended, and an end that comes twice to count once.
func TestTickets(t *testing.T) {
	p := newPlacer(t, engine("d1", Decode))
	e := engine("d1", Decode)
	q := ask("s", 1000, 500)
	a, b, c := p.Begin(start, &e, q, 1500, 0), p.Begin(start, &e, q, 500, 0), p.Begin(start, &e, q, 500, 0)
	assert.Equal(t, p.LocalLoads()["d1"], Load{Running: 3, PendingPrefillTokens: 2500})
	a.RecordFirstToken(start.Add(time.Second))
	assert.Equal(t, p.LocalLoads()["d1"], Load{Running: 3, PendingPrefillTokens: 1000})
	assert.Equal(t, a.DecodeTime(start.Add(3*time.Second)), 2*time.Second)
	a.End(start.Add(3*time.Second), true, true)
	a.End(start.Add(3*time.Second), true, true)
	b.End(start, false, true)
	c.Abandon()
	assert.Equal(t, len(p.LocalLoads()), 0)
}

// TestOwnPartsTakeMemory wants a beginning taken for gone once other prompts have
// filled the engine's memory with parts that nobody shares, at the gateway that
// sent them and at others that heard of them.
func TestOwnPartsTakeMemory(t *testing.T) {
	e := engine("e1", Decode)
	p1, p2 := newPlacer(t, e), newPlacer(t, e)
	kept := ask("kept", 13_000, 0)
	kept.Prompt.Parts[1].Tokens = 0
	known := func(p *Placer) int {
		names, lengths := chains(&kept.Prompt)
		return p.nodes["e1"].cache.known(names, lengths)
	}
	p1.Begin(start, &e, kept, 13_000, 0)
	p2.ApplyCacheUpdates(start, p1.TakeCacheUpdates())
	assert.Equal(t, known(p1), 13_000)
	for i := range 7 {
		now := start.Add(time.Duration(i+1) * time.Second)
		p1.Begin(now, &e, ask("other", 13_000, 50_000), 50_000, 0)
		p2.ApplyCacheUpdates(now, p1.TakeCacheUpdates())
	}
	assert.Equal(t, known(p1), 0)
	assert.Equal(t, known(p2), 0)
}
