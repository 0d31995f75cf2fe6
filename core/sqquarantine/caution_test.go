package sqquarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wave records crashes of endpoints 20 ms apart from ms on, each under one request of its own
// with the parts and under a sound request.
func (h *history) wave(ms, endpoints int, parts ...string) {
	for i := range endpoints {
		at := h.at(ms + 20*i)
		id := fmt.Sprintf("w%d-%d", ms, i)
		h.tracker.RecordCrash(at, &Crash{Service: service, Endpoint: id, At: at, Requests: [][]Trait{
			Traits(service, append(parts[:len(parts):len(parts)], id), "content"+id),
			Traits(service, []string{"ab", "sound", "s" + id}, "sound"+id),
		}})
	}
}

func (h *history) cautions(ms int) []Trait {
	h.decide(ms)
	var traits []Trait
	for _, e := range h.tracker.Cautions(h.at(ms), h.entries, gatewayCount) {
		traits = append(traits, e.Trait)
	}
	return traits
}

// TestWavesOfRequestsWithHarmfulPart guards against requests with a harmful part that come
// many at once and crash all endpoints each time, since crashes at once count as one: between
// two waves they are sent one at a time, and the first crash after the wave decides.
func TestWavesOfRequestsWithHarmfulPart(t *testing.T) {
	h := newHistory()
	h.answer(-200, "ab", "sound")
	h.wave(0, 6, "ab", "bad")
	assert.Equal(t, len(h.cautions(300)), 0, "gateways could not report answers yet")
	assert.DeepEqual(t, h.cautions(800), []Trait{part("bad")})
	h.answer(3500, "ab", "sound")
	assert.DeepEqual(t, h.cautions(4000), []Trait{part("bad")})
	assert.Equal(t, len(h.decide(4000).Quarantine), 0)
	h.wave(5000, 1, "ab", "bad")
	h.answer(5100, "ab", "sound")
	assert.DeepEqual(t, h.decide(6000).Quarantine, []Trait{part("bad")})
}

// TestWavesInQuietService guards against the same in a service that answers nothing else.
func TestWavesInQuietService(t *testing.T) {
	h := newHistory()
	for i := range 6 {
		h.crash(20*i, fmt.Sprint("e", i), []string{"ab", "bad", fmt.Sprint("own", i)})
	}
	assert.DeepEqual(t, h.cautions(800), []Trait{part("bad")})
	assert.Equal(t, len(h.decide(4000).Precaution), 0)
	h.crash(5000, "e9", []string{"ab", "bad", "own9"})
	d := h.decide(6000)
	assert.DeepEqual(t, d.Precaution, []Trait{part("bad")})
	assert.Equal(t, len(d.Quarantine), 0)
}

// TestResendsShareTheirPart guards against crashes that do not count for a part since each
// request with it was sent on to other endpoints.
func TestResendsShareTheirPart(t *testing.T) {
	h := newHistory()
	request := func(i int) []Trait {
		return Traits(service, []string{"bad", fmt.Sprint("own", i)}, fmt.Sprint("content", i))
	}
	h.tracker.RecordCrash(h.at(0), &Crash{Service: service, Endpoint: "e0", At: h.at(0), Requests: [][]Trait{request(0), request(1), request(2)}})
	for i := range 3 {
		at := h.at(30 + 20*i)
		h.tracker.RecordCrash(at, &Crash{Service: service, Endpoint: fmt.Sprint("f", i), At: at, Requests: [][]Trait{request(i)}})
	}
	assert.DeepEqual(t, h.cautions(800)[0], part("bad"))
}

// TestPowerLossCautionsNoPart checks that sound requests with shared parts do not wait for
// each other after all endpoints of a service crashed at once, nor after one crash by chance.
func TestPowerLossCautionsNoPart(t *testing.T) {
	h := newHistory()
	h.answer(-1000, "ab", "sound")
	h.wave(0, 16, "ab", "sound")
	assert.Equal(t, len(h.cautions(800)), 0)

	h = newHistory()
	h.crash(0, "e0", []string{"ab", "s1"}, []string{"ab", "s2"}, []string{"ab", "s3"}, []string{"ab", "s4"})
	assert.Equal(t, len(h.cautions(800)), 0)
	h.crash(900, "e1", []string{"ab", "s1"}, []string{"ab", "s5"})
	assert.Equal(t, len(h.cautions(1800)), 0)
}

// TestCrowdWithNewPart checks that a crowd of sound requests, whose endpoints lose power before
// any is answered, waits only until one is.
func TestCrowdWithNewPart(t *testing.T) {
	h := newHistory()
	h.wave(0, 6, "ab", "new")
	assert.Assert(t, len(h.cautions(800)) > 0)
	h.answer(4000, "ab", "new", "sound")
	assert.Equal(t, len(h.cautions(4100)), 0)
	assert.Equal(t, len(h.decide(4100).Quarantine), 0)
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
	cautions := h.tracker.Cautions(h.at(30_000), nil, gatewayCount)
	suspects := h.tracker.Suspects(h.at(30_000), nil, cautions)
	assert.Equal(t, len(suspects), maxSuspects)
	assert.DeepEqual(t, suspects[0], whole("bad"))
}
