package sqquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Cautions do not wait for a quarantine. Endpoints that crash at the same moment leave it
// open what the cause is, and when they are back, many attempts at one request may come
// before the next crash is known.
const (
	// cautionCrashes is how many crashes under a request, one after the other, make attempts
	// at it come one at a time, cautionCrashesAtOnce how many at the same moment do, and
	// maxCautions the maximum number of such requests.
	cautionCrashes       = 2
	cautionCrashesAtOnce = 3
	maxCautions          = 32
)

// Cautions returns entries of the requests that are in no entry and under which endpoints
// crashed more than once with no answer since, those with the newest crashes first. They
// are not quarantined, but sent one at a time, until one is answered or the crashes are
// forgotten.
func (t *Tracker) Cautions(now time.Time, entries []Entry) []Entry {
	e := evidence{lastAnswer: t.lastAnswer, quarantined: map[Trait]bool{}}
	for _, known := range entries {
		e.quarantined[known.Trait] = true
	}
	e.under = crashesByTrait(WholeRequest, t.keptCrashes(now, now))
	return e.cautions(e.requestNeedsCaution)
}

// keptCrashes returns the crashes up to the time until that are not older than crashMemory.
func (t *Tracker) keptCrashes(now, until time.Time) []*Crash {
	crashes := t.crashesUntil(until)
	for len(crashes) > 0 && now.Sub(crashes[0].At) > crashMemory {
		crashes = crashes[1:]
	}
	return crashes
}

// crashesByTrait returns the crashes under each trait of the kind, in order. A rack of
// engines that crashes has hundreds of requests in flight.
func crashesByTrait(kind Kind, crashes []*Crash) map[Trait][]*Crash {
	under := map[Trait][]*Crash{}
	for _, c := range crashes {
		for _, request := range c.Requests {
			for _, t := range request {
				known := under[t]
				if t.Kind == kind && (len(known) == 0 || known[len(known)-1] != c) {
					under[t] = append(known, c)
				}
			}
		}
	}
	return under
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
