package sqplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated load: many gateways that exchange updates with a delay, engines
// whose caches hold only some of the shared parts each, and long prompts that mostly
// repeat. The numbers are those of an assistant that reads catalogues.
const (
	loadGateways    = 8
	loadEngines     = 8
	loadSharedParts = 150
	loadPerSecond   = 23
	loadSeconds     = 60
	// loadWarmupSeconds is the time after which requests count. Before it, most parts
	// are prefilled for the first time, which no placement can avoid.
	loadWarmupSeconds = 20
	loadSharedTokens  = 13_000
	loadSuffixTokens  = 3700
	// exchangeInterval is the time between two exchanges of cache updates.
	exchangeInterval = 300 * time.Millisecond
	// firstTokenObjective is the time within which the first token shall arrive for
	// minOnTimePercent of the requests: the users' requirement at the size that they
	// grow to.
	firstTokenObjective = 720 * time.Millisecond
	minOnTimePercent    = 95
)

// simEngine simulates an engine that prefills prompts one after the other and caches
// the most recently used prefixes.
type simEngine struct {
	freeAt time.Time
	cache  *prefixCache
}

// prefill returns when the engine has processed a prompt that arrives at now, and how
// many of its tokens were not cached.
func (e *simEngine) prefill(now time.Time, q *Query) (done time.Time, uncached int) {
	hashes, lengths := prefixHashes(&q.Prompt)
	uncached = q.Prompt.Tokens - e.cache.cachedTokens(hashes, lengths)
	e.cache.touch(now, hashes[0], loadSharedTokens, 300_000)
	startAt := now
	if e.freeAt.After(now) {
		startAt = e.freeAt
	}
	e.freeAt = startAt.Add(time.Duration(float64(uncached) / prefillTokensPerMilli * float64(time.Millisecond)))
	return e.freeAt, uncached
}

// simulate returns the share of requests on time and the number of prefilled tokens;
// choose returns the engine for a request that arrives at a gateway.
func simulate(choose func(now time.Time, gateway int, q *Query) string) (onTime float64, prefilled int) {
	random := rand.New(rand.NewPCG(1, 2))
	engines := map[string]*simEngine{}
	for i := range loadEngines {
		engines[fmt.Sprintf("p%d", i)] = &simEngine{cache: newPrefixCache()}
	}
	met, total := 0, loadPerSecond*loadSeconds
	for n := range total {
		now := start.Add(time.Duration(n) * time.Second / loadPerSecond)
		gateway := random.IntN(loadGateways)
		q := engineQuery(fmt.Sprintf("s%d", random.IntN(loadSharedParts)), loadSharedTokens, loadSuffixTokens)
		done, uncached := engines[choose(now, gateway, q)].prefill(now, q)
		prefilled += uncached
		if n >= loadWarmupSeconds*loadPerSecond && done.Sub(now) <= firstTokenObjective {
			met++
		}
	}
	return float64(met) / float64(total-loadWarmupSeconds*loadPerSecond), prefilled
}

// TestPrefixPlacementBeatsRoundRobin checks that placement by cached prefixes prefills
// fewer than half of the tokens that round robin does, and serves more requests on
// time.
func TestPrefixPlacementBeatsRoundRobin(t *testing.T) {
	fleet := []Endpoint{engineEndpoint("d0", Decode)}
	for i := range loadEngines {
		fleet = append(fleet, engineEndpoint(fmt.Sprintf("p%d", i), Prefill))
	}
	gateways := make([]*Placer, loadGateways)
	for i := range gateways {
		gateways[i] = newPlacer(t, fleet...)
		gateways[i].randomState = uint64(i)
	}
	inFlight := make([][]prefillInFlight, loadGateways)
	lastExchange := start
	choose := func(now time.Time, gateway int, q *Query) string {
		for i, p := range gateways {
			inFlight[i] = finishPrefills(inFlight[i], now)
			if now.Sub(lastExchange) >= exchangeInterval {
				updates := p.TakeCacheUpdates()
				for j := range gateways {
					if j != i {
						gateways[j].ApplyCacheUpdates(now, updates)
					}
				}
			}
		}
		if now.Sub(lastExchange) >= exchangeInterval {
			lastExchange = now
		}
		c := gateways[gateway].Choose(now, q)
		request := gateways[gateway].StartDispatch(now, c.PrefillEndpoint, q, c.PrefillUncachedTokens, c.PrefillLatency)
		inFlight[gateway] = append(inFlight[gateway], prefillInFlight{request, now.Add(c.PrefillLatency)})
		return c.PrefillEndpoint.ID()
	}
	onTime, prefilled := simulate(choose)

	next := 0
	baseOnTime, basePrefilled := simulate(func(time.Time, int, *Query) string {
		next++
		return fmt.Sprintf("p%d", next%loadEngines)
	})
	t.Logf("on time %.3f, round robin %.3f; tokens prefilled %d, round robin %d", onTime, baseOnTime, prefilled, basePrefilled)
	assert.Assert(t, prefilled*2 < basePrefilled)
	assert.Assert(t, onTime > baseOnTime && onTime*100 >= minOnTimePercent)
}
