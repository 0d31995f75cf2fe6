package request

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfleet"
)

// maxDetectionTime bounds the time until every entry knows that an engine does not
// answer: an idle engine is read every 2.5 s, three polls without an answer take half
// a second each, and one more second allows for a busy machine.
const maxDetectionTime = 5 * time.Second

// circuitOpened reports whether an entry has logged that it no longer chooses an
// endpoint.
func circuitOpened(n *sqcluster.Entry, id string) bool {
	out, err := os.ReadFile(n.Output())
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "circuit opened") && strings.Contains(line, `"endpoint":"`+id+`"`) {
			return true
		}
	}
	return false
}

// TestEveryEntryDetectsPausedEngine pauses engines, both idle and under load. All
// entries stop choosing each paused engine, also those entries that do not read it
// themselves.
func TestEveryEntryDetectsPausedEngine(t *testing.T) {
	c := start(t, sqcluster.Config{EntryCount: 7, Fleet: sqfleet.Settings{
		Fleet: sqfleet.FleetSettings{Scale: 0.5}, Engines: sqfleet.EngineSettings{Count: 20},
	}})
	engines := c.Endpoints("engine")
	assertPausesDetected(t, c, "idle", engines[:4])
	mix := lightLoad(71)
	mix.ChatRate = 50
	l := startLoad(t, c, mix)
	time.Sleep(5 * time.Second)
	assertPausesDetected(t, c, "under load", engines[4:8])
	l.finish()
}

// assertPausesDetected pauses engines one after the other, each until every entry has
// stopped choosing it, and resumes it.
func assertPausesDetected(t *testing.T, c *sqcluster.Cluster, condition string, engines []sqfleet.Endpoint) {
	t.Helper()
	var delays []time.Duration
	for _, e := range engines {
		assert.NilError(t, c.PostJSON(e.Address, "/standin/pause", nil, nil))
		pausedAt := time.Now()
		detected := map[string]bool{}
		assert.NilError(t, c.Eventually(context.Background(), "all entries open the circuit of "+e.ID, func() bool {
			for _, n := range c.Entries() {
				if !detected[n.Name()] && circuitOpened(n, e.ID) {
					detected[n.Name()] = true
					delays = append(delays, time.Since(pausedAt))
				}
			}
			return len(detected) == len(c.Entries())
		}))
		assert.NilError(t, c.PostJSON(e.Address, "/standin/resume", nil, nil))
	}
	slices.Sort(delays)
	t.Logf("%s: detected after %v min, %v median, %v max of %d", condition, delays[0], delays[len(delays)/2], delays[len(delays)-1], len(delays))
	assert.Assert(t, delays[len(delays)-1] < maxDetectionTime)
}
