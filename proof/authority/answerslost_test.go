package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// Bounds of TestHolderAnswersLost.
const (
	// refusalBound is how long entries may refuse keyed requests after the answers
	// of the holder began to be lost.
	refusalBound = 5 * time.Second
	// lostFor is how long the answers are lost.
	lostFor = 12 * time.Second
	// mostTerms is how many terms may pass meanwhile.
	mostTerms = 2
)

// TestHolderAnswersLost loses the answers of the holder to entries and replicas, while
// it hears them all. It must not stay the holder: entries serve keyed requests
// again within the bound and from then on, long before the cut is over, and the
// authority does not go to and fro. With the longer lease, the replicas' late
// messages are enough to keep it.
func TestHolderAnswersLost(t *testing.T) {
	t.Parallel()
	t.Run("defaultLease", func(t *testing.T) { loseAnswers(t, nil) })
	t.Run("longLease", func(t *testing.T) { loseAnswers(t, map[string]int{"electionMillis": 3000, "leaseMillis": 2700}) })
}

func loseAnswers(t *testing.T, timing map[string]int) {
	t.Parallel()
	c := start(t, sqcluster.Config{ProxyControls: true, ControlTiming: timing})
	old := holder(t, c)
	before, err := c.Status(t.Context(), old)
	assert.NilError(t, err)
	assert.NilError(t, old.Proxy().DropResponses())
	took := lastRefusal(t, c, lostFor)
	t.Logf("keyed requests refused until %v after the cut", took.Round(time.Millisecond))
	assert.NilError(t, old.Proxy().Heal())
	settle(t, c)
	after, err := c.Status(t.Context(), holder(t, c))
	assert.NilError(t, err)
	t.Logf("term %d before, %d after", before.GetTerm(), after.GetTerm())
	assert.Assert(t, took < refusalBound)
	assert.Assert(t, after.GetTerm() > before.GetTerm())
	assert.Assert(t, after.GetTerm()-before.GetTerm() <= mostTerms)
	judge(t, record(t, c))
}

// lastRefusal asks every entry with a key for some time, and returns when one
// of them last refused.
func lastRefusal(t *testing.T, c *sqcluster.Cluster, during time.Duration) time.Duration {
	t.Helper()
	key := sqcluster.DefaultTeams()[0].Key()
	var last time.Duration
	for began := time.Now(); time.Since(began) < during; {
		for _, e := range c.Entries() {
			if ask(t, e, key) != "" {
				last = time.Since(began)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}
