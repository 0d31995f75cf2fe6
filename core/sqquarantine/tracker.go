package sqquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashMemory is how long a crash is kept, maxCrashes how many are, and
	// maxTrackedRequests how many requests of one.
	crashMemory        = 10 * time.Minute
	maxCrashes         = 64
	maxTrackedRequests = 256
	// explainedMemory is how long a crash under a quarantined part is kept, so that late
	// reports are joined to it.
	explainedMemory = 10 * time.Second
	// maxSuspects is the maximum number of traits about whose answers gateways are asked.
	maxSuspects = 512
	// Gateways need settleTime, and settleTimePerGateway for each of them, to report the
	// answers that clear a trait of a crash.
	settleTime           = 500 * time.Millisecond
	settleTimePerGateway = 5 * time.Millisecond
)

// Term of a quarantine. Each further quarantine of a trait lasts twice as long. A sound
// request can be in flight at each crash under a harmful one, so the first quarantine of a
// request is short, and one more attempt decides.
const (
	firstTerm        = 5 * time.Minute
	firstRequestTerm = 3 * time.Second
	maxDoubling      = 6
	// firstPrecautionTerm is the term of a second precaution. As each lasts twice as long
	// as the one before, a service whose other fault is fixed waits no longer for the
	// next attempt than it has been at fault.
	firstPrecautionTerm = 1 * time.Minute
)

// Term returns how long a trait is quarantined that was quarantined before as often as
// stated.
func Term(kind Kind, previous int) time.Duration {
	if kind == WholeRequest {
		previous--
	}
	if previous < 0 {
		return firstRequestTerm
	}
	return firstTerm << min(previous, maxDoubling)
}

// PrecautionTerm returns how long a trait is quarantined as a precaution that was
// quarantined before as often as stated.
func PrecautionTerm(previous int) time.Duration {
	if previous == 0 {
		return firstRequestTerm
	}
	return firstPrecautionTerm << min(previous-1, maxDoubling)
}

// Entry is a trait that is or was quarantined.
type Entry struct {
	Trait Trait
	// Active is true until the term of the quarantine ends, which was at EndedAt.
	Active  bool
	EndedAt time.Time
}

// entryState is an entry without the time, which is not read twice as the same.
type entryState struct {
	trait  Trait
	active bool
}

func (e *Entry) state() entryState { return entryState{trait: e.Trait, active: e.Active} }

// Decision is what a Tracker decides. The lists are in no particular order.
type Decision struct {
	// Quarantine holds harmful traits, Release quarantined ones that proved harmless.
	Quarantine []Trait
	Release    []Trait
	// Precaution holds traits that are to be quarantined for a PrecautionTerm: their
	// service answers nothing else, so it may have another fault.
	Precaution []Trait
}

// Tracker joins the evidence of all gateways. It is not safe for concurrent use.
type Tracker struct {
	// crashes are sorted by time.
	crashes []*Crash
	// lastAnswer is when a request with a trait was last answered in full, as far as
	// gateways have reported it.
	lastAnswer map[Trait]time.Time
	// knownSince is since when the tracker knows the state of an entry.
	knownSince map[entryState]time.Time
	// probe is the last request that was allowed, cautionProbes the time of the last attempt
	// that was allowed at each request among the cautions.
	probe         probe
	cautionProbes map[Trait]time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{lastAnswer: map[Trait]time.Time{}, knownSince: map[entryState]time.Time{}, cautionProbes: map[Trait]time.Time{}}
}

// RecordCrash adds a gateway's report of a crash. Reports of several gateways on one
// crash are joined.
func (t *Tracker) RecordCrash(now time.Time, c *Crash) {
	for _, known := range t.crashes {
		if known.sameCrash(c.Endpoint, c.At) {
			known.Requests = appendNew(known.Requests, c.Requests)
			known.Requests = known.Requests[:min(len(known.Requests), maxTrackedRequests)]
			return
		}
	}
	t.crashes = append(t.crashes, &Crash{Service: c.Service, Endpoint: c.Endpoint, At: c.At, Requests: slices.Clone(c.Requests)})
	slices.SortFunc(t.crashes, func(a, b *Crash) int { return a.At.Compare(b.At) })
	t.crashes = t.crashes[max(0, len(t.crashes)-maxCrashes):]
	t.forgetOld(now)
}

// appendNew appends those requests that the list does not contain.
func appendNew(list, requests [][]Trait) [][]Trait {
	for _, r := range requests {
		if !slices.ContainsFunc(list, func(known []Trait) bool { return slices.Equal(known, r) }) {
			list = append(list, r)
		}
	}
	return list
}

