package request

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// TestRollingRestartFailsNoRequest restarts every process of the system, one
// after the other, under load: no request may fail.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	c := start(t, sqcluster.Config{EntryTiming: map[string]int{"keepMillis": 700}})
	l := startLoad(t, c, lightLoad(11))
	for _, e := range c.Entries() {
		restartProcess(t, c, e.Process, e.InternalAddress())
		assert.NilError(t, c.WaitUntilServing(context.Background()))
	}
	for _, n := range c.Controls() {
		restartProcess(t, c, n.Process, n.DirectAddress())
		_, err := c.WaitForHolder(context.Background())
		assert.NilError(t, err)
	}
	r := l.finish()
	assertAllWhole(t, r)
	assert.Equal(t, r.UnansweredAttempts, 0, "attempts got no answer: an entry stopped accepting before callers had moved away")
	assert.Assert(t, r.Finished > 100, "only %d requests", r.Finished)
	entries := records(t, c)
	assertCallsConsistent(t, entries, r.Bookings)
	assertNoneCut(t, entries)
	assertNoKeyLeaked(t, entries)
}

// restartProcess shuts a process down gracefully and starts it again.
func restartProcess(t *testing.T, c *sqcluster.Cluster, p *sqcluster.Process, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	code, err := p.Stop(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 0, "%s exited with an error", p.Name())
	assert.NilError(t, p.Start())
	assert.NilError(t, c.WaitUntilHealthy(ctx, p, address))
}
