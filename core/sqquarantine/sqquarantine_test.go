package sqquarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	service      = "engines"
	gatewayCount = 7
)

func part(id string) Trait { return Trait{Service: service, ID: id} }

// withParts returns the traits of requests to the service with the parts.
func withParts(requests ...[]string) [][]Trait {
	traits := make([][]Trait, 0, len(requests))
	for _, parts := range requests {
		traits = append(traits, Traits(service, parts, ""))
	}
	return traits
}

// history plays crashes and answers to a tracker. Times are milliseconds after start.
type history struct {
	tracker *Tracker
	start   time.Time
	entries []Entry
}

func newHistory() *history {
	return &history{tracker: NewTracker(), start: time.Unix(1000, 0)}
}

func (h *history) at(ms int) time.Time { return h.start.Add(time.Duration(ms) * time.Millisecond) }

func (h *history) crash(ms int, endpoint string, requests ...[]string) {
	h.tracker.RecordCrash(h.at(ms), &Crash{Service: service, Endpoint: endpoint, At: h.at(ms), Requests: withParts(requests...)})
}

func (h *history) answer(ms int, parts ...string) {
	h.tracker.RecordAnswer(anyRequest(service), h.at(ms))
	for _, p := range parts {
		h.tracker.RecordAnswer(part(p), h.at(ms))
	}
}

func (h *history) decide(ms int) Decision { return h.tracker.Decide(h.at(ms), h.entries, gatewayCount) }

// crashThreeTimes records three crashes under a harmful part, and answers to requests
// that share the other parts.
func (h *history) crashThreeTimes(harmful string) {
	for i := range 3 {
		h.crash(1000*i, fmt.Sprintf("e%d", i), []string{"ab", harmful, fmt.Sprintf("s%d", i)}, []string{"ab", "s9"})
		h.answer(1000*i+500, "ab", "s9")
	}
}

func TestThreeCrashesMakeAPartHarmful(t *testing.T) {
	h := newHistory()
	h.crashThreeTimes("bad")
	assert.Equal(t, len(h.decide(2400).Quarantine), 0)
	assert.DeepEqual(t, h.decide(2600).Quarantine, []Trait{part("bad")})
}

func TestAnsweredPartIsNotHarmful(t *testing.T) {
	h := newHistory()
	h.crashThreeTimes("rare")
	h.answer(2550, "rare")
	assert.Equal(t, len(h.decide(5000).Quarantine), 0)
}

// TestHarmfulPartOfQuietService guards against a part that crashes endpoint after endpoint
// of a service that has nothing else to answer. Of the parts that all requests have, the
// last is quarantined, which the fewest sound requests have.
func TestHarmfulPartOfQuietService(t *testing.T) {
	h := newHistory()
	for i := range decisiveCrashes {
		assert.Equal(t, len(h.decide(1000*i).Precaution), 0)
		h.crash(1000*i, fmt.Sprintf("e%d", i), []string{"ab", "bad", fmt.Sprintf("s%d", i)})
	}
	d := h.decide(20_000)
	assert.DeepEqual(t, d.Precaution, []Trait{part("bad")})
	assert.Equal(t, len(d.Quarantine), 0)

	h.entries = []Entry{{Trait: part("bad"), EndedAt: h.at(23_000)}}
	h.crash(24_000, "e9", []string{"ab", "bad", "s9"})
	assert.DeepEqual(t, h.decide(25_000).Precaution, []Trait{part("bad")}) // One more crash begins the next term.
}

// TestServiceWithAnotherFaultQuarantinesNoPart checks that a part that nearly all requests
// have is spared if the service answers nothing and crashes under several without it.
func TestServiceWithAnotherFaultQuarantinesNoPart(t *testing.T) {
	h := newHistory()
	for i := range 8 {
		h.crash(1000*i, fmt.Sprintf("e%d", i), []string{"ab", fmt.Sprintf("s%d", i)})
	}
	for i := range 2 {
		h.crash(8000+1000*i, fmt.Sprintf("f%d", i), []string{fmt.Sprintf("t%d", i)})
	}
	d := h.decide(20_000)
	assert.Equal(t, len(d.Precaution)+len(d.Quarantine), 0)
}

// TestCrashesAtOnceQuarantineNothing checks that endpoints that crash together, as with
// their VM, count as one crash.
func TestCrashesAtOnceQuarantineNothing(t *testing.T) {
	h := newHistory()
	for i := range 6 {
		h.crash(10*i, fmt.Sprintf("e%d", i), []string{"ab", "s1"})
	}
	h.answer(200, "ab")
	assert.Equal(t, len(h.decide(10_000).Quarantine), 0)
}

