// Package sqorigin remembers at which service and software version event streams began.
// What two versions write does not fit together, so a stream that broke off may go on only
// at the version that began it, whichever gateway its caller comes to.
//
// Each gateway keeps a Log of the streams that began there and reports it to the lease
// holder, which keeps one Log for all gateways.
package sqorigin

import "time"

// memory is how long after its beginning a stream may be taken up again.
const memory = 2 * time.Minute

// maxReported is how many entries a gateway reports at once.
const maxReported = 1024

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the endpoint's software.
	Version string
}

// Entry is a stream that began, by the identity of the attempt that brought its first
// event.
type Entry struct {
	Attempt string
	Origin  Origin
	at      time.Time
}

// Log holds the origins of streams. It is not safe for concurrent use.
type Log struct {
	maxEntries int
	byAttempt  map[string]Origin
	// entries are sorted by time; first is the number of the first one.
	entries []Entry
	first   uint64
	// next is the number of the first entry that the holder of term has not acknowledged.
	next, term uint64
}

// NewLog returns an empty log of at most maxEntries entries.
func NewLog(maxEntries int) *Log {
	return &Log{maxEntries: maxEntries, byAttempt: map[string]Origin{}}
}

// Record records that a stream began. The first record of an attempt counts. The oldest
// entries are dropped if there are too many, or if they are older than memory.
func (l *Log) Record(now time.Time, attempt string, o Origin) {
	if _, known := l.byAttempt[attempt]; known {
		return
	}
	l.byAttempt[attempt] = o
	l.entries = append(l.entries, Entry{Attempt: attempt, Origin: o, at: now})
	for len(l.entries) > l.maxEntries || now.Sub(l.entries[0].at) > memory {
		delete(l.byAttempt, l.entries[0].Attempt)
		l.entries = l.entries[1:]
		l.first++
	}
	l.next = max(l.next, l.first)
}

// Find returns where the stream began whose first event the attempt brought.
func (l *Log) Find(attempt string) (Origin, bool) {
	o, ok := l.byAttempt[attempt]
	return o, ok
}

// Unreported returns entries that the lease holder has not acknowledged, oldest first, and
// the number to acknowledge them with.
func (l *Log) Unreported() (entries []Entry, end uint64) {
	entries = l.entries[l.next-l.first:]
	entries = entries[:min(len(entries), maxReported)]
	return entries, l.next + uint64(len(entries))
}

// Acknowledge records that the holder of the term has the entries up to end. The holder of
// another term than before has none, so all are reported again.
func (l *Log) Acknowledge(term, end uint64) {
	if term != l.term {
		l.term, l.next = term, l.first
		return
	}
	l.next = max(l.next, end)
}
