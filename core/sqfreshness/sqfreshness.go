// Package sqfreshness decides until when a gateway may act on the routing table that it
// holds. Each response of the lease holder says which version was in force when the
// request was sent. The gateway may act on a version for a limited time after it was last
// known to be the newest, and for a shorter time if it knows that a newer one is in force.
package sqfreshness

import "time"

// maxReports limits the reports that are kept of versions that the gateway does not hold
// yet. If there are more, the oldest ones are joined.
const maxReports = 64

// Config configures a Lease.
type Config struct {
	// MaxSuperseded is how long a gateway may act on a version after it was last known to
	// be the newest, if a newer one is known to be in force; 0 means that this makes no
	// difference.
	MaxSuperseded time.Duration
}

// Lease is a gateway's permission to act on the routing table that it holds. It is not
// safe for concurrent use.
type Lease struct {
	cfg  Config
	held uint64
	// reports says when versions were last known to be the newest, sorted by version. The
	// first one is of the held version or an older one.
	reports []report
}

type report struct {
	version uint64
	sentAt  time.Time
	term    time.Duration
}

// New returns a lease of a gateway that holds no version and has heard nothing.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Record records that a response named the version in force. The request was sent at
// sentAt, and the term is that of the lease. It returns false if a newer version is held or
// known: versions only increase, so the response is outdated.
func (l *Lease) Record(sentAt time.Time, version uint64, term time.Duration) bool {
	n := len(l.reports)
	if version < l.held || n > 0 && version < l.reports[n-1].version {
		return false
	}
	r := report{version: version, sentAt: sentAt, term: term}
	if n > 0 && l.reports[n-1].version == version {
		l.reports[n-1] = r
	} else {
		l.reports = append(l.reports, r)
	}
	if len(l.reports) > maxReports {
		// Without the second report, its version is only trusted from an earlier time on.
		l.reports = append(l.reports[:1], l.reports[2:]...)
	}
	return true
}

// Hold records that the gateway holds the version from now on.
func (l *Lease) Hold(version uint64) {
	l.held = version
	for len(l.reports) > 1 && l.reports[1].version <= version {
		l.reports = l.reports[1:]
	}
}

// Awaited returns the newest version known to be in force if the gateway does not hold
// it, otherwise 0.
func (l *Lease) Awaited() uint64 {
	if n := len(l.reports); n > 0 && l.reports[n-1].version > l.held {
		return l.reports[n-1].version
	}
	return 0
}

// Until returns the time until which the gateway may act on the version that it holds. The
// zero time means that it may not act on it.
func (l *Lease) Until() time.Time {
	if len(l.reports) == 0 || l.reports[0].version > l.held {
		return time.Time{}
	}
	r := l.reports[0]
	if l.Awaited() != 0 && l.cfg.MaxSuperseded > 0 {
		return r.sentAt.Add(min(r.term, l.cfg.MaxSuperseded))
	}
	return r.sentAt.Add(r.term)
}