func TestReportsOnOneCrashAreJoined(t *testing.T) {
	h := newHistory()
	for i := range 3 {
		h.crash(1000*i, "e1", []string{"ab", "bad"})
		h.crash(1000*i+20, "e1", []string{"ab", "s1"})
		h.answer(1000*i+500, "ab", "s1")
	}
	assert.Equal(t, len(h.tracker.crashes), 3)
	assert.DeepEqual(t, h.decide(3000).Quarantine, []Trait{part("bad")})
}

// TestTiedPartsWaitForEvidence checks that two parts with the same crashes are told apart
// by one more crash, or both are quarantined when more crashes do not tell them apart.
func TestTiedPartsWaitForEvidence(t *testing.T) {
	h := newHistory()
	for i := range 3 {
		h.crash(1000*i, fmt.Sprintf("e%d", i), []string{"bad", "other"})
	}
	h.answer(2500)
	assert.Equal(t, len(h.decide(3000).Quarantine), 0)
	h.crash(3000, "e4", []string{"bad"})
	h.answer(3500)
	assert.DeepEqual(t, h.decide(4000).Quarantine, []Trait{part("bad")})

	h = newHistory()
	for i := range decisiveCrashes {
		h.crash(1000*i, fmt.Sprintf("e%d", i), []string{"bad", "other"})
	}
	h.answer(9000)
	assert.Equal(t, len(h.decide(9000).Quarantine), 2)
}

func TestTwoHarmfulPartsAreFoundAtOnce(t *testing.T) {
	h := newHistory()
	for i := range 3 {
		h.crash(1000*i, fmt.Sprintf("e%d", i), []string{"bad"})
		h.crash(1000*i+300, fmt.Sprintf("f%d", i), []string{"worse"})
	}
	h.answer(2700)
	assert.Equal(t, len(h.decide(4000).Quarantine), 2)
}

// TestQuarantineExplainsCrashes checks that crashes under a quarantined part are no
// evidence against others, and that a second harmful part is found after the first.
func TestQuarantineExplainsCrashes(t *testing.T) {
	h := newHistory()
	h.crashThreeTimes("bad")
	h.entries = []Entry{{Trait: part("bad"), Active: true}}
	assert.Equal(t, len(h.decide(3000).Quarantine), 0)
	for i := range 3 {
		h.crash(10_000+1000*i, fmt.Sprintf("f%d", i), []string{"ab", "worse"}, []string{"ab", "bad", "s1"})
		h.crash(20_000+1000*i, fmt.Sprintf("g%d", i), []string{"ab", "worse"})
		h.answer(20_500+1000*i, "ab")
	}
	assert.DeepEqual(t, h.decide(30_000).Quarantine, []Trait{part("worse")})
}

func TestAnswerReleasesAPart(t *testing.T) {
	h := newHistory()
	h.entries = []Entry{{Trait: part("a"), Active: true}, {Trait: part("b"), Active: false}}
	assert.Equal(t, len(h.decide(0).Release), 0)
	h.answer(100, "a", "b")
	assert.Equal(t, len(h.decide(200).Release), 2)
}

// TestOneCrashSufficesAfterATerm checks that a part that was quarantined before is
// quarantined again after one crash, for twice as long.
func TestOneCrashSufficesAfterATerm(t *testing.T) {
	h := newHistory()
	h.entries = []Entry{{Trait: part("bad")}}
	h.crash(0, "e1", []string{"ab", "bad"})
	h.answer(500, "ab")
	assert.DeepEqual(t, h.decide(1000).Quarantine, []Trait{part("bad")})
	assert.Equal(t, Term(PromptPart, 1), 2*Term(PromptPart, 0))
	assert.Equal(t, Term(PromptPart, 100), Term(PromptPart, maxDoubling))
}

// TestSuspectsAreThoseWithoutAnswer checks that gateways are asked only about parts that
// no answer has cleared.
func TestSuspectsAreThoseWithoutAnswer(t *testing.T) {
	h := newHistory()
	h.crash(0, "e1", []string{"ab", "bad"})
	assert.DeepEqual(t, h.tracker.Suspects(h.at(0), nil, nil), []Trait{part("ab"), part("bad"), anyRequest(service)})
	h.answer(10, "ab")
	assert.DeepEqual(t, h.tracker.Suspects(h.at(10), []Entry{{Trait: part("old")}}, nil), []Trait{part("old"), part("bad")})
	assert.Equal(t, len(h.tracker.Suspects(h.at(0).Add(crashMemory), nil, nil)), 1)
	assert.Equal(t, len(h.tracker.Suspects(h.at(10).Add(crashMemory), nil, nil)), 0)
}

