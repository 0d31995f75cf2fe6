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

// naiveCost is the plainly right version: the cost of a whole request at one
// engine, worked out from scratch.
func naiveCost(f *Fleet, id string, q QueryConfig, held map[string]int) float64 {
	n := f.nodes[f.byID[id]]
	running := float64(n.own.running + n.foreign.running)
	decode := float64(n.own.decode/2 + n.foreign.decode)
	step := func(batch float64) float64 { return 0.02 * (1 + 0.03*(batch-1)) }
	prefill := (float64(q.PromptTokens) - math.Min(float64(q.PromptTokens), float64(1000*held[id]))) / 6000
	first := float64(n.own.prefill+n.foreign.prefill)/6000 + prefill
	if over := running + 1 - 16; over > 0 && running > 0 {
		first += over / 16 * decode / running * step(16)
	}
	between := step(math.Min(running+1, 16))
	first += between
	if n.endpoint.Zone() != "a" {
		first += 0.002
	}
	total := first + between*float64(q.OutputTokens)
	late := math.Max(0, first-q.FirstToken.Seconds()) + math.Max(0, total-q.Deadline.Sub(warm).Seconds())
	return total + 3*late + 0.05*prefill*math.Min(running, 16)
}

func TestRouteAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(rt, "engines")
		list := make([]EndpointConfig, engines)
		held := make(map[string]int)
		for i := range list {
			list[i] = engine("e"+strconv.Itoa(i), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"), RoleBoth)
			list[i].Unschedulable = rapid.IntRange(0, 4).Draw(rt, "closed") == 0
		}
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), list...)
		cfg := chat(rapid.IntRange(1, 6000).Draw(rt, "prompt"), rapid.IntRange(1, 300).Draw(rt, "output"))
		cfg.Blocks = []uint64{101, 102, 103, 104}[:cfg.PromptTokens/1000%5]
		cfg.FirstToken = time.Second
		cfg.Deadline = warm.Add(10 * time.Second)
		for _, e := range list {
			report(f, e.ID, 0, rapid.IntRange(0, 30).Draw(rt, "running"), rapid.IntRange(0, 9000).Draw(rt, "prefill"))
			held[e.ID] = rapid.IntRange(0, len(cfg.Blocks)).Draw(rt, "held")
			for n, p := range cfg.Blocks[:held[e.ID]] {
				f.ApplyEvents(warm, e.ID, []sqcache.Event{sqcache.NewEvent(sqcache.EventConfig{Number: uint64(n), Kind: sqcache.Stored, Block: p})})
			}
		}
		q := NewQuery(cfg)
		c := NewCacheAware(f).Route(warm, &q)
		best := math.Inf(1)
		for _, e := range list {
			if !e.Unschedulable {
				best = math.Min(best, naiveCost(f, e.ID, cfg, held))
			}
		}
		if math.IsInf(best, 1) {
			assert.Assert(rt, !c.OK())
			return
		}
		// A home of the prefix may be preferred by half a piece's prefill time.
		slack := minSpread + 1e-9
		if len(cfg.Blocks) > 0 {
			slack += homeBonus * 1000 / 6000
		}
		got := naiveCost(f, c.Endpoint(), cfg, held)
		assert.Assert(rt, got <= best+slack, "chose %s at %v, best is %v", c.Endpoint(), got, best)
	})
}

// The choice of a large fleet comes from a few candidates; it must still be a
// usable one, and the same calls must give the same choice.
func TestLargeFleetSameCallsSameChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		closed := rapid.IntRange(0, 90).Draw(rt, "closed")
		run := func() []string {
			list := make([]EndpointConfig, 100)
			for i := range list {
				list[i] = engine("e"+strconv.Itoa(i), "a", Role(i%3))
				list[i].Unschedulable = i < closed
			}
			f := newFleet(seed, list...)
			r := NewCacheAware(f)
			var chosen []string
			for i := range 30 {
				q := NewQuery(chat(3000, 50, uint64(i%4), 9))
				c := r.Route(warm, &q)
				chosen = append(chosen, c.Endpoint()+" "+c.Decode())
				if !c.OK() {
					continue
				}
				assert.Assert(rt, !f.nodes[f.byID[c.Endpoint()]].endpoint.Unschedulable())
				f.StartDispatch(warm, DispatchConfig{Endpoint: c.Endpoint(), Query: &q, CachedTokens: c.CachedTokens()})
			}
			return chosen
		}
		assert.DeepEqual(rt, run(), run())
	})
}
