package sqentry

import (
	"time"

	"sequoiadock/io/sqrpc"
)

// watchRequest returns the entry's report to the holder, sent with each renewal
// of the freshness lease.
func (e *entry) watchRequest(now time.Time) *sqrpc.WatchRequest {
	return &sqrpc.WatchRequest{
		Zone:     e.cfg.Zone,
		Address:  e.callersAddress,
		Internal: e.internalAddress,
		Leaving:  e.leaving.Load(),
		Demands:  e.admission.teamDemands(),
		Work:     e.fleet.ownWork(),
		Stopped:  e.fleet.drainedEndpoints(),
		Counts:   e.serviceLevels.counts(),
		Models:   e.modelDemands(),
		Load:     e.loadStep.update(e.active.requests.Load()),
		Readings: e.fleet.readingsToShare(now),
	}
}

// modelDemands returns the work for each model with the observed throughput.
func (e *entry) modelDemands() []*sqrpc.ModelDemand {
	list := e.demand.snapshot()
	for _, d := range list {
		d.PrefillSpeed, d.DecodeSpeed = e.fleet.throughput(d.GetModel())
	}
	return list
}

// teamDemands returns each team's work at this entry. Arrived tokens are
// cumulative since the entry's start.
func (a *admission) teamDemands() []*sqrpc.TeamDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*sqrpc.TeamDemand, 0, len(a.teams))
	for name, t := range a.teams {
		list = append(list, &sqrpc.TeamDemand{
			Team: name, QueuedTokens: t.queuedTokens, RunningTokens: t.runningTokens,
			ArrivedTokens: t.arrivedTokens, Running: t.runningRequests,
		})
	}
	return list
}
