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
	// ownResponseValidity is how long a poll that the endpoint answered itself
	// outweighs a reader's report that it is silent.
	ownResponseValidity = 2 * time.Second
	// silentReportValidity is how long the entry polls an endpoint itself after
	// a reader reported it silent.
	silentReportValidity = 3 * time.Second
)

// pollState holds the poll results and poll times of one endpoint.
type pollState struct {
	// assigned is true when this entry polls the endpoint on behalf of all
	// entries.
	assigned bool
	// hasWork is true while the last load report shows work from any entry.
	hasWork bool
	// respondedAt is when a poll by this entry last succeeded, polledAt when
	// this entry last polled the load, and reportAt when it last got a load
	// report, from any entry.
	respondedAt, polledAt, reportAt time.Time
	// eventsAt is when this entry last polled for cache events.
	eventsAt time.Time
	// reportedSilentAt is when a reader last reported the endpoint as silent.
	reportedSilentAt time.Time
	// lastReport is the last load report from this entry's own polls.
	// lastReportUnsent is true until it was shared with the other entries.
	lastReport       sqroute.LoadReportConfig
	lastReportUnsent bool
}

// setReaders sets the entries that poll endpoints on behalf of all entries. The
// caller holds the lock.
func (f *fleet) setReaders(entryName string, views []*sqrpc.EntryView) {
	readers := make([]sqreader.Node, 0, len(views))
	for _, v := range views {
		if v.GetFresh() && !v.GetLeaving() {
			readers = append(readers, sqreader.NewNode(v.GetEntry(), v.GetZone()))
		}
	}
	if f.entryName == entryName && slices.Equal(f.readers, readers) {
		return
	}
	f.entryName, f.readers = entryName, readers
	f.assignReading()
}

// assignReading computes which endpoints this entry polls on behalf of all
// entries. The caller holds the lock.
func (f *fleet) assignReading() {
	endpoints := make([]sqreader.Node, len(f.endpointOrder))
	for i, id := range f.endpointOrder {
		endpoints[i] = sqreader.NewNode(id, f.endpoints[id].view.GetZone())
	}
	for i, assigned := range sqreader.Assigned(f.entryName, f.readers, endpoints) {
		f.endpoints[f.endpointOrder[i]].assigned = assigned
	}
}

// target is an endpoint to poll.
type target struct {
	id, address, kind string
}

// pollTargets returns the endpoints with the state that decides whether they
// are polled, and the number of entries that share the polling. lastEvents
// holds, by endpoint, when the entry's own streams last sent an event.
func (f *fleet) pollTargets(lastEvents map[string]time.Time) ([]target, []sqreader.EndpointState, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]target, len(f.endpointOrder))
	states := make([]sqreader.EndpointState, len(f.endpointOrder))
	for i, id := range f.endpointOrder {
		p := f.endpoints[id]
		list[i] = target{id: id, address: p.view.GetAddress(), kind: p.view.GetKind()}
		states[i] = sqreader.EndpointState{
			Assigned: p.assigned, OwnRequests: p.runningRequests > 0, AnyRequests: p.hasWork, Suspect: p.suspect(),
			RespondedAt: latestOf(p.respondedAt, lastEvents[id]), PolledAt: p.polledAt, ReportedAt: p.reportAt, EventsPolledAt: p.eventsAt,
		}
	}
	return list, states, len(f.readers)
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// suspect reports whether the endpoint must be polled in each round: it missed
// a poll, or a reader recently reported it silent.
func (p *endpoint) suspect() bool { return p.missedPolls > 0 || !p.reportedSilentAt.IsZero() }

// recordPollStart records that a poll starts: for the load and cache events if
// withLoad is true, else for cache events only.
func (f *fleet) recordPollStart(now time.Time, id string, withLoad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.endpoints[id]
	if !ok {
		return
	}
	p.eventsAt = now
	if !withLoad {
		return
	}
	p.polledAt = now
	if now.Sub(p.reportedSilentAt) > silentReportValidity {
		p.reportedSilentAt = time.Time{}
	}
}

