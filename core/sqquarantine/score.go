package sqquarantine

import "time"

// mostHarmful returns the part with the highest score, or none if no part has one. It
// returns several such parts if no crash happened under two of them, or if more crashes
// are not likely to tell them apart, and otherwise none.
func (t *Tracker) mostHarmful(crashes []*Crash, former map[Part]bool) []Part {
	var worst []Part
	highest := 0
	for _, p := range allParts(crashes) {
		switch score := t.score(p, crashes, former[p]); {
		case score == 0:
		case score > highest:
			worst, highest = []Part{p}, score
		case score == highest:
			worst = append(worst, p)
		}
	}
	if highest < decisiveCrashes && shareCrash(worst, crashes) {
		return nil
	}
	return worst
}

// allParts returns the parts of all crashes, each once.
func allParts(crashes []*Crash) []Part {
	var parts []Part
	seen := map[Part]bool{}
	for _, c := range crashes {
		for _, p := range c.parts() {
			if !seen[p] {
				seen[p] = true
				parts = append(parts, p)
			}
		}
	}
	return parts
}

// score returns the number of crashes that count against the part, or 0 if they are not
// enough. A part that was quarantined before scores above all others.
func (t *Tracker) score(p Part, crashes []*Crash, former bool) int {
	n := t.countCrashes(p, crashes)
	switch {
	case former && n >= minRepeatedCrashes:
		return n + maxCrashes
	case n >= minCrashes:
		return n
	default:
		return 0
	}
}

// shareCrash reports whether an endpoint crashed under two of the parts at once.
func shareCrash(parts []Part, crashes []*Crash) bool {
	for _, c := range crashes {
		n := 0
		for _, p := range parts {
			if c.contains(p) {
				n++
			}
		}
		if n > 1 {
			return true
		}
	}
	return false
}

// countCrashes returns how many crashes happened under the part since a request with it
// was last answered. It returns 0 unless the service has answered other requests since:
// a service that answers nothing has another fault.
func (t *Tracker) countCrashes(p Part, crashes []*Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if !c.contains(p) || !c.At.After(t.lastAnswer[p]) || n > 0 && c.At.Sub(last) < crashSpacing {
			continue
		}
		n++
		last = c.At
	}
	if !t.lastAnswer[anyPart(p.Service)].After(last) {
		return 0
	}
	return n
}
