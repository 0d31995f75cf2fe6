//go:build sqfault

package sqraft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestJudgeCatchesMissingLeaseWait: the lease wait and the vote promises each
// keep leases apart. The checks can see a fault in one only if the other is off
// too.
func TestJudgeCatchesMissingLeaseWait(t *testing.T) {
	defer SetFaults()
	SetFaults("leaseWait", "promise")
	requireViolation(t, func(c *simCluster) { c.skipPreviousLeaseCheck = true })
}

func TestJudgeCatchesMissingRestartWait(t *testing.T) {
	defer SetFaults()
	SetFaults("leaseWait", "restartWait")
	requireViolation(t, func(c *simCluster) { c.skipPreviousLeaseCheck = true })
}

func TestJudgeCatchesHandOverWithoutGivingUp(t *testing.T) {
	defer SetFaults()
	SetFaults("giveUp")
	requireViolation(t, func(c *simCluster) { c.skipPreviousLeaseCheck = true })
}

// TestJudgeCatchesHandOverBeforeEarlierLeaseEnds: only without the followers'
// vote promises does an earlier lease still run after the election of the
// leader that transfers its leadership.
func TestJudgeCatchesHandOverBeforeEarlierLeaseEnds(t *testing.T) {
	defer SetFaults()
	SetFaults("handOverFrom", "promise")
	requireViolation(t, func(c *simCluster) { c.skipPreviousLeaseCheck, c.transfersPerMille = true, 12 })
}

// TestJudgeCatchesWrongEndOfPreviousLeases: Lease.PreviousLeasesEnd rests on
// the vote promises and on what voters report of them.
func TestJudgeCatchesWrongEndOfPreviousLeases(t *testing.T) {
	defer SetFaults()
	for _, fault := range []string{"promiseOver", "promise", "restartWait"} {
		SetFaults(fault)
		requireViolation(t, func(c *simCluster) { c.faultsPerMille = 8 })
	}
}

// TestJudgeCatchesSkippedLeaseWaitWithoutPromises: a leader with SkipLeaseWait
// relies on the vote promises alone, after a restart too.
func TestJudgeCatchesSkippedLeaseWaitWithoutPromises(t *testing.T) {
	defer SetFaults()
	for _, fault := range []string{"promise", "restartWait"} {
		SetFaults(fault)
		requireViolationWith(t, noWaitTiming, func(c *simCluster) { c.skipPreviousLeaseCheck, c.faultsPerMille = true, 8 })
	}
}

func TestJudgeCatchesMissingPreVote(t *testing.T) {
	defer SetFaults()
	SetFaults("preVote")
	assert.Assert(t, reconnectEndsTerm(t))
}

// TestLayersEachProtectLeases checks that no violation occurs with only the
// vote promises or only the lease wait.
func TestLayersEachProtectLeases(t *testing.T) {
	defer SetFaults()
	for _, faults := range [][]string{{"leaseWait"}, {"promise", "restartWait"}} {
		SetFaults(faults...)
		for i := range uint64(maxDetectionRuns / 16) {
			c := newCluster(newRandomSource(i), 3+2*int(i%2))
			c.skipPreviousLeaseCheck = true
			assert.Equal(t, c.run(stepsPerRun), "", "%v, seed %d", faults, i)
		}
	}
}
