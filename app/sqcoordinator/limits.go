package sqcoordinator

import (
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqrpc"
)

// exchangeLimits records what a gateway reports on the limits that endpoints name, and sets
// the limits of the response with the permits that are issued to the gateway. The caller
// must hold mu.
func (c *coordinator) exchangeLimits(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	for _, r := range req.GetLimitReports() {
		report := sqrpc.ToLimitReport(now, r)
		if t.limits.Record(now, report) {
			c.log.Event(sqevent.LimitReported, report.Endpoint, req.GetGateway(), report.Named, report.PerSecond)
		}
	}
	wanted := make(map[string]int, len(req.GetPermitWants()))
	for _, w := range req.GetPermitWants() {
		wanted[w.GetEndpoint()] = int(w.GetRequests())
	}
	for _, l := range t.limits.Limits() {
		if n := wanted[l.Endpoint]; n > 0 {
			l.Permits = t.limits.Issue(now, l.Endpoint, n)
		}
		res.Limits = append(res.Limits, sqrpc.FromLimit(now, l))
	}
}

// forgetLimits forgets the limits of endpoints that have not been listed for some time.
// The caller must hold mu.
func (c *coordinator) forgetLimits(now time.Time, t *termState, listed func(id string) bool) {
	for _, id := range t.limits.Forget(now, listed) {
		c.log.Event(sqevent.LimitForgotten, id)
	}
}

// limitedEndpoints returns the IDs of the endpoints that name a limit.
func (t *termState) limitedEndpoints() map[string]bool {
	limited := map[string]bool{}
	for _, l := range t.limits.Limits() {
		limited[l.Endpoint] = true
	}
	return limited
}

// mayCallEngine reports whether the lease holder itself may call an engine now. The call
// counts towards the engine's limit.
func (c *coordinator) mayCallEngine(now time.Time, t *termState, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !t.limits.Limited(id) || t.limits.Issue(now, id, 1) == 1
}
