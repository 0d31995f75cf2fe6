package sqquarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is how many crashes under a part, with no answer to it in between, make
	// it harmful. A part that was quarantined before needs minRepeatedCrashes.
	minCrashes         = 3
	minRepeatedCrashes = 1
	// decisiveCrashes is how many crashes under several parts make all of them harmful
	// if nothing tells them apart.
	decisiveCrashes = 5
	// crashSpacing is the time between two crashes that count. Crashes that come closer
	// together may have one other cause.
	crashSpacing = 100 * time.Millisecond
	// crashMemory is how long a crash is kept, and maxCrashes how many are.
	crashMemory = 10 * time.Minute
	maxCrashes  = 64
	// explainedMemory is how long a crash under a quarantined part is kept, so that late
	// reports are joined to it.
	explainedMemory = 10 * time.Second
	// askTime is how long after a crash gateways are asked about the answers to its parts,
	// and maxSuspects the maximum number of parts about which they are. Many parts never
	// come again.
	askTime     = 30 * time.Second
	maxSuspects = 256
	// Gateways need settleTime, and settleTimePerGateway for each of them, to report the
	// answers that clear a part of a crash.
	settleTime           = 500 * time.Millisecond
	settleTimePerGateway = 5 * time.Millisecond
)

// Term of a quarantine. Each further quarantine of a part lasts twice as long.
const (
	firstTerm   = 5 * time.Minute
	maxDoubling = 6
)

// Term returns how long a part is quarantined that was quarantined before as often as
// stated.
func Term(previous int) time.Duration { return firstTerm << min(max(previous, 0), maxDoubling) }

// Entry is a part that is or was quarantined.
type Entry struct {
	Part Part
	// Active is true until the term of the quarantine ends.
	Active bool
}

// Decision is what a Tracker decides. Both lists are in no particular order.
type Decision struct {
	// Quarantine holds harmful parts, Release quarantined ones that proved harmless.
	Quarantine []Part
	Release    []Part
}

// Tracker joins the evidence of all gateways. It is not safe for concurrent use.
type Tracker struct {
	// crashes are sorted by time.
	crashes []*Crash
	// lastAnswer is when a request with a part was last answered in full, as far as
	// gateways have reported it.
	lastAnswer map[Part]time.Time
	// knownSince is since when the tracker knows the state of an entry.
	knownSince map[Entry]time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{lastAnswer: map[Part]time.Time{}, knownSince: map[Entry]time.Time{}}
}

// RecordCrash adds a gateway's report of a crash. Reports of several gateways on one
// crash are joined.
func (t *Tracker) RecordCrash(now time.Time, c *Crash) {
	for _, known := range t.crashes {
		if known.sameCrash(c.Endpoint, c.At) {
			known.Requests = appendNew(known.Requests, c.Requests)
			return
		}
	}
	t.crashes = append(t.crashes, &Crash{Service: c.Service, Endpoint: c.Endpoint, At: c.At, Requests: slices.Clone(c.Requests)})
	slices.SortFunc(t.crashes, func(a, b *Crash) int { return a.At.Compare(b.At) })
	t.crashes = t.crashes[max(0, len(t.crashes)-maxCrashes):]
	t.forgetOld(now)
}

// appendNew appends those requests that the list does not contain.
func appendNew(list, requests [][]string) [][]string {
	for _, r := range requests {
		if !slices.ContainsFunc(list, func(known []string) bool { return slices.Equal(known, r) }) {
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
}

// RecordAnswer records that a request with the part was answered in full at the time.
func (t *Tracker) RecordAnswer(p Part, at time.Time) {
	if at.After(t.lastAnswer[p]) {
		t.lastAnswer[p] = at
	}
}

// Suspects returns the parts about whose answers gateways must report: those of the
// entries, and those under which endpoints crashed within askTime, newest crash first,
// with no answer since.
func (t *Tracker) Suspects(now time.Time, entries []Entry) []Part {
	var suspects []Part
	seen := map[Part]bool{}
	add := func(p Part) {
		if !seen[p] && len(suspects) < maxSuspects {
			seen[p] = true
			suspects = append(suspects, p)
		}
	}
	for _, e := range entries {
		add(e.Part)
	}
	for _, c := range slices.Backward(t.crashes) {
		if now.Sub(c.At) > askTime {
			break
		}
		for _, p := range append(c.parts(), anyPart(c.Service)) {
			if !t.lastAnswer[p].After(c.At) {
				add(p)
			}
		}
	}
	return suspects
}

// Decide returns the parts to quarantine and to release, given the parts that are or
// were quarantined and the number of gateways.
func (t *Tracker) Decide(now time.Time, entries []Entry, gateways int) Decision {
	t.updateKnown(now, entries)
	var d Decision
	active, former := map[Part]bool{}, map[Part]bool{}
	for _, e := range entries {
		if t.lastAnswer[e.Part].After(t.knownSince[e]) {
			d.Release = append(d.Release, e.Part)
			continue
		}
		active[e.Part], former[e.Part] = e.Active, !e.Active
	}
	t.dropCleared(now, active)
	settled := now.Add(-settleTime - time.Duration(gateways)*settleTimePerGateway)
	unexplained := t.unexplainedCrashes(settled, active)
	d.Quarantine = t.mostHarmful(unexplained, former)
	return d
}

// updateKnown records since when each entry is in its state.
func (t *Tracker) updateKnown(now time.Time, entries []Entry) {
	known := make(map[Entry]time.Time, len(entries))
	for _, e := range entries {
		since, ok := t.knownSince[e]
		if !ok {
			since = now
		}
		known[e] = since
	}
	t.knownSince = known
}

// dropCleared removes from the crashes the parts that were answered since, and the
// crashes that are no evidence against any part.
func (t *Tracker) dropCleared(now time.Time, quarantined map[Part]bool) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool {
		if c.explained(quarantined) {
			return now.Sub(c.At) > explainedMemory
		}
		for i, request := range c.Requests {
			c.Requests[i] = slices.DeleteFunc(slices.Clone(request), func(id string) bool {
				return t.lastAnswer[Part{Service: c.Service, ID: id}].After(c.At)
			})
		}
		c.Requests = slices.DeleteFunc(c.Requests, func(request []string) bool { return len(request) == 0 })
		return len(c.Requests) == 0
	})
}

// explained reports whether one of the requests had a quarantined part.
func (c *Crash) explained(quarantined map[Part]bool) bool {
	return slices.ContainsFunc(c.parts(), func(p Part) bool { return quarantined[p] })
}

// unexplainedCrashes returns the crashes up to the time that happened under no
// quarantined part.
func (t *Tracker) unexplainedCrashes(until time.Time, quarantined map[Part]bool) []*Crash {
	var crashes []*Crash
	for _, c := range t.crashes {
		if !c.explained(quarantined) && !c.At.After(until) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}
