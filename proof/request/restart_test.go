package request

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// TestRollingRestartCutsNothing stops and starts every process of the system,
// one after the other, under load: not one request may fail.
func TestRollingRestartCutsNothing(t *testing.T) {
	c := start(t, sqcluster.Config{EntryTiming: map[string]int{"keepMillis": 700}})
	l := startLoad(t, c, smallMix(11))
	for _, e := range c.Entries() {
		restart(t, c, e.Process, e.InternalAddress())
		assert.NilError(t, c.WaitUntilServing(context.Background()))
	}
	for _, n := range c.Controls() {
		restart(t, c, n.Process, n.DirectAddress())
		_, err := c.WaitForHolder(context.Background())
		assert.NilError(t, err)
	}
	r := l.finish()
	judgeAllWhole(t, r)
	assert.Equal(t, r.UnansweredAttempts, 0, "attempts had no answer: an entry stopped accepting before callers had gone elsewhere")
	assert.Assert(t, r.Finished > 100, "only %d requests", r.Finished)
	entries := record(t, c)
	judgeCalls(t, entries, r.Bookings)
	noneCut(t, entries)
	noKeySeen(t, entries)
}

// restart stops a process in order and starts it again.
func restart(t *testing.T, c *sqcluster.Cluster, p *sqcluster.Process, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	code, err := p.Stop(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 0, "%s ended with a failure", p.Name())
	assert.NilError(t, p.Start())
	assert.NilError(t, c.WaitUntilHealthy(ctx, p, address))
}
