package sqraft

import "testing"

// maxDetectionRuns bounds the number of schedules in which the checks must find
// an injected fault.
const maxDetectionRuns = 8000

// requireViolation fails the test unless the checks of simCluster find a
// violation within maxDetectionRuns schedules. configure changes each
// simCluster before its run.
func requireViolation(t *testing.T, configure func(c *simCluster)) {
	t.Helper()
	requireViolationWith(t, modelTiming, configure)
}

func requireViolationWith(t *testing.T, timing Timing, configure func(c *simCluster)) {
	t.Helper()
	for i := range uint64(maxDetectionRuns) {
		c := newTimedCluster(timing, newRandomSource(i), 3+2*int(i%2))
		configure(c)
		if violation := c.run(stepsPerRun); violation != "" {
			t.Logf("found in run %d: %s", i, violation)
			return
		}
	}
	t.Fatalf("the checks missed the fault in %d runs", maxDetectionRuns)
}

func TestJudgeCatchesMissingSync(t *testing.T) {
	requireViolation(t, func(c *simCluster) { c.syncDisabled = true })
}

func TestJudgeCatchesReusedIdentity(t *testing.T) {
	requireViolation(t, func(c *simCluster) { c.keepIDAfterDiskLoss = true })
}
