package sqorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Unix(1000, 0)
	v1    = Origin{Service: "engines", Version: "v1"}
	v2    = Origin{Service: "engines", Version: "v2"}
)

func TestFirstRecordCounts(t *testing.T) {
	l := NewLog(10)
	l.Record(start, "a", v1)
	l.Record(start, "a", v2)
	o, ok := l.Find("a")
	assert.Assert(t, ok)
	assert.Equal(t, o, v1)
	_, ok = l.Find("b")
	assert.Assert(t, !ok)
}

func TestLogIsBounded(t *testing.T) {
	l := NewLog(10)
	for i := range 100 {
		l.Record(start, fmt.Sprint(i), v1)
	}
	assert.Equal(t, len(l.byAttempt), 10)
	l.Record(start.Add(memory+time.Second), "last", v1)
	assert.Equal(t, len(l.byAttempt), 1)
}

// TestEntriesAreReportedToEachHolder checks that entries are reported until they are
// acknowledged, again to the holder of another term, and in portions.
func TestEntriesAreReportedToEachHolder(t *testing.T) {
	l := NewLog(3 * maxReported)
	for i := range maxReported + 1 {
		l.Record(start, fmt.Sprint(i), v1)
	}
	l.Acknowledge(1, 0)
	entries, end := l.Unreported()
	assert.Equal(t, len(entries), maxReported)
	l.Acknowledge(1, end)
	entries, end = l.Unreported()
	assert.Equal(t, len(entries), 1)
	l.Acknowledge(2, end)
	entries, _ = l.Unreported()
	assert.Equal(t, len(entries), maxReported)
	assert.Equal(t, entries[0].Attempt, "0")
}

// TestEntriesDroppedWhileReported checks that an acknowledgment does not cover entries
// recorded after the report, though others were dropped meanwhile.
func TestEntriesDroppedWhileReported(t *testing.T) {
	l := NewLog(2)
	l.Acknowledge(1, 0)
	l.Record(start, "a", v1)
	l.Record(start, "b", v1)
	_, end := l.Unreported()
	l.Record(start, "c", v1)
	l.Acknowledge(1, end)
	entries, _ := l.Unreported()
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Attempt, "c")
}

func TestOnlyVersion(t *testing.T) {
	v := NewVersions()
	v.Record(start, []Origin{v1})
	_, ok := v.Only(start.Add(time.Second), "engines")
	assert.Assert(t, !ok, "another version may have been listed before")
	end := start.Add(memory)
	v.Record(end, []Origin{v1})
	o, ok := v.Only(end, "engines")
	assert.Assert(t, ok)
	assert.Equal(t, o, v1)
	v.Record(end.Add(time.Second), []Origin{v2})
	_, ok = v.Only(end.Add(time.Second), "engines")
	assert.Assert(t, !ok, "streams of the version before may be taken up")
	v.Record(end.Add(memory+time.Second), []Origin{v2})
	o, ok = v.Only(end.Add(memory+time.Second), "engines")
	assert.Assert(t, ok)
	assert.Equal(t, o, v2)
}
