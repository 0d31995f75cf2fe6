package sqquarantine

import "time"

// probeTime is how long after a request with a trait was allowed no other is, unless the
// first one settles the matter before.
const probeTime = 3 * time.Second

// probe is a request that was allowed after the quarantine of one of its traits.
type probe struct {
	trait     Trait
	grantedAt time.Time
}

// ProbeCaution is Probe for a trait among the cautions. One request at a time is allowed with
// each of them, since sound ones may be among them, which must not wait for each other.
func (t *Tracker) ProbeCaution(now time.Time, trait Trait) (granted bool, wait time.Duration) {
	if wait = probeTime - now.Sub(t.cautionProbes[trait]); wait > 0 {
		return false, wait
	}
	t.cautionProbes[trait] = now
	return true, 0
}

// Probe reports whether a gateway may send one request with the trait, given the traits
// that are or were quarantined (with any other it may), and otherwise after which time it is worth another try. It
// allows one request at a time over all traits, so that a crash has one cause.
func (t *Tracker) Probe(now time.Time, trait Trait, entries []Entry) (granted bool, wait time.Duration) {
	known, probing := false, false
	for _, e := range entries {
		if e.Trait == trait && e.Active {
			return false, e.EndedAt.Sub(now)
		}
		known = known || e.Trait == trait
		probing = probing || e.Trait == t.probe.trait && !e.Active && now.Sub(t.probe.grantedAt) < probeTime
	}
	switch {
	case !known:
		return true, 0
	case probing:
		return false, probeTime - now.Sub(t.probe.grantedAt)
	}
	t.probe = probe{trait: trait, grantedAt: now}
	return true, 0
}
