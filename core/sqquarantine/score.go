package sqquarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is how many crashes under a trait, with no answer to it in between, make
	// it harmful. A trait that was quarantined before needs minRepeatedCrashes.
	minCrashes         = 3
	minRepeatedCrashes = 1
	// decisiveCrashes is how many crashes under several prompt parts make all of them
	// harmful if nothing tells them apart.
	decisiveCrashes = 5
	// crashesPerStray is how many crashes under a trait of a service that answers nothing
	// outweigh one that has another cause.
	crashesPerStray = 5
)

// evidence is what decides on traits at one time.
type evidence struct {
	crashes []*Crash
	// lastAnswer is when a request with a trait was last answered in full.
	lastAnswer map[Trait]time.Time
	// quarantined holds the traits in quarantine, and endedAt when the quarantine ended of
	// those that are no longer.
	quarantined map[Trait]bool
	endedAt     map[Trait]time.Time
	// under holds the crashes under each trait, in order.
	under map[Trait][]*Crash
}

// findings are the traits to quarantine.
type findings struct {
	// harmful traits crash endpoints of services that answer other requests.
	harmful []Trait
	// suspected traits crash endpoints of services that answer nothing else.
	suspected []Trait
}

// evaluate returns the traits to quarantine.
func (e *evidence) evaluate() findings {
	traits := e.candidates()
	var found findings
	for _, t := range append(e.highest(traits[WholeRequest]), e.mostHarmfulParts(traits[PromptPart])...) {
		if e.answersOthers(t, e.countedCrashes(t)) {
			found.harmful = append(found.harmful, t)
		} else {
			found.suspected = append(found.suspected, t)
		}
	}
	return found
}

// candidates returns the traits that are not in quarantine and under which enough endpoints
// crashed for a score, each once, by kind. When a rack of engines crashes, nearly all of
// its requests have traits of their own.
func (e *evidence) candidates() map[Kind][]Trait {
	e.under = crashesByTrait(e.crashes, PromptPart, WholeRequest)
	traits := map[Kind][]Trait{}
	for t, crashes := range e.under {
		if !e.quarantined[t] && len(crashes) >= e.minCrashes(t) {
			traits[t.Kind] = append(traits[t.Kind], t)
		}
	}
	return traits
}

// minCrashes returns how many crashes make the trait harmful.
func (e *evidence) minCrashes(t Trait) int {
	if _, former := e.endedAt[t]; former {
		return minRepeatedCrashes
	}
	return minCrashes
}

// highest returns the traits with the highest score, or none if no trait has one. The
// others are judged again once these explain their crashes.
func (e *evidence) highest(traits []Trait) []Trait {
	var worst []Trait
	highest := 0
	for _, t := range traits {
		switch score := e.score(t); {
		case score == 0:
		case score > highest:
			worst, highest = []Trait{t}, score
		case score == highest:
			worst = append(worst, t)
		}
	}
	return worst
}

// mostHarmfulParts returns the prompt parts with the highest score. Several are returned
// only if no crash happened under two of them, or if more crashes are not likely to tell
// them apart: a quarantine of a part refuses requests that differ in all else.
func (e *evidence) mostHarmfulParts(parts []Trait) []Trait {
	worst := e.highest(parts)
	if len(worst) > 0 && e.score(worst[0]) < decisiveCrashes && e.shareCrash(worst) {
		return nil
	}
	return e.lastOfQuietServices(worst)
}

// lastOfQuietServices returns the parts without those that another one follows in a prompt
// under which an endpoint of a service crashed that answers nothing else. Each of the two
// stops the crashes, and fewer sound requests have the one that follows.
func (e *evidence) lastOfQuietServices(parts []Trait) []Trait {
	return slices.DeleteFunc(slices.Clone(parts), func(t Trait) bool {
		counted := e.countedCrashes(t)
		return !e.answersOthers(t, counted) && counted[0].isFollowed(t, func(other Trait) bool { return slices.Contains(parts, other) })
	})
}

// score returns the number of crashes that count against the trait, or 0 if they are not
// enough. A trait that was quarantined before scores above all others.
func (e *evidence) score(t Trait) int {
	counted := e.countedCrashes(t)
	n := e.crashCount(t, counted)
	if n < e.minCrashes(t) || !e.isCause(t, counted, n) {
		return 0
	}
	if _, former := e.endedAt[t]; former {
		return n + maxCrashes
	}
	return n
}

// isCause reports whether the trait is the likely cause of the crashes, and not another
// fault of the service. It is if the service has answered other requests meanwhile. A
// service that answers nothing may just have nothing else to do: then the crashes are
// judged by themselves, and a prompt part, which all requests may have, needs more of them
// for its first quarantine.
func (e *evidence) isCause(t Trait, counted []*Crash, count int) bool {
	if e.answersOthers(t, counted) {
		return true
	}
	_, former := e.endedAt[t]
	isEnough := former || t.Kind == WholeRequest || count >= decisiveCrashes
	return isEnough && e.strays(t.Kind, counted)*crashesPerStray <= count
}

// strays returns how many crashes of the same services since the first counted one have no
// suspect of the kind: no trait under which enough endpoints crashed, and none that is or
// was in quarantine. A service with another fault also crashes under requests that come
// once.
func (e *evidence) strays(kind Kind, counted []*Crash) int {
	n := 0
	for _, c := range e.crashes {
		isOther := !slices.ContainsFunc(counted, func(x *Crash) bool { return x.Service == c.Service })
		if isOther || c.At.Before(counted[0].At) {
			continue
		}
		if !slices.ContainsFunc(c.traits(), func(t Trait) bool { return t.Kind == kind && e.isSuspect(t, c) }) {
			n++
		}
	}
	return n
}

// isSuspect reports whether the trait may have caused the crash.
func (e *evidence) isSuspect(t Trait, c *Crash) bool {
	return len(e.under[t]) >= e.minCrashes(t) || e.explains(t, c)
}

// shareCrash reports whether an endpoint crashed under two of the traits at once.
func (e *evidence) shareCrash(traits []Trait) bool {
	return slices.ContainsFunc(e.crashes, func(c *Crash) bool {
		n := 0
		for _, t := range traits {
			if c.contains(t) {
				n++
			}
		}
		return n > 1
	})
}

// answersOthers reports whether the service answered requests while endpoints crashed
// under the trait. One request can take all endpoints of a small service within a moment,
// so that nothing is answered after its last crash; of a prompt part, which all requests
// may have, more is asked.
func (e *evidence) answersOthers(t Trait, counted []*Crash) bool {
	if t.Kind == PromptPart {
		return e.lastAnswer[anyRequest(t.Service)].After(counted[len(counted)-1].At)
	}
	return slices.ContainsFunc(counted, func(c *Crash) bool {
		return e.lastAnswer[anyRequest(c.Service)].After(counted[0].At)
	})
}