// recordPoll records a load report or a failed poll, and reports whether the
// endpoint became available or unavailable for new work.
func (f *fleet) recordPoll(now, wall time.Time, id string, l sqendpoint.Load, err error) (changed, unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.endpoints[id]
	if !ok {
		return false, false
	}
	wasUnavailable := p.missedPolls >= maxMissedPolls
	if err != nil {
		p.missedPolls++
	} else {
		p.missedPolls = 0
		// AtUnixNano is a date by the endpoint's clock; only the age of the
		// report is used.
		age := max(0, wall.Sub(time.Unix(0, l.AtUnixNano)))
		p.respondedAt = now
		p.lastReportUnsent = true
		p.lastReport = sqroute.LoadReportConfig{
			At: now.Add(-age), Running: l.Running, Queued: l.Queued,
			PrefillTokens: l.PrefillTokens, DecodeTokens: l.DecodeTokens,
		}
		f.setReport(now, p, p.lastReport)
	}
	unavailable = p.missedPolls >= maxMissedPolls
	if wasUnavailable != unavailable {
		f.updateRouting(now)
	}
	return wasUnavailable != unavailable, unavailable
}

// setReport passes a load report to the routing policy. The caller holds the
// lock.
func (f *fleet) setReport(now time.Time, p *endpoint, r sqroute.LoadReportConfig) {
	p.reportAt = now
	p.hasWork = r.Running+r.Queued > 0
	f.routing.RecordLoadReport(now, p.view.GetId(), sqroute.NewLoadReport(r))
}

// readingsToShare returns the load reports since the last call, for the other
// entries; nil when each entry polls all endpoints itself.
func (f *fleet) readingsToShare(now time.Time) *sqrpc.Readings {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.readers) <= sqreader.PollersPerEndpoint {
		return nil
	}
	w := sqrpc.NewReadingsBuilder()
	for i, id := range f.endpointOrder {
		p := f.endpoints[id]
		if p.missedPolls >= maxMissedPolls {
			// A silence that a reader reported is not passed on: two entries
			// would otherwise confirm to each other what neither has observed.
			if p.reportedSilentAt.IsZero() {
				w.AddUnreachable(i)
			}
			continue
		}
		if !p.lastReportUnsent {
			continue
		}
		p.lastReportUnsent = false
		w.Add(sqrpc.Reading{
			Index: i, Age: now.Sub(p.lastReport.At), Running: uint32(p.lastReport.Running), Queued: uint32(p.lastReport.Queued),
			PrefillTokens: uint32(p.lastReport.PrefillTokens), DecodeTokens: uint32(p.lastReport.DecodeTokens),
		})
	}
	return w.Readings()
}

// applyReadings applies the load reports that other entries shared. It returns
// the endpoints that became unavailable because their readers report them
// silent. Readings refer to endpoints by index in the list that was set last.
func (f *fleet) applyReadings(now time.Time, readings *sqrpc.Readings) (unavailable []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, _ := readings.Rows()
	for _, row := range rows {
		p := f.endpointAt(row.Index)
		if p == nil {
			break
		}
		f.setReport(now, p, reportFromReading(now, row))
	}
	for _, place := range readings.GetSilent() {
		if p := f.endpointAt(int(place)); p != nil && f.recordSilentReport(now, p) {
			unavailable = append(unavailable, p.view.GetId())
		}
	}
	if len(unavailable) > 0 {
		f.updateRouting(now)
	}
	return unavailable
}

// endpointAt returns the endpoint at an index of the list, or nil.
func (f *fleet) endpointAt(index int) *endpoint {
	if index < 0 || index >= len(f.endpointOrder) {
		return nil
	}
	return f.endpoints[f.endpointOrder[index]]
}

// recordSilentReport records that a reader reports an endpoint as silent, and
// reports whether this makes the endpoint unavailable. An entry that recently
// got a response itself keeps using the endpoint, because the reader may be the
// one that is partitioned.
func (f *fleet) recordSilentReport(now time.Time, p *endpoint) bool {
	p.reportedSilentAt = now
	if p.missedPolls >= maxMissedPolls || now.Sub(p.respondedAt) <= ownResponseValidity {
		return false
	}
	p.missedPolls = maxMissedPolls
	return true
}

// reportFromReading converts a shared reading to a load report.
func reportFromReading(now time.Time, row sqrpc.Reading) sqroute.LoadReportConfig {
	return sqroute.LoadReportConfig{
		At: now.Add(-row.Age), Running: int(row.Running), Queued: int(row.Queued),
		PrefillTokens: int(row.PrefillTokens), DecodeTokens: int(row.DecodeTokens),
	}
}
