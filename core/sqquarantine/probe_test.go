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

// TestCautionAfterSecondCrash checks that attempts at a request come one at a time from its
// second crash on, until one is answered or the request is quarantined.
func TestCautionAfterSecondCrash(t *testing.T) {
	h := newHistory()
	cautions := func(ms int) []Entry {
		h.decide(ms)
		return h.tracker.Cautions(h.at(ms), h.entries, gatewayCount)
	}
	h.crashUnder(0, "e0", "bad", "sound")
	h.crashUnder(10, "e1", "bad")
	assert.Equal(t, len(cautions(20)), 0, "the two may have one other cause")
	h.crashUnder(20, "e3", "bad")
	assert.DeepEqual(t, cautions(30), []Entry{{Trait: whole("bad"), EndedAt: h.at(20)}})
	h.crashUnder(100, "e2", "bad", "sound")
	assert.Equal(t, len(cautions(110)), 2)
	h.answerTo(200, "sound")
	assert.DeepEqual(t, cautions(210), []Entry{{Trait: whole("bad"), EndedAt: h.at(100)}})
	assert.Equal(t, len(h.decide(210).Quarantine), 0)
	granted, _ := h.tracker.ProbeCaution(h.at(210), whole("bad"))
	assert.Assert(t, granted)
	granted, wait := h.tracker.ProbeCaution(h.at(220), whole("bad"))
	assert.Assert(t, !granted)
	assert.Equal(t, wait, probeTime-10*time.Millisecond)
	granted, _ = h.tracker.ProbeCaution(h.at(220), whole("other"))
	assert.Assert(t, granted, "requests do not wait for each other")
	h.entries = []Entry{{Trait: whole("bad"), Active: true}}
	assert.Equal(t, len(cautions(300)), 0)
	h.entries = nil
	forgotten := 20 + int(crashMemory/time.Millisecond)
	assert.DeepEqual(t, cautions(forgotten), []Entry{{Trait: whole("bad"), EndedAt: h.at(100)}})
	assert.Equal(t, len(cautions(forgotten+1)), 0, "it has not come again")
}
