package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqrecord"
)

// TestUnresponsiveEnginesDelayNoOthers pauses half of the engines while
// their roles change, and kills the lease holder. The next lease holder must still
// report usage within maxTakeOverTime: engines that do not answer delay only their
// own orders.
func TestUnresponsiveEnginesDelayNoOthers(t *testing.T) {
	t.Parallel()
	cfg := frequentOrdersConfig()
	cfg.Fleet.Engines.Count = 8
	cfg.ControlTiming = map[string]int{"pollMillis": 100, "planMillis": 200}
	cfg.Declarations.BillingWindow = time.Second
	c := start(t, cfg)
	engines := c.Endpoints("engine")
	startSwingingLoad(t, c)
	eventually(t, c, "engines receive orders", func() bool { n, _ := engineOrders(records(t, c)); return n > 2 })
	for _, e := range engines[:4] {
		assert.NilError(t, c.PostJSON(e.Address, "/standin/pause", nil, nil))
	}
	eventually(t, c, "orders to paused engines are open", func() bool { return countOpenOrders(t, c, engineIDs(c)[:4]...) > 2 })
	n := waitHolder(t, c)
	term := newestUsageTerm(records(t, c))
	killed := time.Now()
	n.Kill()
	eventually(t, c, "a new lease holder reports usage", func() bool { return newestUsageTerm(records(t, c)) > term })
	took := time.Since(killed)
	t.Logf("first usage report of the new lease holder after %v", took.Round(time.Millisecond))
	assert.Assert(t, took < maxTakeOverTime)
	for _, e := range engines[:4] {
		assert.NilError(t, c.PostJSON(e.Address, "/standin/resume", nil, nil))
	}
	waitSettled(t, c)
	assertNoViolations(t, records(t, c))
}

// countOpenOrders counts the open orders for the given engines.
func countOpenOrders(t *testing.T, c *sqcluster.Cluster, ids ...string) int {
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

// newestUsageTerm returns the newest term in which usage was reported.
func newestUsageTerm(entries []sqrecord.Entry) uint64 {
	term := uint64(0)
	for _, e := range entries {
		if e.Kind == sqrecord.UsageReported {
			term = max(term, e.FencingTerm)
		}
	}
	return term
}
