package sqraft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// meanTimeToHolderAfterRestart returns the mean time from the restart of all
// replicas until one holds the lease.
func meanTimeToHolderAfterRestart(t *testing.T, timing Timing) time.Duration {
	const runs = 200
	total := time.Duration(0)
	for seed := range uint64(runs) {
		c := newTimedCluster(timing, newRandomSource(seed), 3+2*int(seed%2))
		runUntilHolder(t, c)
		for _, n := range c.nodes {
			n.crash()
		}
		since := c.now
		for _, n := range c.nodes {
			n.start()
		}
		runUntilHolder(t, c)
		total += c.now - since
	}
	return total / runs
}

// TestLeaderSkipsLeaseWait checks that SkipLeaseWait saves the length of a
// lease when all replicas restart together. The vote promises that they begin
// with have run out at the election, so there is no need to wait for a lease as
// well.
func TestLeaderSkipsLeaseWait(t *testing.T) {
	waiting, notWaiting := meanTimeToHolderAfterRestart(t, modelTiming), meanTimeToHolderAfterRestart(t, noWaitTiming)
	t.Logf("mean time to the next holder: %v with the lease wait, %v without", waiting, notWaiting)
	assert.Assert(t, waiting-notWaiting >= modelTiming.LeaseDuration)
}
