package request

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqfleet"
)

// TestTransferFails drains a busy engine while every engine fails its part in
// the transfer of KV caches, each time in another way. The answers are moved all
// the same, by a fresh prefill, and are whole.
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
			before := faultsMet(t, c)
			for _, e := range c.Endpoints("engine") {
				assert.NilError(t, c.InjectFault(e.Address, f))
			}
			expectWholeWhen(t, c, c.Entries()[i%len(c.Entries())].Zone(), longStreamTokens, func() {
				vm := waitBusy(t, c, anyEngine).ID
				_, err := c.CommandOutput(context.Background(), "", "drain", vm)
				assert.NilError(t, err)
			})
			assert.Assert(t, faultsMet(t, c) > before, "no transfer failed")
			for _, e := range c.Endpoints("engine") {
				assert.NilError(t, c.ClearFaults(e.Address))
			}
		})
	}
}

// faultsMet counts the requests and orders that met a fault at an engine.
func faultsMet(t *testing.T, c *sqcluster.Cluster) int {
	t.Helper()
	met := 0
	for _, e := range c.Endpoints("engine") {
		var s faultStatus
		assert.NilError(t, c.GetJSON(e.Address, "/standin/faults", &s))
		met += s.Taken
	}
	return met
}
