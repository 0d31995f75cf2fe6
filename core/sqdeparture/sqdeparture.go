// Package sqdeparture remembers the endpoints that reported that they are about to stop.
// Gateways and the lease holder use it beside the platform's list of endpoints, which may
// show a departure later than the endpoint itself, or may be older than its report.
package sqdeparture

import (
	"slices"
	"time"
)

// memory is how long an endpoint that is no longer listed stays remembered. Lists that are
// older than its report may name it until then.
const memory = 1 * time.Minute

// Log holds the endpoints that are about to stop, by identity. A restart of an endpoint
// gives it a new identity. It is not safe for concurrent use.
type Log struct {
	// keepUntil holds when an endpoint is forgotten, unless it is listed.
	keepUntil map[string]time.Time
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{keepUntil: map[string]time.Time{}} }

// Record records that the endpoint is about to stop. It returns false if that was
// recorded before.
func (l *Log) Record(now time.Time, id string) bool {
	_, known := l.keepUntil[id]
	l.keepUntil[id] = now.Add(memory)
	return !known
}

// Contains reports whether the endpoint is about to stop.
func (l *Log) Contains(id string) bool {
	_, ok := l.keepUntil[id]
	return ok
}

// Forget forgets the endpoints that have not been listed for some time and returns their
// identities, sorted.
func (l *Log) Forget(now time.Time, listed func(id string) bool) []string {
	var forgotten []string
	for id, until := range l.keepUntil {
		switch {
		case listed(id):
			l.keepUntil[id] = now.Add(memory)
		case !now.Before(until):
			delete(l.keepUntil, id)
			forgotten = append(forgotten, id)
		}
	}
	slices.Sort(forgotten)
	return forgotten
}
