package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"sequoiadock/core/sqreader"
	"sequoiadock/io/sqrpc"
)

const (
	// workAt is the number of endpoints at which a loaded watcher says it has
	// work.
	workAt = 60
	// readAge is the age of a watcher's readings.
	readAge = 300 * time.Millisecond
	// readTokens bounds the tokens in its readings.
	readTokens = 4000
	// idlePause is the time between two readings of an idle endpoint.
	idlePause = 2500 * time.Millisecond
)

// reader hands on made-up readings of the endpoints that an entry of its name
// would read.
type reader struct {
	name      string
	entries   []sqreader.Node
	endpoints []sqreader.Node
	mine      []bool
	// idleAt is when it last read an idle fleet.
	idleAt time.Time
}

func newReader(name string) *reader { return &reader{name: name} }

// take takes the lists of an answer.
func (r *reader) take(res *sqrpc.WatchResponse) {
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
	r.mine = sqreader.Assigned(r.name, r.entries, r.endpoints)
}

// idle returns readings of endpoints without work, as often as an entry takes
// them, else nil.
func (r *reader) idle(now time.Time) *sqrpc.Readings {
	if now.Sub(r.idleAt) < idlePause {
		return nil
	}
	r.idleAt = now
	out := r.readings()
	clear(out.Running)
	clear(out.PrefillTokens)
	clear(out.DecodeTokens)
	return out
}

// readings returns one reading of each endpoint that the watcher reads.
func (r *reader) readings() *sqrpc.Readings {
	out := sqrpc.NewReadingsBuilder()
	for i, mine := range r.mine {
		if !mine {
			continue
		}
		out.Add(sqrpc.Reading{
			Index: i, Age: readAge, Running: 1 + rand.Uint32N(8),
			PrefillTokens: rand.Uint32N(readTokens), DecodeTokens: rand.Uint32N(readTokens),
		})
	}
	return out.Readings()
}

// work returns work at some endpoints.
func (r *reader) work() *sqrpc.Readings {
	out := sqrpc.NewReadingsBuilder()
	places := rand.Perm(len(r.endpoints))[:min(workAt, len(r.endpoints))]
	slices.Sort(places)
	for _, place := range places {
		out.AddInFlight(sqrpc.Reading{
			Index: place, Running: 1 + rand.Uint32N(3),
			PrefillTokens: rand.Uint32N(readTokens), DecodeTokens: rand.Uint32N(readTokens),
		})
	}
	return out.Readings()
}
