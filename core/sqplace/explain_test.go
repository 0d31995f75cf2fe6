package sqplace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqlimit"
	"sequoiadock/core/sqspeed"
)

// explainedPlacer returns a placer with endpoints that are fast, slow and limited, and with a
// random state of its own.
func explainedPlacer(t *testing.T, seed uint64) *Placer {
	t.Helper()
	p := New(Config{Zone: "a", Seed: seed, LimitedMemory: true, MaxEndpointBodyBytes: 64 << 20})
	p.SetServices(testServices(t))
	var fleet []Endpoint
	for i, stage := range []Stage{Prefill, Prefill, Decode, Decode, AnyStage} {
		fleet = append(fleet, engineEndpoint(fmt.Sprint("e", i), stage))
	}
	fleet = append(fleet, engineEndpoint("limited", AnyStage), engineEndpoint("drains", AnyStage).WithDraining(), engineEndpoint("refuses", AnyStage))
	p.SetEndpoints(fleet)
	p.SetSpeeds(start, []sqspeed.Speed{{Endpoint: "e0", Percent: 60}, {Endpoint: "e1", Percent: 160}, {Endpoint: "e4", Percent: 100}})
	p.Limits().Record(sqlimit.Report{Endpoint: "limited", Named: true, PerSecond: 1, At: start})
	p.RecordRefusal(start, "refuses", 3*time.Second)
	p.SetPeerLoads(map[string]Load{"e2": {Running: 3, PrefillTokens: 900, MemoryTokens: 300_000}, "e4": {Running: 20, MemoryTokens: 20_000}})
	return p
}

// TestExplainChangesNothing guards against an explanation that moves a later choice, a mean,
// or the permits that the gateway asks for.
func TestExplainChangesNothing(t *testing.T) {
	for seed := range uint64(20) {
		plain, explained := explainedPlacer(t, seed), explainedPlacer(t, seed)
		for i := range 60 {
			now := start.Add(time.Duration(i) * 30 * time.Millisecond)
			q := engineQuery(fmt.Sprint("shared", i%3), 900, 200)
			q.BodyBytes = 3 << 20
			e := explained.Explain(now, q)
			explained.Explain(now.Add(time.Millisecond), &Query{Service: "unknown"})
			want, got := plain.Choose(now, q), explained.Choose(now, q)
			assert.DeepEqual(t, fmt.Sprintf("%+v", summary(&got)), fmt.Sprintf("%+v", summary(&want)))
			assert.DeepEqual(t, fmt.Sprintf("%+v", summary(&e.Choice)), fmt.Sprintf("%+v", summary(&want)))
			if want.Endpoint != nil {
				plain.StartDispatch(now, want.Endpoint, q, want.UncachedTokens, want.ExpectedLatency)
				explained.StartDispatch(now, got.Endpoint, q, got.UncachedTokens, got.ExpectedLatency)
			}
		}
		assert.Equal(t, explained.randomState, plain.randomState)
		assert.Equal(t, explained.services["engines"].residency, plain.services["engines"].residency)
		assert.DeepEqual(t, explained.Limits().Message().Wants, plain.Limits().Message().Wants)
	}
}

// summary returns a choice with the identities of its endpoints in place of pointers.
func summary(c *Choice) [3]any {
	id := func(e *Endpoint) string {
		if e == nil {
			return ""
		}
		return e.ID()
	}
	values := *c
	values.Endpoint, values.PrefillEndpoint = nil, nil
	return [3]any{id(c.Endpoint), id(c.PrefillEndpoint), values}
}

// TestExplainAccountsForAll guards against an endpoint that is missing, an expected time that
// is not the sum of its parts, and draws that are not counted.
func TestExplainAccountsForAll(t *testing.T) {
	p := explainedPlacer(t, 1)
	failed := engineEndpoint("e3", Decode)
	p.StartDispatch(start, &failed, engineQuery("x", 10, 10), 0, 0).Finish(start, false, false)
	q := engineQuery("shared", 900, 200)
	q.CountConnections = true
	e := p.Explain(start, q)
	why := map[string]Exclusion{}
	for _, x := range e.Excluded {
		why[x.Endpoint.ID()] = x.Why
	}
	assert.DeepEqual(t, why, map[string]Exclusion{"limited": Limited, "drains": Draining, "refuses": Refuses, "e3": Suspect})
	chosen, parts := 0, map[string]bool{}
	for _, c := range e.Candidates {
		assert.Equal(t, c.SlotWait+c.PrefillWait+c.Prefill+c.RoomWait+c.Base, c.Expected)
		assert.Assert(t, c.Base >= 0 && c.MinCost <= c.MaxCost, "%s", c.Endpoint.ID())
		assert.Equal(t, c.Connect, initialConnectTime+acceptCost)
		parts[c.Endpoint.ID()+" "+string(c.Part)] = true
		if c.Part != PrefillPart {
			chosen += c.Chosen
		}
	}
	assert.Equal(t, chosen, e.Draws)
	assert.DeepEqual(t, parts, map[string]bool{
		"e0 prefill": true, "e1 prefill": true, "e2 whole": true, "e2 decode": true, "e4 whole": true, "e4 prefill": true, "e4 decode": true,
	})
}

// TestExplainRefusal guards against a refusal without the range of its Retry-After.
func TestExplainRefusal(t *testing.T) {
	p := newPlacer(t, plainEndpoint("l1", "a"))
	p.RecordRefusal(start, "l1", 2*time.Second)
	e := p.Explain(start, plainQuery())
	assert.Assert(t, e.Choice.Endpoint == nil && e.MinRetryAfter >= 2*time.Second && e.MaxRetryAfter > e.MinRetryAfter && e.MaxRetryAfter <= 3*time.Second)
	assert.Equal(t, e.Excluded[0].For, 2*time.Second)
}

// BenchmarkExplain measures for how long an explanation keeps the placer locked.
func BenchmarkExplain(b *testing.B) {
	for _, engines := range []int{57, 130, 1100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var fleet []Endpoint
			for i := range engines {
				fleet = append(fleet, engineEndpoint(fmt.Sprint("e", i), []Stage{Prefill, Prefill, Decode, Decode, Decode}[i%5]))
			}
			p := newPlacer(b, fleet...)
			for b.Loop() {
				p.Explain(start, engineQuery("shared", 900, 200))
			}
		})
	}
}
