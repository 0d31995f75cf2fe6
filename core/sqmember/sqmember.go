// Package sqmember keeps a registry of the entries, the processes that accept
// the requests of callers. It records when each entry last renewed its
// freshness lease and which configuration it confirmed, and derives whether a
// change has reached every entry.
package sqmember

import (
	"sort"
	"time"
)

// driftDivisor sets the margin for the difference in clock rate between two
// VMs: the freshness lease divided by driftDivisor.
const driftDivisor = 50

// Config configures a Registry.
type Config struct {
	// FreshnessLease is how long an entry may act on one response to its heartbeat.
	FreshnessLease time.Duration
	// Retention is how long an entry stays listed after its lease has
	// ended.
	Retention time.Duration
}

// Heartbeat is what an entry sends when it renews its lease.
type Heartbeat struct {
	Entry string
	// RunID identifies one start of the entry process.
	RunID           string
	Zone            string
	Address         string
	InternalAddress string
	Leaving         bool
	// Load is the load of the entry on a logarithmic scale: one step per
	// doubling.
	Load uint32
	// Version, KeyRevision and FleetRevision are the revisions of the
	// configuration, the keys and the fleet that the entry currently uses.
	Version       uint64
	KeyRevision   uint64
	FleetRevision uint64
	// Drained lists the draining endpoints on which the entry has no work left.
	Drained []string
}

// Entry is an entry as of its last heartbeat.
type Entry struct {
	heartbeat   Heartbeat
	heartbeatAt time.Time
}

// Name returns the entry's name.
func (e Entry) Name() string { return e.heartbeat.Entry }

// RunID returns the ID of the current start of the entry process.
func (e Entry) RunID() string { return e.heartbeat.RunID }

// Zone returns the entry's availability zone.
func (e Entry) Zone() string { return e.heartbeat.Zone }

// Address returns the address that callers connect to.
func (e Entry) Address() string { return e.heartbeat.Address }

// InternalAddress returns the address that operators connect to.
func (e Entry) InternalAddress() string { return e.heartbeat.InternalAddress }

// Leaving reports whether the entry has announced that it is shutting down.
func (e Entry) Leaving() bool { return e.heartbeat.Leaving }

// Load returns the load of the entry on a logarithmic scale: one step per
// doubling.
func (e Entry) Load() uint32 { return e.heartbeat.Load }

// Version returns the version of the configuration that the entry uses.
func (e Entry) Version() uint64 { return e.heartbeat.Version }

// Registry holds the entries that have sent a heartbeat to the current lease holder.
type Registry struct {
	cfg Config
	// predecessorEnd is when the lease of the previous lease holder ended.
	predecessorEnd time.Time
	entries        map[string]*Entry
	// unreported holds the names of entries that may hold a freshness lease
	// from an earlier lease holder and have sent no heartbeat to this one.
	unreported map[string]bool
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, entries: make(map[string]*Entry)}
}

// Reset removes all entries. A process that becomes the lease holder cannot know
// which configuration its predecessor gave to the entries in maybeLeased, until
// each of them has reported or a full freshness lease has passed since
// predecessorEnd, the time when the lease of the predecessor ended.
func (r *Registry) Reset(predecessorEnd time.Time, maybeLeased []string) {
	r.predecessorEnd = predecessorEnd
	r.entries = make(map[string]*Entry)
	r.unreported = make(map[string]bool)
	for _, name := range maybeLeased {
		r.unreported[name] = true
	}
}

// Renew records a heartbeat. The entry starts its lease before it sends the
// heartbeat, so by its own clock the lease ends before now plus FreshnessLease.
func (r *Registry) Renew(now time.Time, heartbeat Heartbeat) {
	r.entries[heartbeat.Entry] = &Entry{heartbeat: heartbeat, heartbeatAt: now}
	delete(r.unreported, heartbeat.Entry)
	r.removeExpired(now)
}

func (r *Registry) removeExpired(now time.Time) {
	for name, e := range r.entries {
		if now.Sub(e.heartbeatAt) > r.leaseBound()+r.cfg.Retention {
			delete(r.entries, name)
		}
	}
}

// leaseBound returns the longest time that a lease can last by the local clock,
// including the margin for clock drift.
func (r *Registry) leaseBound() time.Duration {
	return r.cfg.FreshnessLease + r.cfg.FreshnessLease/driftDivisor
}

// HasLease reports whether the lease of the entry may still be valid, allowing
// for clock drift.
func (r *Registry) HasLease(now time.Time, e Entry) bool {
	return now.Sub(e.heartbeatAt) < r.leaseBound()
}

// Complete reports whether the registry covers every entry that may still hold
// a lease: each entry leased by an earlier lease holder has reported to this
// one, or its lease has ended.
func (r *Registry) Complete(now time.Time) bool {
	return len(r.unreported) == 0 || now.Sub(r.predecessorEnd) >= r.leaseBound()
}

// Expired returns those of the given entries that have not reported for so long
// that they can be removed from the log.
func (r *Registry) Expired(now time.Time, maybeLeased []string) []string {
	if now.Sub(r.predecessorEnd) < r.leaseBound()+r.cfg.Retention {
		return nil
	}
	var expired []string
	for _, name := range maybeLeased {
		if r.entries[name] == nil {
			expired = append(expired, name)
		}
	}
	return expired
}

// InForce reports whether every entry that may hold a lease uses at least the
// given version and key revision.
func (r *Registry) InForce(now time.Time, version, keyRevision uint64) bool {
	if !r.Complete(now) {
		return false
	}
	for _, e := range r.entries {
		confirmed := e.heartbeat.Version >= version && e.heartbeat.KeyRevision >= keyRevision
		if !confirmed && r.HasLease(now, *e) {
			return false
		}
	}
	return true
}

// Drained reports whether no entry has work, or can start work, on an endpoint
// that has been draining since the given fleet revision. The heartbeat of an entry
// counts only if the entry used that revision or a later one: an older heartbeat
// may refer to an earlier drain of the endpoint.
func (r *Registry) Drained(now time.Time, endpoint string, revision uint64) bool {
	if !r.Complete(now) {
		return false
	}
	for _, e := range r.entries {
		if r.HasLease(now, *e) && !e.hasDrained(endpoint, revision) {
			return false
		}
	}
	return true
}

func (e *Entry) hasDrained(endpoint string, revision uint64) bool {
	if e.heartbeat.FleetRevision < revision {
		return false
	}
	for _, id := range e.heartbeat.Drained {
		if id == endpoint {
			return true
		}
	}
	return false
}

// RunEnded reports whether the given run of an entry can no longer act, because
// its lease has ended or the entry process was restarted.
func (r *Registry) RunEnded(now time.Time, entry, runID string) bool {
	if !r.Complete(now) {
		return false
	}
	e := r.entries[entry]
	if e == nil || !r.HasLease(now, *e) {
		return true
	}
	return runID != "" && e.heartbeat.RunID != runID
}

// Entries returns the listed entries, sorted by name.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, *e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	return all
}
