package sqraft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// darkAfterRestart returns the mean time from the restart of all replicas to the
// next holder.
func darkAfterRestart(t *testing.T, timing Timing) time.Duration {
	const worlds = 200
	sum := time.Duration(0)
	for seed := range uint64(worlds) {
		w := newWorldWith(timing, newSeeded(seed), 3+2*int(seed%2))
		settle(t, w)
		for _, n := range w.nodes {
			n.crash()
		}
		since := w.now
		for _, n := range w.nodes {
			n.start()
		}
		settle(t, w)
		sum += w.now - since
	}
	return sum / worlds
}

// TestTrustingLeaderActsAtOnce: when all replicas restart together, the promises
// that they begin with have run out at the election, so that the length of a
// lease need not pass once more.
func TestTrustingLeaderActsAtOnce(t *testing.T) {
	waiting, trustful := darkAfterRestart(t, modelTiming), darkAfterRestart(t, trusting)
	t.Logf("until the next holder: %v with the wait, %v without", waiting, trustful)
	assert.Assert(t, waiting-trustful >= modelTiming.LeaseDuration)
}
