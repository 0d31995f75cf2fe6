package sqplace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated loads: many gateways that exchange updates with a delay, engines whose caches
// hold only some of the shared parts each, and long prompts that mostly repeat. The numbers
// are those of an assistant that reads catalogues.
const (
	loadGateways     = 8
	loadEngines      = 8
	loadSharedParts  = 150
	loadPerSecond    = 23
	loadSharedTokens = 13_000
	loadSuffixTokens = 3700
	// firstTokenObjective is the time within which the first token shall arrive for
	// minOnTimePercent of the requests: the users' requirement at the size that they
	// grow to.
	firstTokenObjective = 720 * time.Millisecond
	minOnTimePercent    = 95
	// shortPerLoadSecond is how many short prompts share the engines with the long ones, and
	// shortPromptTarget the time within which one shall be prefilled.
	shortPerLoadSecond = 185
	shortPromptTarget  = 150 * time.Millisecond
)

// newLoadSim returns prefill engines and one for the decode stage, which is not simulated.
func newLoadSim(t *testing.T, seed1, seed2 uint64) *sim {
	fleet := simFleet(loadEngines, func(i int) Endpoint { return engineEndpoint(fmt.Sprint("p", i), Prefill) })
	s := newSim(t, seed1, seed2, loadGateways, append(fleet, engineEndpoint("d0", Decode))...)
	delete(s.engines, "d0")
	return s
}

func (s *sim) longPrompt() *Query {
	return engineQuery(fmt.Sprint("s", s.random.IntN(loadSharedParts)), loadSharedTokens, loadSuffixTokens)
}

// TestPrefixPlacementBeatsRoundRobin checks that placement by cached prefixes prefills
// fewer than half of the tokens that round robin does, and serves more requests on
// time.
func TestPrefixPlacementBeatsRoundRobin(t *testing.T) {
	play := func(choose func() Choice) (onTime float64, prefilled int) {
		s := newLoadSim(t, 1, 2)
		// Before the end of the warm-up, most parts are prefilled for the first time, which no
		// placement can avoid.
		return s.play(simLoad{perSecond: loadPerSecond, seconds: 60, warmupSeconds: 20, exchangeEvery: 300 * time.Millisecond, choose: choose,
			request: func(int) (*Query, time.Duration) { return s.longPrompt(), firstTokenObjective }})
	}
	onTime, prefilled := play(nil)
	next := 0
	baseOnTime, basePrefilled := play(func() Choice {
		next++
		e := engineEndpoint(fmt.Sprint("p", next%loadEngines), Prefill)
		return Choice{PrefillEndpoint: &e}
	})
	t.Logf("on time %.3f, round robin %.3f; tokens prefilled %d, round robin %d", onTime, baseOnTime, prefilled, basePrefilled)
	assert.Assert(t, prefilled*2 < basePrefilled)
	assert.Assert(t, onTime > baseOnTime && onTime*100 >= minOnTimePercent)
}

// TestFasterLoadExchangeHelps guards against short prompts that wait behind long
// prompts of which their gateway does not know yet: with a shorter exchange period,
// more short prompts must be prefilled in time.
func TestFasterLoadExchangeHelps(t *testing.T) {
	onTime := func(exchangeEvery time.Duration) float64 {
		s := newLoadSim(t, 3, 4)
		const perSecond = shortPerLoadSecond + loadPerSecond
		share, _ := s.play(simLoad{perSecond: perSecond, seconds: 30, exchangeEvery: exchangeEvery, request: func(int) (*Query, time.Duration) {
			q := s.longPrompt()
			if s.random.IntN(perSecond) < loadPerSecond {
				return q, 0
			}
			q = engineQuery("greeting", 92, 291)
			q.Urgent = true
			return q, shortPromptTarget
		}})
		return share
	}
	slow, fast := onTime(200*time.Millisecond), onTime(100*time.Millisecond)
	t.Logf("short prompts prefilled in time: %.3f with exchange every 0.2 s, %.3f with 0.1 s", slow, fast)
	assert.Assert(t, fast > slow)
}
