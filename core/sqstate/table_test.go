package sqstate

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
)

func declare(version uint64, document string) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_Declare{
		Declare: &sqcommand.Declare{Version: version, Document: []byte(document)},
	}}
}

func freezeCounts(window, requests uint64) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_FreezeCounts{FreezeCounts: &sqcommand.FreezeCounts{
		Window: window, Counts: []*sqcommand.TeamCount{{Team: "a", Requests: requests}},
	}}}
}

// TestDeclare checks that the highest declared version stays current,
// regardless of what is declared after it.
func TestDeclare(t *testing.T) {
	s := New(Config{})
	for _, c := range []struct {
		version uint64
		text    string
	}{{4, "four"}, {9, "nine"}, {7, "seven"}, {9, "other nine"}} {
		res := s.Apply(declare(c.version, c.text))
		assert.Equal(t, res.GetError(), uint32(0))
	}
	version, document := s.RoutingTable()
	assert.Equal(t, version, uint64(9))
	assert.Equal(t, string(document), "nine")
}

// TestCountsNeverChange checks that a window keeps its first counts when it is
// frozen again, also after a restore from a snapshot.
func TestCountsNeverChange(t *testing.T) {
	s := New(Config{})
	s.Apply(declare(2, "two"))
	s.Apply(freezeCounts(11, 5))
	res := s.Apply(freezeCounts(11, 8))
	assert.Equal(t, res.GetCounts().GetCounts()[0].GetRequests(), uint64(5))
	s.Apply(freezeCounts(12, 1))
	s.Apply(&sqcommand.Command{Body: &sqcommand.Command_MarkCounts{MarkCounts: &sqcommand.MarkCounts{Window: 11}}})

	restored := New(Config{})
	restored.Restore(s.Snapshot())
	assert.Equal(t, restored.LastCountWindow(), uint64(12))
	windows := restored.CountWindows()
	assert.Equal(t, len(windows), 2)
	assert.Assert(t, windows[0].GetReported() && !windows[1].GetReported())
	version, document := restored.RoutingTable()
	assert.Equal(t, version, uint64(2))
	assert.Equal(t, string(document), "two")
}

// TestInitialEndpoints checks that the first recorded number of endpoints is
// kept, also after a restore from a snapshot.
func TestInitialEndpoints(t *testing.T) {
	s := New(Config{})
	fix := func(n uint32) {
		s.Apply(&sqcommand.Command{Body: &sqcommand.Command_FixFirstFleet{FixFirstFleet: &sqcommand.FixFirstFleet{
			Fleet: &sqcommand.FirstFleet{Service: "engines", Endpoints: n},
		}}})
	}
	assert.Equal(t, s.InitialEndpoints("engines"), 0)
	fix(18)
	fix(36)
	restored := New(Config{})
	restored.Restore(s.Snapshot())
	assert.Equal(t, restored.InitialEndpoints("engines"), 18)
}

// TestUnreportedWindowsKept checks that no window is dropped before it is
// reported.
func TestUnreportedWindowsKept(t *testing.T) {
	s := New(Config{})
	for w := range uint64(3 * maxCountWindows) {
		s.Apply(freezeCounts(w+1, 1))
	}
	assert.Equal(t, len(s.CountWindows()), 3*maxCountWindows)
	s.Apply(&sqcommand.Command{Body: &sqcommand.Command_MarkCounts{MarkCounts: &sqcommand.MarkCounts{Window: 1}}})
	s.Apply(freezeCounts(3*maxCountWindows+1, 1))
	assert.Equal(t, s.CountWindows()[0].GetWindow(), uint64(2))
}

// TestQuarantinedTraits checks that the latest record of a part is kept, also after a
// restore from a snapshot, and that the number of parts is limited.
func TestQuarantinedTraits(t *testing.T) {
	s := New(Config{})
	set := func(id string, until int64, remove bool) {
		s.Apply(&sqcommand.Command{Body: &sqcommand.Command_SetQuarantine{SetQuarantine: &sqcommand.SetQuarantine{
			Trait: &sqcommand.QuarantinedTrait{Service: "engines", Id: id, UntilUnixNano: until}, Remove: remove,
		}}})
	}
	set("a", 5, false)
	set("b", 3, false)
	set("a", 7, false)
	restored := New(Config{})
	restored.Restore(s.Snapshot())
	for _, st := range []*State{s, restored} {
		parts := st.QuarantinedTraits()
		assert.Equal(t, len(parts), 2)
		assert.Equal(t, parts[0].GetId(), "b")
		assert.Equal(t, parts[1].GetUntilUnixNano(), int64(7))
	}
	set("b", 0, true)
	assert.Equal(t, len(s.QuarantinedTraits()), 1)
	for i := range 2 * maxQuarantinedTraits {
		set(strconv.Itoa(i), int64(100+i), false)
	}
	assert.Equal(t, len(s.QuarantinedTraits()), maxQuarantinedTraits)
	assert.Equal(t, s.QuarantinedTraits()[0].GetUntilUnixNano(), int64(100+maxQuarantinedTraits))
}
