package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"sequoiadock/core/sqreader"
	"sequoiadock/io/sqrpc"
)

const (
	// maxWorkEndpoints is the number of endpoints at which a loaded watcher
	// reports work.
	maxWorkEndpoints = 60
	// readingAge is the age that a watcher reports for its readings.
	readingAge = 300 * time.Millisecond
	// maxTokens bounds the random token counts in a watcher's readings.
	maxTokens = 4000
	// idleReadingPeriod is the time between two readings of idle endpoints.
	idleReadingPeriod = 2500 * time.Millisecond
)

// reader generates random readings of the endpoints that are assigned to an entry
// with the same name.
type reader struct {
	name      string
	entries   []sqreader.Node
	endpoints []sqreader.Node
	assigned  []bool
	// lastIdle is when idleReadings last returned readings.
	lastIdle time.Time
}

func newReader(name string) *reader { return &reader{name: name} }

// update replaces the lists of entries and endpoints by those in a response. A
// list that is empty in the response has not changed.
func (r *reader) update(res *sqrpc.WatchResponse) {
	if len(res.GetEntries()) == 0 && len(res.GetEndpoints()) == 0 {
		return
	}
	if len(res.GetEntries()) > 0 {
		r.entries = r.entries[:0]
	}
	for _, v := range res.GetEntries() {
		if v.GetFresh() && !v.GetLeaving() {
			r.entries = append(r.entries, sqreader.NewNode(v.GetEntry(), v.GetZone()))
		}
	}
	if len(res.GetEndpoints()) > 0 {
		r.endpoints = r.endpoints[:0]
	}
	for _, v := range res.GetEndpoints() {
		r.endpoints = append(r.endpoints, sqreader.NewNode(v.GetId(), v.GetZone()))
	}
	r.assigned = sqreader.Assigned(r.name, r.entries, r.endpoints)
}

// idleReadings returns readings of endpoints without work, or nil if fewer than
// idleReadingPeriod have passed since the last ones, as an entry would.
func (r *reader) idleReadings(now time.Time) *sqrpc.Readings {
	if now.Sub(r.lastIdle) < idleReadingPeriod {
		return nil
	}
	r.lastIdle = now
	out := r.readings()
	clear(out.Running)
	clear(out.PrefillTokens)
	clear(out.DecodeTokens)
	return out
}

// readings returns one random reading of each endpoint assigned to the watcher.
func (r *reader) readings() *sqrpc.Readings {
	out := sqrpc.NewReadingsBuilder()
	for i, assigned := range r.assigned {
		if !assigned {
			continue
		}
		out.Add(sqrpc.Reading{
			Index: i, Age: readingAge, Running: 1 + rand.Uint32N(8),
			PrefillTokens: rand.Uint32N(maxTokens), DecodeTokens: rand.Uint32N(maxTokens),
		})
	}
	return out.Readings()
}

// work returns random in-flight work at up to maxWorkEndpoints endpoints.
func (r *reader) work() *sqrpc.Readings {
	out := sqrpc.NewReadingsBuilder()
	indexes := rand.Perm(len(r.endpoints))[:min(maxWorkEndpoints, len(r.endpoints))]
	slices.Sort(indexes)
	for _, index := range indexes {
		out.AddInFlight(sqrpc.Reading{
			Index: index, Running: 1 + rand.Uint32N(3),
			PrefillTokens: rand.Uint32N(maxTokens), DecodeTokens: rand.Uint32N(maxTokens),
		})
	}
	return out.Readings()
}
