package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqrecord"
)

// TestSilentEnginesDelayNothing pauses half of the engines while their roles
// change, and kills the holder. The next one reports usage in time all the same:
// engines that do not answer hold up only their own orders.
func TestSilentEnginesDelayNothing(t *testing.T) {
	t.Parallel()
	cfg := restless()
	cfg.Fleet.Engines.Count = 8
	cfg.ControlTiming = map[string]int{"pollMillis": 100, "planMillis": 200}
	cfg.Declarations.BillingWindow = time.Second
	c := start(t, cfg)
	engines := c.Endpoints("engine")
	swing(t, c)
	eventually(t, c, "engines receive orders", func() bool { n, _ := orders(record(t, c)); return n > 2 })
	for _, e := range engines[:4] {
		assert.NilError(t, c.PostJSON(e.Address, "/standin/pause", nil, nil))
	}
	eventually(t, c, "orders to silent engines are open", func() bool { return openFor(t, c, engineIDs(c)[:4]...) > 2 })
	n := holder(t, c)
	term := newestTerm(record(t, c))
	killed := time.Now()
	n.Kill()
	eventually(t, c, "a new holder reports usage", func() bool { return newestTerm(record(t, c)) > term })
	took := time.Since(killed)
	t.Logf("usage of a new holder after %v", took.Round(time.Millisecond))
	assert.Assert(t, took < newHolderBound)
	for _, e := range engines[:4] {
		assert.NilError(t, c.PostJSON(e.Address, "/standin/resume", nil, nil))
	}
	settle(t, c)
	judge(t, record(t, c))
}

// openFor counts the open orders for some engines.
func openFor(t *testing.T, c *sqcluster.Cluster, ids ...string) int {
	t.Helper()
	s, _, err := c.HolderStatus(t.Context())
	if err != nil {
		return 0
	}
	n := 0
	for _, o := range s.GetOrders() {
		for _, id := range ids {
			if !o.GetClosed() && o.GetOrder().GetTarget() == id {
				n++
			}
		}
	}
	return n
}

func engineIDs(c *sqcluster.Cluster) []string {
	var ids []string
	for _, e := range c.Endpoints("engine") {
		ids = append(ids, e.ID)
	}
	return ids
}

// newestTerm returns the newest term in which usage was reported.
func newestTerm(entries []sqrecord.Entry) uint64 {
	term := uint64(0)
	for _, e := range entries {
		if e.Kind == sqrecord.UsageReported {
			term = max(term, e.FencingTerm)
		}
	}
	return term
}
