package sqfleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const retention = 3 * time.Second

func timeAt(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func engineConfig(id string) EndpointConfig {
	return EndpointConfig{ID: id, Address: id + ":1", Kind: KindEngine, State: Live}
}

func stateOf(t *testing.T, table *Table, id string) State {
	t.Helper()
	e, known := table.Find(id)
	assert.Assert(t, known)
	return e.State()
}

func TestEndpointStaysUntilRetentionEnds(t *testing.T) {
	table := New(Config{Retention: retention}, 100)
	table.ApplyList(timeAt(0), []EndpointConfig{engineConfig("e1"), engineConfig("e2")})
	before := table.Revision()
	assert.Assert(t, before > 100)
	table.ApplyList(timeAt(1), []EndpointConfig{engineConfig("e1")})
	table.ApplyList(timeAt(3), []EndpointConfig{engineConfig("e1"), engineConfig("e2")})
	assert.Equal(t, table.Revision(), before)
	table.ApplyList(timeAt(5), []EndpointConfig{engineConfig("e1")})
	table.ApplyList(timeAt(6), []EndpointConfig{engineConfig("e1")})
	assert.Equal(t, len(table.All()), 2)
	table.ApplyList(timeAt(7), []EndpointConfig{engineConfig("e1")})
	assert.Equal(t, len(table.All()), 1)
	assert.Assert(t, table.Revision() > before)
}

// TestNewAddressReplacesEndpoint checks that an endpoint starts anew when its VM
// returns at another address: the VM has lost its role and models, so earlier status
// reports no longer apply.
func TestNewAddressReplacesEndpoint(t *testing.T) {
	table := New(Config{Retention: retention}, 0)
	table.ApplyList(timeAt(0), []EndpointConfig{engineConfig("e1")})
	table.ApplyStatus("e1", EngineStatus{Role: "prefill", Models: []string{"m@1"}})
	moved := engineConfig("e1")
	moved.Address = "other:1"
	table.ApplyList(timeAt(1), []EndpointConfig{moved})
	e, _ := table.Find("e1")
	assert.Assert(t, !e.Reported())
	assert.Equal(t, e.Role(), "")
	assert.Assert(t, e.FirstListed().Equal(timeAt(1)))
}

func TestStatusChangesRevisionButLoadDoesNot(t *testing.T) {
	table := New(Config{Retention: retention}, 0)
	table.ApplyList(timeAt(0), []EndpointConfig{engineConfig("e1")})
	applyStatus := func(wantChange bool, status EngineStatus) {
		t.Helper()
		before := table.Revision()
		table.ApplyStatus("e1", status)
		assert.Equal(t, table.Revision() != before, wantChange)
		e, _ := table.Find("e1")
		assert.Equal(t, e.Load(), status.Load)
	}
	models := []string{"m@1", "m@2"}
	applyStatus(true, EngineStatus{})
	applyStatus(false, EngineStatus{Load: LoadReport{Running: 3}})
	applyStatus(true, EngineStatus{Role: "both", Models: models})
	applyStatus(false, EngineStatus{Role: "both", Models: models, Load: LoadReport{Queued: 1}})
	applyStatus(true, EngineStatus{Role: "both", Models: models[:1]})
	applyStatus(true, EngineStatus{Role: "decode", Models: models[:1]})
	table.ApplyStatus("unknown", EngineStatus{})
	assert.Equal(t, len(table.All()), 1)
}

func TestSetDraining(t *testing.T) {
	table := New(Config{Retention: retention}, 0)
	table.ApplyList(timeAt(0), []EndpointConfig{engineConfig("e1"), engineConfig("e2")})
	table.SetDraining(func(id string) bool { return id == "e1" })
	assert.Equal(t, stateOf(t, table, "e1"), Draining)
	assert.Equal(t, stateOf(t, table, "e2"), Live)
	first, _ := table.Find("e1")
	table.SetDraining(func(id string) bool { return id == "e1" })
	same, _ := table.Find("e1")
	assert.Equal(t, same.DrainRevision(), first.DrainRevision())
	table.SetDraining(func(string) bool { return false })
	table.SetDraining(func(id string) bool { return id == "e1" })
	again, _ := table.Find("e1")
	assert.Assert(t, again.DrainRevision() > first.DrainRevision())
	leaving := engineConfig("e1")
	leaving.State = Leaving
	table.ApplyList(timeAt(1), []EndpointConfig{leaving, engineConfig("e2")})
	assert.Equal(t, stateOf(t, table, "e1"), Leaving)
}

// TestRevisionGrowsWithEveryVisibleChange makes random changes and checks that the
// revision increases whenever something changes that entries see of an endpoint, and
// that it never decreases.
func TestRevisionGrowsWithEveryVisibleChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{Retention: retention}, 0)
		ids := []string{"e1", "e2", "e3"}
		now := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			stateBefore, revisionBefore := visibleState(table), table.Revision()
			now += rapid.IntRange(0, 2).Draw(t, "seconds")
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				cfg := engineConfig(id)
				cfg.State = rapid.SampledFrom([]State{Live, Leaving}).Draw(t, "state")
				table.ApplyList(timeAt(now), []EndpointConfig{cfg})
			case 1:
				table.ApplyStatus(id, EngineStatus{Role: rapid.SampledFrom([]string{"both", "decode"}).Draw(t, "role")})
			default:
				table.SetDraining(func(other string) bool { return other == id })
			}
			if table.Revision() < revisionBefore || (visibleState(table) != stateBefore && table.Revision() == revisionBefore) {
				t.Fatalf("revision %d after %d, rows %q after %q", table.Revision(), revisionBefore, visibleState(table), stateBefore)
			}
		}
	})
}

func visibleState(table *Table) string {
	s := ""
	for _, e := range table.All() {
		s += e.ID() + " " + e.Address() + " " + e.Role() + " " + string(e.State()) + "\n"
	}
	return s
}
