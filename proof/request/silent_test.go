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

// silentKnown bounds the time until every entry knows that an engine fell
// silent: a reading every 2.5 s of an idle one, three polls without an answer of
// half a second each, and one more for the machine.
const silentKnown = 5 * time.Second

// circuitOpened reports whether an entry has logged that it chooses an endpoint no
// more.
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

// TestEveryEntryHearsOfSilence pauses engines, without work and under load: all
// entries stop choosing each of them, also those that don't read it themselves.
func TestEveryEntryHearsOfSilence(t *testing.T) {
	c := start(t, sqcluster.Config{EntryCount: 7, Fleet: sqfleet.Settings{
		Fleet: sqfleet.FleetSettings{Scale: 0.5}, Engines: sqfleet.EngineSettings{Count: 20},
	}})
	engines := c.Endpoints("engine")
	pauseEach(t, c, "idle", engines[:4])
	mix := smallMix(71)
	mix.ChatRate = 50
	l := startLoad(t, c, mix)
	time.Sleep(5 * time.Second)
	pauseEach(t, c, "under load", engines[4:8])
	l.finish()
}

// pauseEach pauses engines one after another until every entry knows of it.
func pauseEach(t *testing.T, c *sqcluster.Cluster, when string, engines []sqfleet.Endpoint) {
	t.Helper()
	var times []time.Duration
	for _, e := range engines {
		assert.NilError(t, c.PostJSON(e.Address, "/standin/pause", nil, nil))
		from := time.Now()
		known := map[string]bool{}
		assert.NilError(t, c.Eventually(context.Background(), "all entries know of "+e.ID, func() bool {
			for _, n := range c.Entries() {
				if !known[n.Name()] && circuitOpened(n, e.ID) {
					known[n.Name()] = true
					times = append(times, time.Since(from))
				}
			}
			return len(known) == len(c.Entries())
		}))
		assert.NilError(t, c.PostJSON(e.Address, "/standin/resume", nil, nil))
	}
	slices.Sort(times)
	t.Logf("%s: known after %v, %v and %v: least, middle and most of %d", when, times[0], times[len(times)/2], times[len(times)-1], len(times))
	assert.Assert(t, times[len(times)-1] < silentKnown)
}
