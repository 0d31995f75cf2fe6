package sqplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated load: short and long prompts share the prefill engines, and gateways
// exchange what they have sent only at intervals.
const (
	shortPromptsPerSecond = 185
	longPromptsPerSecond  = 23
	simulatedSeconds      = 30
	// shortPromptTarget is the time within which a short prompt shall be prefilled.
	shortPromptTarget = 150 * time.Millisecond
)

// prefillInFlight is a request at a prefill engine until doneAt, when its prompt is
// prefilled.
type prefillInFlight struct {
	request *Dispatch
	doneAt  time.Time
}

// shortPromptsOnTime simulates the load with gateways that exchange updates every
// exchangePeriod, and returns the share of short prompts prefilled in time.
func shortPromptsOnTime(t *testing.T, exchangePeriod time.Duration) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	fleet := []Endpoint{engineEndpoint("d0", Decode)}
	engines := map[string]*simEngine{}
	for i := range loadEngines {
		id := fmt.Sprintf("p%d", i)
		fleet = append(fleet, engineEndpoint(id, Prefill))
		engines[id] = &simEngine{cache: newPrefixCache()}
	}
	gateways := make([]*Placer, loadGateways)
	for i := range gateways {
		gateways[i] = newPlacer(t, fleet...)
		gateways[i].randomState = uint64(i)
	}
	inFlight := make([][]prefillInFlight, loadGateways)
	lastExchange, onTime, total := start, 0, 0
	const perSecond = shortPromptsPerSecond + longPromptsPerSecond
	for n := range perSecond * simulatedSeconds {
		now := start.Add(time.Duration(n) * time.Second / perSecond)
		for g := range inFlight {
			inFlight[g] = finishPrefills(inFlight[g], now)
		}
		if now.Sub(lastExchange) >= exchangePeriod {
			lastExchange = now
			exchangeUpdates(now, gateways)
		}
		g := random.IntN(loadGateways)
		q := engineQuery(fmt.Sprintf("s%d", random.IntN(loadSharedParts)), loadSharedTokens, loadSuffixTokens)
		long := random.IntN(perSecond) < longPromptsPerSecond
		if !long {
			q = engineQuery("greeting", 92, 291)
			q.Urgent = true
		}
		c := gateways[g].Choose(now, q)
		if c.PrefillEndpoint == nil {
			continue
		}
		done, _ := engines[c.PrefillEndpoint.ID()].prefill(now, q)
		request := gateways[g].StartDispatch(now, c.PrefillEndpoint, q, c.PrefillUncachedTokens, c.PrefillLatency)
		inFlight[g] = append(inFlight[g], prefillInFlight{request, done})
		if !long {
			total++
			if done.Sub(now) <= shortPromptTarget {
				onTime++
			}
		}
	}
	return float64(onTime) / float64(total)
}

// finishPrefills ends the requests whose prompt is prefilled by now and returns the
// others.
func finishPrefills(inFlight []prefillInFlight, now time.Time) []prefillInFlight {
	running := inFlight[:0]
	for _, f := range inFlight {
		if f.doneAt.After(now) {
			running = append(running, f)
			continue
		}
		f.request.RecordFirstToken(f.doneAt)
		f.request.Finish(f.doneAt, true, true)
	}
	return running
}

// exchangeUpdates gives each gateway the loads and cache updates of all others.
func exchangeUpdates(now time.Time, gateways []*Placer) {
	for i, p := range gateways {
		sum := map[string]Load{}
		for j, other := range gateways {
			if j == i {
				continue
			}
			for id, l := range other.OwnLoads() {
				sum[id] = Load{Running: sum[id].Running + l.Running, PrefillTokens: sum[id].PrefillTokens + l.PrefillTokens}
			}
		}
		p.SetPeerLoads(sum)
		updates := p.TakeCacheUpdates()
		for j, other := range gateways {
			if j != i {
				other.ApplyCacheUpdates(now, updates)
			}
		}
	}
}

// TestFasterLoadExchangeHelps guards against short prompts that wait behind long
// prompts of which their gateway does not know yet: with a shorter exchange period,
// more short prompts must be prefilled in time.
func TestFasterLoadExchangeHelps(t *testing.T) {
	slow, fast := shortPromptsOnTime(t, 200*time.Millisecond), shortPromptsOnTime(t, 100*time.Millisecond)
	t.Logf("short prompts prefilled in time: %.3f with exchange every 0.2 s, %.3f with 0.1 s", slow, fast)
	assert.Assert(t, fast > slow)
}
