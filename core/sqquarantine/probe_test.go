package sqquarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneProbeAtATime checks that after quarantines one request is allowed at a time, until
// it settles the matter or probeTime has passed.
func TestOneProbeAtATime(t *testing.T) {
	h := newHistory()
	entries := []Entry{{Trait: whole("a")}, {Trait: whole("b")}, {Trait: whole("c"), Active: true, EndedAt: h.at(5000)}}
	probe := func(ms int, id string) (bool, time.Duration) { return h.tracker.Probe(h.at(ms), whole(id), entries) }
	granted, wait := probe(0, "c")
	assert.Assert(t, !granted)
	assert.Equal(t, wait, 5*time.Second)
	granted, _ = probe(0, "a")
	assert.Assert(t, granted)
	for _, id := range []string{"a", "b"} {
		granted, wait = probe(1000, id)
		assert.Assert(t, !granted)
		assert.Equal(t, wait, probeTime-time.Second)
	}
	granted, _ = probe(1000, "released")
	assert.Assert(t, granted)
	granted, _ = probe(1000, "b")
	assert.Assert(t, !granted, "the request with a released trait is no probe")
	entries = entries[1:]
	granted, _ = probe(1100, "b")
	assert.Assert(t, granted, "the probe of a has settled the matter")
	granted, _ = probe(1100+int(probeTime/time.Millisecond), "b")
	assert.Assert(t, granted)
}