// TestSoundPartsAreSpared plays 20 days of traffic with one harmful part and random
// crashes, and checks that the harmful part is quarantined after five crashes at most and
// that no other part ever is.
func TestSoundPartsAreSpared(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		h := newHistory()
		harmfulCrashes := 0
		for ms := 0; ms < 60_000; ms += 5 {
			h.answer(ms, "ab", fmt.Sprintf("subject%d", rng.IntN(160)))
			crashed := rng.IntN(1000) == 0
			requests := [][]string{{"ab", fmt.Sprintf("subject%d", rng.IntN(160))}, {"ab", fmt.Sprintf("subject%d", rng.IntN(160))}}
			if len(h.entries) == 0 && rng.IntN(120) == 0 {
				crashed = true
				harmfulCrashes++
				requests = append(requests, []string{"ab", fmt.Sprintf("subject%d", rng.IntN(160)), "bad"})
			}
			if crashed {
				h.crash(ms, fmt.Sprintf("e%d", ms), requests...)
			}
			if ms%50 != 0 {
				continue
			}
			for _, p := range h.decide(ms).Quarantine {
				assert.Equal(t, p, part("bad"), "seed %d", seed)
				h.entries = append(h.entries, Entry{Trait: p, Active: true})
			}
		}
		assert.Equal(t, len(h.entries), 1, "seed %d", seed)
		assert.Assert(t, harmfulCrashes <= 2*decisiveCrashes, "seed %d: %d", seed, harmfulCrashes)
	}
}

// TestEvidence checks that a gateway reports a crash with all its requests until the
// holder has acknowledged it, again to another holder, and not without a failed check.
func TestEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEvidence(now)
	assert.Assert(t, e.RecordBroken(now, service, "e1", Traits(service, []string{"a"}, "")))
	assert.Assert(t, !e.RecordBroken(now, service, "e1", Traits(service, []string{"b"}, "")))
	assert.Equal(t, len(e.Unacknowledged("")), 0)
	e.RecordCheck("e1", true)
	assert.Assert(t, !e.RecordBroken(now, service, "e1", Traits(service, []string{"c"}, "")))
	assert.DeepEqual(t, e.Unacknowledged("h1")[0].Requests, withParts([]string{"a"}, []string{"b"}, []string{"c"}))
	e.Acknowledge(now, "h1", "h1")
	assert.Equal(t, len(e.Unacknowledged("h1")), 0)
	assert.Equal(t, len(e.Unacknowledged("h2")), 1)
	e.Acknowledge(now.Add(crashMemory+time.Second), "h2", "h2")
	assert.Equal(t, len(e.Unacknowledged("h3")), 0)
	assert.Assert(t, e.RecordBroken(now, service, "e2", Traits(service, []string{"a"}, "")))
	e.RecordCheck("e2", false)
	assert.Equal(t, len(e.Unacknowledged("h3")), 0)
}

// TestAnswersAreRemembered checks how long a gateway knows when a part was answered.
func TestAnswersAreRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEvidence(now)
	e.RecordAnswer(now, service, Traits(service, []string{"a"}, ""))
	e.RecordAnswer(now.Add(answerMemory), service, Traits(service, []string{"b"}, ""))
	assert.Equal(t, e.LastAnswer(part("a")), now)
	assert.Equal(t, e.LastAnswer(anyRequest(service)), now.Add(answerMemory))
	e.RecordAnswer(now.Add(2*answerMemory), service, Traits(service, []string{"b"}, ""))
	assert.Assert(t, e.LastAnswer(part("a")).IsZero())
}

// TestFewCrashesMakeNoCandidate fails if traits are judged under which too few endpoints
// crashed: when a rack of engines crashes, nearly all requests have traits of their own.
func TestFewCrashesMakeNoCandidate(t *testing.T) {
	at := time.Unix(100, 0)
	former := Trait{Service: "s", ID: "former"}
	e := evidence{endedAt: map[Trait]time.Time{former: at.Add(-time.Minute)}}
	for i := range minCrashes {
		c := &Crash{Service: "s", Endpoint: strconv.Itoa(i), At: at.Add(time.Duration(i) * time.Second)}
		c.Requests = [][]Trait{Traits("s", []string{"shared", "own" + strconv.Itoa(i)}, "request"+strconv.Itoa(i))}
		if i == 0 {
			c.Requests = append(c.Requests, []Trait{former})
		}
		e.crashes = append(e.crashes, c)
	}
	candidates := e.candidates()
	assert.Equal(t, len(candidates[WholeRequest]), 0)
	assert.Equal(t, len(candidates[PromptPart]), 2)
	assert.Assert(t, slices.Contains(candidates[PromptPart], former))
	assert.Assert(t, slices.Contains(candidates[PromptPart], Trait{Service: "s", ID: "shared"}))
}
