package sqquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Cautions do not wait for a quarantine. Endpoints that crash at the same moment leave it
// open what the cause is, and when they are back, many requests with the same trait may come
// before the next crash is known.
const (
	// cautionCrashes is how many crashes under a request, one after the other, make attempts
	// at it come one at a time, cautionCrashesAtOnce how many at the same moment do. Under a
	// part of prompts, as many crashes with as many requests do. maxCautions is the maximum
	// number of such requests, and of such parts.
	cautionCrashes       = 2
	cautionCrashesAtOnce = 3
	maxCautions          = 32
	// soundTime is how long before a crash an answer still speaks for a part. A part that
	// nearly all requests of a service share is answered more often.
	soundTime = answerMemory
)

// Cautions returns entries of the traits that are in no entry and may crash endpoints, as
// far as crashes tell that may also have one other cause. They are not quarantined, but
// requests with them are sent one at a time, until one is answered or the crashes are
// forgotten. Of each kind, those with the newest crashes come first.
func (t *Tracker) Cautions(now time.Time, entries []Entry, gateways int) []Entry {
	e := evidence{lastAnswer: t.lastAnswer, quarantined: map[Trait]bool{}}
	for _, known := range entries {
		e.quarantined[known.Trait] = true
	}
	e.under = crashesByTrait(t.keptCrashes(now, now), WholeRequest)
	requests := e.cautions(e.requestNeedsCaution)
	// Many sound requests may share a part, so gateways get the time to report its answers.
	e.under = crashesByTrait(t.keptCrashes(now, settledAt(now, gateways)), PromptPart)
	parts := e.cautions(e.partNeedsCaution)
	return slices.Concat(e.lastInPrompts(parts), requests)
}

// keptCrashes returns the crashes up to the time until that are not older than crashMemory.
func (t *Tracker) keptCrashes(now, until time.Time) []*Crash {
	crashes := t.crashesUntil(until)
	for len(crashes) > 0 && now.Sub(crashes[0].At) > crashMemory {
		crashes = crashes[1:]
	}
	return crashes
}

// cautions returns entries of the traits that are in no entry and meet the condition.
func (e *evidence) cautions(needed func(t Trait) bool) []Entry {
	var cautions []Entry
	for t, crashes := range e.under {
		if len(crashes) >= cautionCrashes && !e.quarantined[t] && needed(t) {
			cautions = append(cautions, Entry{Trait: t, EndedAt: crashes[len(crashes)-1].At})
		}
	}
	slices.SortFunc(cautions, func(a, b Entry) int {
		return cmp.Or(b.EndedAt.Compare(a.EndedAt), cmp.Compare(a.Trait.Service, b.Trait.Service), cmp.Compare(a.Trait.ID, b.Trait.ID))
	})
	return cautions[:min(len(cautions), maxCautions)]
}

// requestNeedsCaution reports whether endpoints crashed more than once under a request with
// no answer since.
func (e *evidence) requestNeedsCaution(t Trait) bool {
	return len(e.countedCrashes(t)) >= cautionCrashes || len(e.crashesSince(t, 0)) >= cautionCrashesAtOnce
}

// partNeedsCaution reports whether several endpoints crashed under several requests with a
// part with no answer to any since, nor shortly before. The crashes may have come together.
func (e *evidence) partNeedsCaution(t Trait) bool {
	if len(e.under[t]) < cautionCrashesAtOnce {
		return false
	}
	crashes := e.unexplainedCrashes(t)
	return len(crashes) >= cautionCrashesAtOnce && crashes[0].At.Sub(e.lastAnswer[t]) > soundTime &&
		hadRequests(crashes, t, cautionCrashesAtOnce)
}

// hadRequests reports whether at least min requests with the trait were in flight at the
// crashes.
func hadRequests(crashes []*Crash, t Trait, min int) bool {
	known, unknown := map[string]bool{}, 0
	for _, c := range crashes {
		for _, request := range c.Requests {
			if !slices.Contains(request, t) {
				continue
			}
			if id := wholeRequest(request); id != "" {
				known[id] = true
			} else {
				unknown++
			}
			if len(known)+unknown >= min {
				return true
			}
		}
	}
	return false
}

// lastInPrompts returns the cautions without the parts that another one follows in a prompt
// and under which no more endpoints crashed. To hold back either of the two ends the crashes,
// and fewer sound requests have the one that follows.
func (e *evidence) lastInPrompts(parts []Entry) []Entry {
	crashes := map[Trait][]*Crash{}
	for _, part := range parts {
		crashes[part.Trait] = e.unexplainedCrashes(part.Trait)
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part Entry) bool {
		own := crashes[part.Trait]
		replaces := func(other Trait) bool { return other != part.Trait && len(crashes[other]) >= len(own) }
		return slices.ContainsFunc(own, func(c *Crash) bool { return c.isFollowed(part.Trait, replaces) })
	})
}

// isFollowed reports whether a trait that meets the condition comes after t in one of the
// requests.
func (c *Crash) isFollowed(t Trait, condition func(other Trait) bool) bool {
	return slices.ContainsFunc(c.Requests, func(request []Trait) bool {
		i := slices.Index(request, t)
		return i >= 0 && slices.ContainsFunc(request[i+1:], condition)
	})
}
