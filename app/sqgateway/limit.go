package sqgateway

import (
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqlimit"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// recordLimit records what the response to a request that was sent at sentAt says of the
// endpoint's limit. The next heartbeat tells the lease holder and with it all gateways.
func (g *gateway) recordLimit(sentAt, now time.Time, e *sqplace.Endpoint, limit sqattempt.RateLimit) {
	if limit.Unreadable != "" {
		g.log.Event(sqevent.LimitUnreadable, e.ID(), limit.Unreadable)
		return
	}
	r := sqlimit.Report{Endpoint: e.ID(), Named: limit.Named, PerSecond: limit.PerSecond, At: now}
	if !limit.Named {
		r.At = sentAt
	}
	g.mu.Lock()
	changed := g.placer.Limits().Record(r)
	g.mu.Unlock()
	switch {
	case changed && r.Named:
		g.log.Event(sqevent.EndpointLimited, e.ID(), r.PerSecond, "response")
	case changed:
		g.log.Event(sqevent.EndpointLimitEnded, e.ID(), "response")
	}
}

// addLimits adds to a heartbeat what the lease holder must know of limits, and returns the
// reports. The caller must hold mu.
func (g *gateway) addLimits(now time.Time, req *sqrpc.BeatRequest) []sqlimit.Report {
	m := g.placer.Limits().Message()
	for _, r := range m.Reports {
		req.LimitReports = append(req.LimitReports, sqrpc.FromLimitReport(now, r))
	}
	for _, w := range m.Wants {
		req.PermitWants = append(req.PermitWants, &sqrpc.PermitWant{Endpoint: w.Endpoint, Requests: uint32(w.Requests)})
	}
	return m.Reports
}

// applyLimits applies the limits and permits of the response to a heartbeat that was sent
// at sentAt with the reports.
func (g *gateway) applyLimits(sentAt, receivedAt time.Time, sent []sqlimit.Report, res *sqrpc.BeatResponse) {
	limits := make([]sqlimit.Limit, 0, len(res.GetLimits()))
	for _, l := range res.GetLimits() {
		limits = append(limits, sqrpc.ToLimit(receivedAt, l))
	}
	g.mu.Lock()
	changed := g.placer.Limits().Apply(sentAt, res.GetTerm(), sent, limits)
	perSecond := make(map[string]float64, len(changed))
	for _, l := range limits {
		perSecond[l.Endpoint] = l.PerSecond
	}
	g.mu.Unlock()
	for _, id := range changed {
		if limit, ok := perSecond[id]; ok {
			g.log.Event(sqevent.EndpointLimited, id, limit, "holder")
			continue
		}
		g.log.Event(sqevent.EndpointLimitEnded, id, "holder")
	}
}