func (t *Tracker) forgetOld(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool { return now.Sub(c.At) > crashMemory })
	for p, at := range t.lastAnswer {
		if now.Sub(at) > crashMemory {
			delete(t.lastAnswer, p)
		}
	}
	maps.DeleteFunc(t.cautionProbes, func(_ Trait, at time.Time) bool { return now.Sub(at) > probeTime })
}

// RecordAnswer records that a request with the trait was answered in full at the time.
func (t *Tracker) RecordAnswer(p Trait, at time.Time) {
	if at.After(t.lastAnswer[p]) {
		t.lastAnswer[p] = at
	}
}

// Suspects returns the traits about whose answers gateways must report: those of the
// entries and the cautions, and those under which endpoints crashed, newest crash first,
// with no answer since. As long as a crash counts against a trait, an answer must count for
// it.
func (t *Tracker) Suspects(now time.Time, entries, cautions []Entry) []Trait {
	var suspects []Trait
	seen := map[Trait]bool{}
	add := func(p Trait) {
		if !seen[p] && len(suspects) < maxSuspects {
			seen[p] = true
			suspects = append(suspects, p)
		}
	}
	for _, e := range slices.Concat(entries, cautions) {
		add(e.Trait)
	}
	for _, c := range slices.Backward(t.keptCrashes(now, now)) {
		for _, p := range append(c.traits(), anyRequest(c.Service)) {
			if !t.lastAnswer[p].After(c.At) {
				add(p)
			}
		}
	}
	return suspects
}

// Decide returns the traits to quarantine and to release, given the traits that are or
// were quarantined and the number of gateways.
func (t *Tracker) Decide(now time.Time, entries []Entry, gateways int) Decision {
	t.updateKnown(now, entries)
	var d Decision
	active, endedAt := map[Trait]bool{}, map[Trait]time.Time{}
	for _, e := range entries {
		switch {
		case t.lastAnswer[e.Trait].After(t.knownSince[e.state()]):
			d.Release = append(d.Release, e.Trait)
		case e.Active:
			active[e.Trait] = true
		default:
			endedAt[e.Trait] = e.EndedAt
		}
	}
	t.dropCleared(now, active)
	e := evidence{crashes: t.crashesUntil(settledAt(now, gateways)), lastAnswer: t.lastAnswer, quarantined: active, endedAt: endedAt}
	found := e.evaluate()
	d.Quarantine, d.Precaution = found.harmful, found.suspected
	return d
}

// settledAt returns the time up to which gateways have reported the answers that clear a
// trait of a crash.
func settledAt(now time.Time, gateways int) time.Time {
	return now.Add(-settleTime - time.Duration(gateways)*settleTimePerGateway)
}

// updateKnown records since when each entry is in its state.
func (t *Tracker) updateKnown(now time.Time, entries []Entry) {
	known := make(map[entryState]time.Time, len(entries))
	for _, e := range entries {
		since, ok := t.knownSince[e.state()]
		if !ok {
			since = now
		}
		known[e.state()] = since
	}
	t.knownSince = known
}

// dropCleared removes from the crashes the traits that were answered since, and the
// crashes that are no evidence against any trait.
func (t *Tracker) dropCleared(now time.Time, quarantined map[Trait]bool) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool {
		if c.underQuarantinedPart(quarantined) {
			return now.Sub(c.At) > explainedMemory
		}
		for i, request := range c.Requests {
			c.Requests[i] = slices.DeleteFunc(slices.Clone(request), func(p Trait) bool { return t.lastAnswer[p].After(c.At) })
		}
		c.Requests = slices.DeleteFunc(c.Requests, func(request []Trait) bool { return len(request) == 0 })
		return len(c.Requests) == 0
	})
}

// underQuarantinedPart reports whether one of the requests had a quarantined prompt part.
func (c *Crash) underQuarantinedPart(quarantined map[Trait]bool) bool {
	return slices.ContainsFunc(c.traits(), func(t Trait) bool { return t.Kind == PromptPart && quarantined[t] })
}

// crashesUntil returns the crashes up to the time.
func (t *Tracker) crashesUntil(until time.Time) []*Crash {
	n, _ := slices.BinarySearchFunc(t.crashes, until, func(c *Crash, at time.Time) int {
		if c.At.After(at) {
			return 1
		}
		return -1
	})
	return t.crashes[:n]
}
