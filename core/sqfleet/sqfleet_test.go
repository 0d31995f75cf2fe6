package sqfleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const keep = 3 * time.Second

func at(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func row(id string) EndpointConfig {
	return EndpointConfig{ID: id, Address: id + ":1", Kind: EngineKind, State: Live}
}

func state(t *testing.T, table *Table, id string) State {
	t.Helper()
	e, known := table.Find(id)
	assert.Assert(t, known)
	return e.State()
}

func TestRowOutlivesAGapInTheList(t *testing.T) {
	table := New(Config{Retention: keep}, 100)
	table.ApplyList(at(0), []EndpointConfig{row("e1"), row("e2")})
	before := table.Revision()
	assert.Assert(t, before > 100)
	table.ApplyList(at(1), []EndpointConfig{row("e1")})
	table.ApplyList(at(3), []EndpointConfig{row("e1"), row("e2")})
	assert.Equal(t, table.Revision(), before)
	table.ApplyList(at(5), []EndpointConfig{row("e1")})
	table.ApplyList(at(6), []EndpointConfig{row("e1")})
	assert.Equal(t, len(table.All()), 2)
	table.ApplyList(at(7), []EndpointConfig{row("e1")})
	assert.Equal(t, len(table.All()), 1)
	assert.Assert(t, table.Revision() > before)
}

// TestNewAddressIsANewEndpoint: a VM that comes back at another address has
// lost what it had, and its reports no longer hold.
func TestNewAddressIsANewEndpoint(t *testing.T) {
	table := New(Config{Retention: keep}, 0)
	table.ApplyList(at(0), []EndpointConfig{row("e1")})
	table.ApplyStatus("e1", StatusConfig{Role: "prefill", Models: []string{"m@1"}})
	moved := row("e1")
	moved.Address = "other:1"
	table.ApplyList(at(1), []EndpointConfig{moved})
	e, _ := table.Find("e1")
	assert.Assert(t, !e.Reported())
	assert.Equal(t, e.Role(), "")
	assert.Assert(t, e.FirstListed().Equal(at(1)))
}

func TestReportsChangeTheRevisionOnlyByWhatEntriesNeed(t *testing.T) {
	table := New(Config{Retention: keep}, 0)
	table.ApplyList(at(0), []EndpointConfig{row("e1")})
	expect := func(changes bool, s StatusConfig) {
		t.Helper()
		before := table.Revision()
		table.ApplyStatus("e1", s)
		assert.Equal(t, table.Revision() != before, changes)
		e, _ := table.Find("e1")
		assert.Equal(t, e.Load(), s.Load)
	}
	models := []string{"m@1", "m@2"}
	expect(true, StatusConfig{})
	expect(false, StatusConfig{Load: Load{Running: 3}})
	expect(true, StatusConfig{Role: "both", Models: models})
	expect(false, StatusConfig{Role: "both", Models: models, Load: Load{Queued: 1}})
	expect(true, StatusConfig{Role: "both", Models: models[:1]})
	expect(true, StatusConfig{Role: "decode", Models: models[:1]})
	table.ApplyStatus("unknown", StatusConfig{})
	assert.Equal(t, len(table.All()), 1)
}

func TestDrains(t *testing.T) {
	table := New(Config{Retention: keep}, 0)
	table.ApplyList(at(0), []EndpointConfig{row("e1"), row("e2")})
	table.SetDraining(func(id string) bool { return id == "e1" })
	assert.Equal(t, state(t, table, "e1"), Draining)
	assert.Equal(t, state(t, table, "e2"), Live)
	first, _ := table.Find("e1")
	table.SetDraining(func(id string) bool { return id == "e1" })
	same, _ := table.Find("e1")
	assert.Equal(t, same.DrainRevision(), first.DrainRevision())
	table.SetDraining(func(string) bool { return false })
	table.SetDraining(func(id string) bool { return id == "e1" })
	again, _ := table.Find("e1")
	assert.Assert(t, again.DrainRevision() > first.DrainRevision())
	leaving := row("e1")
	leaving.State = Leaving
	table.ApplyList(at(1), []EndpointConfig{leaving, row("e2")})
	assert.Equal(t, state(t, table, "e1"), Leaving)
}

// TestRevisionCoversEveryChange draws random changes: whenever a row differs in
// what entries hear of it, the revision has grown, and it never goes back.
func TestRevisionCoversEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{Retention: keep}, 0)
		ids := []string{"e1", "e2", "e3"}
		now := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before, revision := heard(table), table.Revision()
			now += rapid.IntRange(0, 2).Draw(t, "seconds")
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				cfg := row(id)
				cfg.State = rapid.SampledFrom([]State{Live, Leaving}).Draw(t, "state")
				table.ApplyList(at(now), []EndpointConfig{cfg})
			case 1:
				table.ApplyStatus(id, StatusConfig{Role: rapid.SampledFrom([]string{"both", "decode"}).Draw(t, "role")})
			default:
				table.SetDraining(func(other string) bool { return other == id })
			}
			if table.Revision() < revision || (heard(table) != before && table.Revision() == revision) {
				t.Fatalf("revision %d after %d, rows %q after %q", table.Revision(), revision, heard(table), before)
			}
		}
	})
}

func heard(table *Table) string {
	s := ""
	for _, e := range table.All() {
		s += e.ID() + " " + e.Address() + " " + e.Role() + " " + string(e.State()) + "\n"
	}
	return s
}
