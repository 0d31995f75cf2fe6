package sqentry

import (
	"slices"
	"time"

	"sequoiadock/core/sqreader"
	"sequoiadock/core/sqroute"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqrpc"
)

const (
	// signTrust is how long an endpoint's own sign of life goes before the word
	// of a reader that it is silent.
	signTrust = 2 * time.Second
	// toldFor is how long a reader's word that an endpoint is silent makes the
	// entry ask it by itself.
	toldFor = 3 * time.Second
)

// reading is what is known of the reading of one endpoint.
type reading struct {
	// mine is true when this entry reads the endpoint for all.
	mine bool
	// active is true while anybody had work there by the last report.
	active bool
	// signAt is when the entry itself last had an answer to a poll, readAt when
	// it last asked, and heardAt when it last heard of the load, from any entry.
	signAt, readAt, heardAt time.Time
	// eventsAt is when the entry last asked for cache events.
	eventsAt time.Time
	// toldAt is when a reader last said that the endpoint is silent.
	toldAt time.Time
	// last is the last own report; fresh is true until it was handed on.
	last  sqroute.ReportConfig
	fresh bool
}

// share takes the entries that read endpoints for all; the lock is held.
func (f *fleet) share(self string, views []*sqrpc.EntryView) {
	sharers := make([]sqreader.Node, 0, len(views))
	for _, v := range views {
		if v.GetFresh() && !v.GetLeaving() {
			sharers = append(sharers, sqreader.NewNode(v.GetEntry(), v.GetZone()))
		}
	}
	if f.self == self && slices.Equal(f.sharers, sharers) {
		return
	}
	f.self, f.sharers = self, sharers
	f.assign()
}

// assign works out which endpoints this entry reads for all; the lock is held.
func (f *fleet) assign() {
	endpoints := make([]sqreader.Node, len(f.order))
	for i, id := range f.order {
		endpoints[i] = sqreader.NewNode(id, f.points[id].view.GetZone())
	}
	for i, mine := range sqreader.Assigned(f.self, f.sharers, endpoints) {
		f.points[f.order[i]].mine = mine
	}
}

// target is an endpoint to poll.
type target struct {
	id, address, kind string
}

// targets returns the endpoints with what decides whether they are read, and
// the number of entries that share the reading. Signs are when the entry's own
// answers last gave something.
func (f *fleet) targets(signs map[string]time.Time) ([]target, []sqreader.EndpointState, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]target, len(f.order))
	states := make([]sqreader.EndpointState, len(f.order))
	for i, id := range f.order {
		p := f.points[id]
		list[i] = target{id: id, address: p.view.GetAddress(), kind: p.view.GetKind()}
		states[i] = sqreader.EndpointState{
			Assigned: p.mine, OwnRequests: p.running > 0, AnyRequests: p.active, Suspect: p.suspect(),
			RespondedAt: later(p.signAt, signs[id]), PolledAt: p.readAt, ReportedAt: p.heardAt, EventsPolledAt: p.eventsAt,
		}
	}
	return list, states, len(f.sharers)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// suspect reports whether the endpoint is to be asked in each round: it gave no
// answer, or a reader said so lately.
func (p *endpoint) suspect() bool { return p.misses > 0 || !p.toldAt.IsZero() }

// asked notes that a poll begins, for the load too or for cache events alone.
func (f *fleet) asked(now time.Time, id string, load bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.points[id]
	if !ok {
		return
	}
	p.eventsAt = now
	if !load {
		return
	}
	p.readAt = now
	if now.Sub(p.toldAt) > toldFor {
		p.toldAt = time.Time{}
	}
}

// polled takes a load report, or the lack of one, and reports whether the
// endpoint stopped or started to take new work.
func (f *fleet) polled(now, wall time.Time, id string, l sqendpoint.Load, err error) (changed, closed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.points[id]
	if !ok {
		return false, false
	}
	was := p.misses >= missesToClose
	if err != nil {
		p.misses++
	} else {
		p.misses = 0
		// The endpoint's clock is the date; only the age of its report counts.
		age := max(0, wall.Sub(time.Unix(0, l.AtUnixNano)))
		p.signAt = now
		p.fresh = true
		p.last = sqroute.ReportConfig{
			At: now.Add(-age), Running: l.Running, Queued: l.Queued,
			PrefillTokens: l.PrefillTokens, DecodeTokens: l.DecodeTokens,
		}
		f.heard(now, p, p.last)
	}
	closed = p.misses >= missesToClose
	if was != closed {
		f.publish(now)
	}
	return was != closed, closed
}

// heard gives a report to the policy; the lock is held.
func (f *fleet) heard(now time.Time, p *endpoint, r sqroute.ReportConfig) {
	p.heardAt = now
	p.active = r.Running+r.Queued > 0
	f.routing.SetReport(now, p.view.GetId(), sqroute.NewReport(r))
}

// handOn returns the reports since the last call, for the other entries; nil
// when each entry reads all by itself.
func (f *fleet) handOn(now time.Time) *sqrpc.Readings {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sharers) <= sqreader.ReadersPerEndpoint {
		return nil
	}
	out := sqrpc.NewReadingsWriter()
	for i, id := range f.order {
		p := f.points[id]
		if p.misses >= missesToClose {
			// What another one told is no news: two entries would else confirm each
			// other what neither has seen.
			if p.toldAt.IsZero() {
				out.AddSilent(i)
			}
			continue
		}
		if !p.fresh {
			continue
		}
		p.fresh = false
		out.Add(sqrpc.Reading{
			Place: i, Age: now.Sub(p.last.At), Running: uint32(p.last.Running), Queued: uint32(p.last.Queued),
			PrefillTokens: uint32(p.last.PrefillTokens), DecodeTokens: uint32(p.last.DecodeTokens),
		})
	}
	return out.Readings()
}

// takeReadings takes the reports that other entries handed on, and returns the
// endpoints that stopped taking new work because their readers find them
// silent. Places are those of the list that was set last.
func (f *fleet) takeReadings(now time.Time, in *sqrpc.Readings) (closed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, _ := in.Rows()
	for _, row := range rows {
		p := f.at(row.Place)
		if p == nil {
			break
		}
		f.heard(now, p, reportOf(now, row))
	}
	for _, place := range in.GetSilent() {
		if p := f.at(int(place)); p != nil && f.tell(now, p) {
			closed = append(closed, p.view.GetId())
		}
	}
	if len(closed) > 0 {
		f.publish(now)
	}
	return closed
}

// at returns the endpoint at a place of the list, or nil.
func (f *fleet) at(place int) *endpoint {
	if place < 0 || place >= len(f.order) {
		return nil
	}
	return f.points[f.order[place]]
}

// tell notes a reader's word that an endpoint is silent and reports whether the
// endpoint is closed by it. An entry that had an answer itself lately goes on:
// the reader may be the one that is cut off.
func (f *fleet) tell(now time.Time, p *endpoint) bool {
	p.toldAt = now
	if p.misses >= missesToClose || now.Sub(p.signAt) <= signTrust {
		return false
	}
	p.misses = missesToClose
	return true
}

// reportOf returns a row as the routing policy takes it.
func reportOf(now time.Time, row sqrpc.Reading) sqroute.ReportConfig {
	return sqroute.ReportConfig{
		At: now.Add(-row.Age), Running: int(row.Running), Queued: int(row.Queued),
		PrefillTokens: int(row.PrefillTokens), DecodeTokens: int(row.DecodeTokens),
	}
}
