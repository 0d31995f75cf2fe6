package request

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqfleet"
)

// TestTransferFails drains a busy engine while every engine fails the export or the
// import of KV caches, with another kind of fault each time. The answers must still
// move to another engine, by a new prefill, and be complete.
func TestTransferFails(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: sqfleet.Settings{Engines: sqfleet.EngineSettings{Count: 6}}})
	faults := []sqfault.Fault{
		{Kind: sqfault.Refused, Phase: sqfault.OnKVExport},
		{Kind: sqfault.Reset, Phase: sqfault.OnKVImport},
		{Kind: sqfault.Malformed, Phase: sqfault.OnKVExport},
		{Kind: sqfault.Refused, Phase: sqfault.OnKVImport},
	}
	for i, f := range faults {
		t.Run(string(f.Kind)+" "+string(f.Phase), func(t *testing.T) {
			before := countTriggeredFaults(t, c)
			for _, e := range c.Endpoints("engine") {
				assert.NilError(t, c.InjectFault(e.Address, f))
			}
			assertWholeStreams(t, c, c.Entries()[i%len(c.Entries())].Zone(), longStreamTokens, func() {
				vm := waitForBusyEngine(t, c, anyEngine).ID
				_, err := c.CommandOutput(context.Background(), "", "drain", vm)
				assert.NilError(t, err)
			})
			assert.Assert(t, countTriggeredFaults(t, c) > before, "no transfer failed")
			for _, e := range c.Endpoints("engine") {
				assert.NilError(t, c.ClearFaults(e.Address))
			}
		})
	}
}

// countTriggeredFaults counts the requests and orders that triggered a fault of an
// engine.
func countTriggeredFaults(t *testing.T, c *sqcluster.Cluster) int {
	t.Helper()
	triggered := 0
	for _, e := range c.Endpoints("engine") {
		var s faultStatus
		assert.NilError(t, c.GetJSON(e.Address, "/standin/faults", &s))
		triggered += s.Taken
	}
	return triggered
}
