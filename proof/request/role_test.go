package request

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

// TestRoleChangesCutNothing swings the load between long prompts and long
// answers under a policy that changes roles eagerly. Engines are drained before
// each change: no request is cut, refused or wrong, and answers go on at other
// engines by their KV cache.
func TestRoleChangesCutNothing(t *testing.T) {
	c := start(t, sqcluster.Config{
		Fleet: sqfleet.Settings{Engines: sqfleet.EngineSettings{
			Count: 6, PrefillCount: 3, DecodeCount: 3, MaxBatch: 6, RoleChangeMillis: 8000,
		}},
		ControlPolicy: map[string]string{"roles": "reactive", "stock": "off"},
		ControlTiming: map[string]int{"planMillis": 250},
	})
	cfg := heavyMix(53)
	cfg.LongPromptShareMin, cfg.LongPromptShareMax = 0.05, 0.95
	l := startLoad(t, c, cfg)
	demand := c.StartDemandReporter(2 * time.Second)
	defer demand.Stop()
	assert.NilError(t, c.Eventually(context.Background(), "engines changed their roles", func() bool {
		return roleChanges(record(t, c)) >= 4
	}))
	r := l.finish()
	judgeRoles(t, r, record(t, c))
}

func judgeRoles(t *testing.T, r *sqmix.Report, entries []sqrecord.Entry) {
	t.Helper()
	judgeAllWhole(t, r)
	noneCut(t, entries)
	resumed := 0
	open := map[string]string{}
	for _, e := range entries {
		switch e.Kind {
		case sqrecord.RequestResumed:
			resumed++
		case sqrecord.OrderReceived:
			other := open[e.Source]
			assert.Assert(t, other == "" || other == e.OrderID, "%s got %s while %s was open", e.Source, e.OrderID, other)
			if e.Detail == "started" {
				open[e.Source] = e.OrderID
			}
		case sqrecord.OrderEnded:
			open[e.Source] = ""
		}
	}
	t.Logf("%d role changes, %d streams went on at another engine", roleChanges(entries), resumed)
	assert.Assert(t, resumed > 0)
}

// roleChanges counts the changes that ended.
func roleChanges(entries []sqrecord.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.OrderEnded && e.OrderKind == "role" {
			n++
		}
	}
	return n
}
