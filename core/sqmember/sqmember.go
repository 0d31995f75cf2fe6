// Package sqmember keeps the membership of the entries: who renewed its
// freshness lease when, what each confirmed, and so what is in force where.
package sqmember

import (
	"sort"
	"time"
)

// driftMargin covers the difference in rate between the clocks of two VMs, as
// a part of the freshness lease.
const driftMargin = 50

// Config configures a Registry.
type Config struct {
	// LeaseDuration is how long an entry may act on one answer.
	LeaseDuration time.Duration
	// RetainExpired is how long an entry is listed after its lease ended.
	RetainExpired time.Duration
}

// Report holds what an entry tells when it renews its lease.
type Report struct {
	Entry           string
	Run             string
	Zone            string
	Address         string
	InternalAddress string
	Leaving         bool
	// Load is the entry's coarse load.
	Load uint32
	// Version, KeyRevision and FleetRevision are what the entry acts on.
	Version       uint64
	KeyRevision   uint64
	FleetRevision uint64
	// Drained lists draining endpoints on which the entry has no work.
	Drained []string
}

// Entry is one entry as last reported.
type Entry struct {
	cfg  Report
	seen time.Time
}

// Name returns the entry's name.
func (e Entry) Name() string { return e.cfg.Entry }

// Run returns the identity of the entry's process start.
func (e Entry) Run() string { return e.cfg.Run }

// Zone returns the entry's availability zone.
func (e Entry) Zone() string { return e.cfg.Zone }

// Address returns where callers connect.
func (e Entry) Address() string { return e.cfg.Address }

// InternalAddress returns where operators connect.
func (e Entry) InternalAddress() string { return e.cfg.InternalAddress }

// Leaving returns whether the entry has announced its stop.
func (e Entry) Leaving() bool { return e.cfg.Leaving }

// Load returns the entry's coarse load, a step for each doubling.
func (e Entry) Load() uint32 { return e.cfg.Load }

// Version returns the configuration that the entry acts on.
func (e Entry) Version() uint64 { return e.cfg.Version }

// Registry keeps the entries that one holder has heard of.
type Registry struct {
	cfg     Config
	since   time.Time
	entries map[string]*Entry
	// unheard are the entries that may hold a lease of an earlier holder and have
	// not reported to this one.
	unheard map[string]bool
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, entries: make(map[string]*Entry)}
}

// Reset forgets all entries. A process that takes over as holder cannot know
// what its predecessor told the given entries, which may hold a lease, until
// each has reported or a whole lease has passed since the predecessor's
// authority was over.
func (r *Registry) Reset(over time.Time, mayHoldLease []string) {
	r.since = over
	r.entries = make(map[string]*Entry)
	r.unheard = make(map[string]bool)
	for _, name := range mayHoldLease {
		r.unheard[name] = true
	}
}

// Renew records an entry's report. The entry counts its lease from before it
// sent the report, so its lease ends before now plus Fresh.
func (r *Registry) Renew(now time.Time, cfg Report) {
	r.entries[cfg.Entry] = &Entry{cfg: cfg, seen: now}
	delete(r.unheard, cfg.Entry)
	r.forget(now)
}

func (r *Registry) forget(now time.Time) {
	for name, e := range r.entries {
		if now.Sub(e.seen) > r.lease()+r.cfg.RetainExpired {
			delete(r.entries, name)
		}
	}
}

func (r *Registry) lease() time.Duration {
	return r.cfg.LeaseDuration + r.cfg.LeaseDuration/driftMargin
}

// HasLease returns whether the entry may still act on an answer.
func (r *Registry) HasLease(now time.Time, e Entry) bool {
	return now.Sub(e.seen) < r.lease()
}

// Complete returns whether every entry that may act on an earlier holder's word
// has reported to this one, or its lease has ended.
func (r *Registry) Complete(now time.Time) bool {
	return len(r.unheard) == 0 || now.Sub(r.since) >= r.lease()
}

// Expired returns the given entries that have not been heard of for so long that
// their place in the log can be given up.
func (r *Registry) Expired(now time.Time, mayHoldLease []string) []string {
	if now.Sub(r.since) < r.lease()+r.cfg.RetainExpired {
		return nil
	}
	var gone []string
	for _, name := range mayHoldLease {
		if r.entries[name] == nil {
			gone = append(gone, name)
		}
	}
	return gone
}

// InForce returns whether no entry can act on anything older than the version
// and the key revision.
func (r *Registry) InForce(now time.Time, version, keyRevision uint64) bool {
	if !r.Complete(now) {
		return false
	}
	for _, e := range r.entries {
		confirmed := e.cfg.Version >= version && e.cfg.KeyRevision >= keyRevision
		if !confirmed && r.HasLease(now, *e) {
			return false
		}
	}
	return true
}

// Drained returns whether no entry has or can start work on an endpoint that
// is draining since the fleet revision. An entry's word counts only when it
// acted on that revision: an older word may come from an earlier drain.
func (r *Registry) Drained(now time.Time, endpoint string, revision uint64) bool {
	if !r.Complete(now) {
		return false
	}
	for _, e := range r.entries {
		if r.HasLease(now, *e) && !e.stopped(endpoint, revision) {
			return false
		}
	}
	return true
}

func (e *Entry) stopped(endpoint string, revision uint64) bool {
	if e.cfg.FleetRevision < revision {
		return false
	}
	for _, id := range e.cfg.Drained {
		if id == endpoint {
			return true
		}
	}
	return false
}

// RunEnded returns whether a process start of an entry can no longer act: its
// lease ended, or the entry was started anew.
func (r *Registry) RunEnded(now time.Time, entry, run string) bool {
	if !r.Complete(now) {
		return false
	}
	e := r.entries[entry]
	if e == nil || !r.HasLease(now, *e) {
		return true
	}
	return run != "" && e.cfg.Run != run
}

// Entries returns the entries that are listed, by name.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, *e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	return all
}
