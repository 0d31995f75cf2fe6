package sqquarantine

import (
	"slices"
	"time"
)

const (
	// partSpacing and requestSpacing are the times between two crashes that count.
	// Crashes that come closer together may have one other cause. A request that is sent on
	// after a crash needs little time to crash the next endpoint.
	partSpacing    = 100 * time.Millisecond
	requestSpacing = 30 * time.Millisecond
	// waveSpacing is the time between two waves of crashes. The endpoints of an availability
	// zone that loses power need not crash within partSpacing.
	waveSpacing = 1 * time.Second
	// minWaves is in how many waves endpoints must have crashed under a prompt part for each
	// of decisiveCrashes to count.
	minWaves = 2
)

// crashesByTrait returns the crashes under each trait of the kinds, in order. A rack of
// engines that crashes has hundreds of requests in flight.
func crashesByTrait(crashes []*Crash, kinds ...Kind) map[Trait][]*Crash {
	under := map[Trait][]*Crash{}
	for _, c := range crashes {
		for _, request := range c.Requests {
			for _, t := range request {
				known := under[t]
				if slices.Contains(kinds, t.Kind) && (len(known) == 0 || known[len(known)-1] != c) {
					under[t] = append(known, c)
				}
			}
		}
	}
	return under
}

// crashCount returns how many crashes count against the trait. Those at one moment count as
// one, since they may have one other cause, such as a rack without power. If many endpoints
// crashed under a prompt part, and not all in one wave, that is unlikely: then the part has
// enough crashes, and in a service that answers nothing else, each of them counts.
func (e *evidence) crashCount(t Trait, counted []*Crash) int {
	if t.Kind == WholeRequest || len(e.crashesSince(t, waveSpacing)) < minWaves {
		return len(counted)
	}
	all := len(e.crashesSince(t, 0))
	switch {
	case all < decisiveCrashes:
		return len(counted)
	case e.answersOthers(t, counted):
		return max(len(counted), minCrashes)
	default:
		return all
	}
}

// countedCrashes returns the crashes that count against the trait.
func (e *evidence) countedCrashes(t Trait) []*Crash {
	if t.Kind == WholeRequest {
		return e.crashesSince(t, requestSpacing)
	}
	return e.crashesSince(t, partSpacing)
}

// crashesSince returns the unexplained crashes under the trait that happened under another
// request, without those that came sooner than spacing after another one.
func (e *evidence) crashesSince(t Trait, spacing time.Duration) []*Crash {
	var counted []*Crash
	seen := map[string]bool{}
	for _, c := range e.unexplainedCrashes(t) {
		if !addsRequest(c, t, seen) {
			continue
		}
		if n := len(counted); n > 0 && c.At.Sub(counted[n-1].At) < spacing {
			continue
		}
		counted = append(counted, c)
	}
	return counted
}

// unexplainedCrashes returns the crashes that happened under the trait since a request with
// it was last answered and since its last quarantine ended, without those that another trait
// explains.
func (e *evidence) unexplainedCrashes(t Trait) []*Crash {
	var crashes []*Crash
	for _, c := range e.under[t] {
		if c.At.After(e.lastAnswer[t]) && c.At.After(e.endedAt[t]) && !e.explained(c, t) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// addsRequest reports whether the crash happened under a request with the trait that is
// not among those seen, and adds such requests to them. A part counts once for each
// request, since a request that crashes endpoints by itself says nothing about its parts.
func addsRequest(c *Crash, t Trait, seen map[string]bool) bool {
	isNew := false
	for _, request := range c.Requests {
		if !slices.Contains(request, t) {
			continue
		}
		id := wholeRequest(request)
		if t.Kind == PromptPart && id != "" && seen[id] {
			continue
		}
		seen[id] = true
		isNew = true
	}
	return isNew
}

// explained reports whether the crash happened under another trait that is or was in
// quarantine. A request in quarantine does not clear its own parts.
func (e *evidence) explained(c *Crash, t Trait) bool {
	if len(e.quarantined)+len(e.endedAt) == 0 {
		return false
	}
	for _, request := range c.Requests {
		has := slices.Contains(request, t)
		for _, other := range request {
			isOwn := has && t.Kind == PromptPart && other.Kind == WholeRequest
			if other != t && !isOwn && e.explains(other, c) {
				return true
			}
		}
	}
	return false
}

// explains reports whether the trait was in quarantine when gateways could know of the
// crash, or is now.
func (e *evidence) explains(t Trait, c *Crash) bool {
	endedAt, former := e.endedAt[t]
	return e.quarantined[t] || former && !c.At.After(endedAt)
}
