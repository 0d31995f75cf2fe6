package sqroute

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiadock/core/sqcache"
)

// referenceCost computes the cost of a whole request on one engine directly
// from its definition.
func referenceCost(f *Fleet, id string, q QueryConfig, cachedBlocks map[string]int) float64 {
	n := f.nodes[f.indexByID[id]]
	running := float64(n.own.running + n.reportedPeerLoad.running)
	decode := float64(n.own.decodeTokens/2 + n.reportedPeerLoad.decodeTokens)
	stepTime := func(batch float64) float64 { return 0.02 * (1 + 0.03*(batch-1)) }
	prefill := (float64(q.PromptTokens) - math.Min(float64(q.PromptTokens), float64(1000*cachedBlocks[id]))) / 6000
	firstToken := float64(n.own.prefillTokens+n.reportedPeerLoad.prefillTokens)/6000 + prefill
	if excess := running + 1 - 16; excess > 0 && running > 0 {
		firstToken += excess / 16 * decode / running * stepTime(16)
	}
	betweenTokens := stepTime(math.Min(running+1, 16))
	firstToken += betweenTokens
	if n.endpoint.Zone() != "a" {
		firstToken += 0.002
	}
	total := firstToken + betweenTokens*float64(q.OutputTokens)
	lateness := math.Max(0, firstToken-q.FirstTokenObjective.Seconds()) + math.Max(0, total-q.Deadline.Sub(testNow).Seconds())
	return total + 3*lateness + 0.05*prefill*math.Min(running, 16)
}

func TestRouteMatchesReferenceCost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(rt, "engines")
		list := make([]EndpointConfig, engines)
		cachedBlocks := make(map[string]int)
		for i := range list {
			list[i] = engine("e"+strconv.Itoa(i), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"), RoleBoth)
			list[i].Unschedulable = rapid.IntRange(0, 4).Draw(rt, "closed") == 0
		}
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), list...)
		cfg := chat(rapid.IntRange(1, 6000).Draw(rt, "prompt"), rapid.IntRange(1, 300).Draw(rt, "output"))
		cfg.Blocks = []uint64{101, 102, 103, 104}[:cfg.PromptTokens/1000%5]
		cfg.FirstTokenObjective = time.Second
		cfg.Deadline = testNow.Add(10 * time.Second)
		for _, e := range list {
			setReport(f, e.ID, 0, rapid.IntRange(0, 30).Draw(rt, "running"), rapid.IntRange(0, 9000).Draw(rt, "prefill"))
			cachedBlocks[e.ID] = rapid.IntRange(0, len(cfg.Blocks)).Draw(rt, "held")
			for n, block := range cfg.Blocks[:cachedBlocks[e.ID]] {
				f.ApplyCacheEvents(testNow, e.ID, []sqcache.Event{sqcache.NewEvent(sqcache.EventConfig{Number: uint64(n), Kind: sqcache.Stored, Block: block})})
			}
		}
		q := NewQuery(cfg)
		c := NewCacheAware(f).Route(testNow, &q)
		best := math.Inf(1)
		for _, e := range list {
			if !e.Unschedulable {
				best = math.Min(best, referenceCost(f, e.ID, cfg, cachedBlocks))
			}
		}
		if math.IsInf(best, 1) {
			assert.Assert(rt, !c.OK())
			return
		}
		// A home of the prefix may be preferred by half of a block's prefill
		// time.
		tolerance := minStaggerSeconds + 1e-9
		if len(cfg.Blocks) > 0 {
			tolerance += homeBonusShare * 1000 / 6000
		}
		cost := referenceCost(f, c.Endpoint(), cfg, cachedBlocks)
		assert.Assert(rt, cost <= best+tolerance, "chose %s at %v, best is %v", c.Endpoint(), cost, best)
	})
}

// A large fleet compares only a few candidates. The chosen endpoint must be
// schedulable, and the same calls must give the same choices.
func TestLargeFleetRoutingIsDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		unschedulable := rapid.IntRange(0, 90).Draw(rt, "closed")
		run := func() []string {
			list := make([]EndpointConfig, 100)
			for i := range list {
				list[i] = engine("e"+strconv.Itoa(i), "a", Role(i%3))
				list[i].Unschedulable = i < unschedulable
			}
			f := newFleet(seed, list...)
			r := NewCacheAware(f)
			var chosen []string
			for i := range 30 {
				q := NewQuery(chat(3000, 50, uint64(i%4), 9))
				c := r.Route(testNow, &q)
				chosen = append(chosen, c.Endpoint()+" "+c.DecodeEndpoint())
				if !c.OK() {
					continue
				}
				assert.Assert(rt, !f.nodes[f.indexByID[c.Endpoint()]].endpoint.Unschedulable())
				f.StartDispatch(testNow, DispatchConfig{Endpoint: c.Endpoint(), Query: &q, CachedTokens: c.CachedTokens()})
			}
			return chosen
		}
		assert.DeepEqual(rt, run(), run())
	})
}
