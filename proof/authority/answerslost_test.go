package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// Durations and bounds of TestHolderAnswersLost.
const (
	// maxRefusalTime is how long entries may refuse requests with an API key,
	// counted from the first lost answer of the lease holder.
	maxRefusalTime = 5 * time.Second
	// answerLossDuration is how long the lease holder's answers are lost.
	answerLossDuration = 12 * time.Second
	// maxTermChanges is by how much the term may grow during the loss.
	maxTermChanges = 2
)

// TestHolderAnswersLost drops the lease holder's answers to entries and replicas
// while it still receives all of their messages. The lease must move to another
// replica: entries serve requests with an API key again within maxRefusalTime and
// from then on, long before the partition heals, and the lease does not alternate
// between replicas. With the longer lease, the replicas' late messages are enough
// for the lease holder to keep its lease.
func TestHolderAnswersLost(t *testing.T) {
	t.Parallel()
	t.Run("defaultLease", func(t *testing.T) { testAnswersLost(t, nil) })
	t.Run("longLease", func(t *testing.T) { testAnswersLost(t, map[string]int{"electionMillis": 3000, "leaseMillis": 2700}) })
}

func testAnswersLost(t *testing.T, timing map[string]int) {
	t.Parallel()
	c := start(t, sqcluster.Config{ProxyControls: true, ControlTiming: timing})
	old := waitHolder(t, c)
	before, err := c.Status(t.Context(), old)
	assert.NilError(t, err)
	assert.NilError(t, old.Proxy().DropResponses())
	took := lastRefusal(t, c, answerLossDuration)
	t.Logf("requests with an API key were refused until %v after the answers were cut", took.Round(time.Millisecond))
	assert.NilError(t, old.Proxy().Heal())
	waitSettled(t, c)
	after, err := c.Status(t.Context(), waitHolder(t, c))
	assert.NilError(t, err)
	t.Logf("term %d before, %d after", before.GetTerm(), after.GetTerm())
	assert.Assert(t, took < maxRefusalTime)
	assert.Assert(t, after.GetTerm() > before.GetTerm())
	assert.Assert(t, after.GetTerm()-before.GetTerm() <= maxTermChanges)
	assertNoViolations(t, records(t, c))
}

// lastRefusal sends requests with a valid API key to every entry for the given
// duration and returns the time from the start to the last refusal.
func lastRefusal(t *testing.T, c *sqcluster.Cluster, duration time.Duration) time.Duration {
	t.Helper()
	key := sqcluster.DefaultTeams()[0].Key()
	var last time.Duration
	for began := time.Now(); time.Since(began) < duration; {
		for _, e := range c.Entries() {
			if chatRefusal(t, e, key) != "" {
				last = time.Since(began)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}
