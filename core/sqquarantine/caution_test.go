package sqquarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func (h *history) cautions(ms int) []Trait {
	h.decide(ms)
	var traits []Trait
	for _, e := range h.tracker.Cautions(h.at(ms), h.entries) {
		traits = append(traits, e.Trait)
	}
	return traits
}

// TestCrowdsFarApart guards against a request that comes many times at once, again and again,
// and crashes several endpoints each time, since the caution after the first crowd ended before
// the next one.
func TestCrowdsFarApart(t *testing.T) {
	h := newHistory()
	crowd := func(ms, endpoints int) {
		for i := range endpoints {
			h.crashUnder(ms+5*i, fmt.Sprintf("e%d-%d", ms, i), "bad")
		}
	}
	crowd(0, 4)
	for _, ms := range []int{34_000, 68_000} {
		h.answerTo(ms-100, "other")
		assert.DeepEqual(t, h.cautions(ms), []Trait{whole("bad")})
		assert.DeepEqual(t, h.tracker.Suspects(h.at(ms), nil, nil)[0], whole("bad"))
		granted, _ := h.tracker.ProbeCaution(h.at(ms), whole("bad"))
		assert.Assert(t, granted)
		granted, _ = h.tracker.ProbeCaution(h.at(ms+10), whole("bad"))
		assert.Assert(t, !granted)
		crowd(ms+50, 1)
	}
	assert.DeepEqual(t, h.decide(69_000).Quarantine, []Trait{whole("bad")})
}

// TestSoundRequestReturnsAfterMinutes checks that one answer clears a sound request that was in
// flight at crashes minutes ago.
func TestSoundRequestReturnsAfterMinutes(t *testing.T) {
	h := newHistory()
	for i := range 3 {
		h.crashUnder(5*i, fmt.Sprint("e", i), "sound")
	}
	ms := int(5 * time.Minute / time.Millisecond)
	assert.DeepEqual(t, h.cautions(ms), []Trait{whole("sound")})
	h.answerTo(ms+100, "sound")
	assert.Equal(t, len(h.cautions(ms+200)), 0)
}

// TestSuspectsBeginWithCautions checks that gateways are asked about the answers to a trait
// with a caution, however many crashes came after its own.
func TestSuspectsBeginWithCautions(t *testing.T) {
	h := newHistory()
	for i := range 3 {
		h.crashUnder(5*i, fmt.Sprint("e", i), "bad")
	}
	for i := range 20 {
		var requests []string
		for j := range 100 {
			requests = append(requests, fmt.Sprintf("r%d-%d", i, j))
		}
		h.crashUnder(1000+1000*i, fmt.Sprint("f", i), requests...)
	}
	cautions := h.tracker.Cautions(h.at(30_000), nil)
	suspects := h.tracker.Suspects(h.at(30_000), nil, cautions)
	assert.Equal(t, len(suspects), maxSuspects)
	assert.DeepEqual(t, suspects[0], whole("bad"))
}
