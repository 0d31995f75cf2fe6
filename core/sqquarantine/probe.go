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

// Probe reports whether a gateway may send one request with the trait, given the traits
// that are or were quarantined, and otherwise after which time it is worth another try. It
// allows one request at a time over all traits, so that a crash has one cause.
func (t *Tracker) Probe(now time.Time, trait Trait, entries []Entry) (granted bool, wait time.Duration) {
	probing := false
	for _, e := range entries {
		switch {
		case e.Trait == trait && e.Active:
			return false, e.EndedAt.Sub(now)
		case e.Trait == t.probe.trait:
			probing = !e.Active && now.Sub(t.probe.grantedAt) < probeTime
		}
	}
	if probing {
		return false, probeTime - now.Sub(t.probe.grantedAt)
	}
	t.probe = probe{trait: trait, grantedAt: now}
	return true, 0
}
