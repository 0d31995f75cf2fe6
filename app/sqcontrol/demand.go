package sqcontrol

import (
	"maps"
	"time"

	"sequoiadock/io/sqrpc"
)

// demandTable keeps the last demand report of each entry. Reports older than a
// freshness lease are ignored.
type demandTable struct {
	maxReportAge time.Duration
	reports      map[string]*demandReport
	// work sums the loads of all reports by endpoint, so that otherWork need not
	// iterate over all reports.
	work map[string]workSum
}

// workSum is the work in flight at one endpoint.
type workSum struct {
	running         uint32
	prefill, decode uint64
}

type demandReport struct {
	receivedAt time.Time
	run        string
	demands    []*sqrpc.TeamDemand
	loads      []*sqrpc.EndpointLoad
	counts     map[burnKey]burnCount
	// teamRates are the arriving tokens per second by team.
	teamRates map[string]smoothedRate
	models    map[string]modelDemand
}

type burnKey struct {
	team, service string
}

// burnCount is cumulative since the entry's start.
type burnCount struct {
	good, bad uint64
}

func newDemandTable(keep time.Duration) *demandTable {
	return &demandTable{maxReportAge: keep, reports: make(map[string]*demandReport), work: make(map[string]workSum)}
}

// record stores an entry's report and returns by how much its burn counts increased
// since its previous report. The first report of a run only sets a starting point:
// the holder cannot know how old its counts are.
func (d *demandTable) record(now time.Time, req *sqrpc.WatchRequest) map[burnKey]burnCount {
	rep := &demandReport{
		receivedAt: now,
		run:        req.GetRun(),
		demands:    req.GetDemands(),
		loads:      req.GetLoads(),
		counts:     sumBurnCounts(req.GetCounts()),
	}
	last := d.reports[req.GetEntry()]
	d.reports[req.GetEntry()] = rep
	d.replaceWork(last, rep)
	if last != nil && last.run != rep.run {
		last = nil
	}
	rep.computeRates(last, req)
	if last == nil {
		return nil
	}
	return burnDeltas(last.counts, rep.counts)
}

// computeRates computes rates from the cumulative counts of this report and the
// previous one of the same run, which is nil for the first.
func (rep *demandReport) computeRates(last *demandReport, req *sqrpc.WatchRequest) {
	first := last == nil
	if first {
		last = &demandReport{receivedAt: rep.receivedAt}
	}
	dt := rep.receivedAt.Sub(last.receivedAt)
	rep.teamRates = make(map[string]smoothedRate, len(req.GetDemands()))
	for _, d := range req.GetDemands() {
		rep.teamRates[d.GetTeam()] = last.teamRates[d.GetTeam()].update(d.GetArrivedTokens(), dt, first)
	}
	rep.models = make(map[string]modelDemand, len(req.GetModels()))
	for _, m := range req.GetModels() {
		old := last.models[m.GetModel()]
		rep.models[m.GetModel()] = modelDemand{
			prefill:            old.prefill.update(m.GetPrefillArrived(), dt, first),
			decode:             old.decode.update(m.GetDecodeArrived(), dt, first),
			onDemand:           old.onDemand.update(m.GetDearArrived(), dt, first),
			prefillOutstanding: float64(m.GetPrefillOpen()),
			decodeOutstanding:  float64(m.GetDecodeOpen()),
			enginePrefillRate:  m.GetPrefillSpeed(),
			engineDecodeRate:   m.GetDecodeSpeed(),
		}
	}
}

func sumBurnCounts(counts []*sqrpc.BurnCount) map[burnKey]burnCount {
	sums := make(map[burnKey]burnCount, len(counts))
	for _, c := range counts {
		sums[burnKey{c.GetTeam(), c.GetService()}] = burnCount{
			good: c.GetGood(),
			bad:  c.GetLate() + c.GetFailed() + c.GetRefused(),
		}
	}
	return sums
}

func burnDeltas(before, after map[burnKey]burnCount) map[burnKey]burnCount {
	deltas := make(map[burnKey]burnCount)
	for key, n := range after {
		old := before[key]
		if n.good >= old.good && n.bad >= old.bad && n != old {
			deltas[key] = burnCount{good: n.good - old.good, bad: n.bad - old.bad}
		}
	}
	return deltas
}

// forEachFresh calls f with each report that is not too old and removes the others.
func (d *demandTable) forEachFresh(now time.Time, f func(entry string, rep *demandReport)) {
	for entry, rep := range d.reports {
		if now.Sub(rep.receivedAt) > d.maxReportAge {
			delete(d.reports, entry)
			d.replaceWork(rep, nil)
			continue
		}
		f(entry, rep)
	}
}

// replaceWork subtracts the loads of one report from the sums and adds those of
// another; either may be nil.
func (d *demandTable) replaceWork(before, after *demandReport) {
	if before != nil {
		for _, l := range before.loads {
			d.setWork(l.GetEndpoint(), d.work[l.GetEndpoint()].subtract(l))
		}
	}
	if after != nil {
		for _, l := range after.loads {
			d.setWork(l.GetEndpoint(), d.work[l.GetEndpoint()].add(l))
		}
	}
}

func (d *demandTable) setWork(endpoint string, sum workSum) {
	if sum == (workSum{}) {
		delete(d.work, endpoint)
		return
	}
	d.work[endpoint] = sum
}

func (w workSum) add(l *sqrpc.EndpointLoad) workSum {
	return workSum{w.running + l.GetRunning(), w.prefill + l.GetPrefillTokens(), w.decode + l.GetDecodeTokens()}
}

func (w workSum) subtract(l *sqrpc.EndpointLoad) workSum {
	return workSum{w.running - l.GetRunning(), w.prefill - l.GetPrefillTokens(), w.decode - l.GetDecodeTokens()}
}

// otherWork returns the work of all entries but self at each endpoint.
func (d *demandTable) otherWork(now time.Time, self string) map[string]workSum {
	// Subtract reports that are too old from the sums.
	d.forEachFresh(now, func(string, *demandReport) {})
	others := maps.Clone(d.work)
	if own := d.reports[self]; own != nil {
		for _, l := range own.loads {
			if sum := others[l.GetEndpoint()].subtract(l); sum == (workSum{}) {
				delete(others, l.GetEndpoint())
			} else {
				others[l.GetEndpoint()] = sum
			}
		}
	}
	return others
}

// otherLoads returns the result of otherWork as messages.
func (d *demandTable) otherLoads(now time.Time, self string) []*sqrpc.EndpointLoad {
	others := d.otherWork(now, self)
	out := make([]*sqrpc.EndpointLoad, 0, len(others))
	for id, w := range others {
		out = append(out, &sqrpc.EndpointLoad{Endpoint: id, Running: w.running, PrefillTokens: w.prefill, DecodeTokens: w.decode})
	}
	return out
}
