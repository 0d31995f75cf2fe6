package sqgateway

import (
	"net/http"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

// recordReports records what an endpoint reports of itself in the response to a request
// that was sent at sentAt.
func (g *gateway) recordReports(sentAt time.Time, e *sqplace.Endpoint, reply *sqlink.Response, response sqattempt.Response) {
	now := sqclock.Now()
	if reply.Status() == http.StatusMisdirectedRequest {
		// The response is that of another endpoint, which has the address now.
		return
	}
	if response.Leaving {
		g.recordLeaving(now, e)
	}
	if reply.Status() == http.StatusServiceUnavailable {
		g.recordRefusal(now, e, reply.Header())
	}
	g.recordLimit(sentAt, now, e, response.Limit)
	if response.HasLoad {
		g.recordLoadReport(now, e, response.Load)
	}
}

// recordLeaving records that an endpoint reported that it is about to stop. The next
// heartbeat tells the lease holder and with it all gateways.
func (g *gateway) recordLeaving(now time.Time, e *sqplace.Endpoint) {
	g.mu.Lock()
	isNew := g.placer.RecordLeaving(now, e.ID())
	g.mu.Unlock()
	if !isNew {
		return
	}
	g.metrics.leavingEndpoints.Inc()
	g.log.Event(sqevent.EndpointLeaving, e.ID(), e.Service(), e.Address())
}

// recordRefusal records how long an endpoint that responded with 503 wants no requests of
// this gateway, if the headers say so.
func (g *gateway) recordRefusal(now time.Time, e *sqplace.Endpoint, h http.Header) {
	value := h.Get("Retry-After")
	if value == "" {
		return
	}
	wait, ok := sqattempt.ParseRetryAfter(value, h.Get("Date"), sqclock.Wall())
	if !ok {
		g.log.Event(sqevent.RetryAfterUnreadable, e.ID(), value)
		return
	}
	if wait == 0 {
		return
	}
	g.mu.Lock()
	isNew := g.placer.RecordRefusal(now, e.ID(), wait)
	g.mu.Unlock()
	if isNew {
		g.metrics.endpointRefusals.Inc()
		g.log.Event(sqevent.EndpointRefuses, e.ID(), e.Service(), wait.Milliseconds())
	}
}

// updateAvailability forgets the endpoints that have stopped and the refusals whose time
// has passed.
func (g *gateway) updateAvailability(now time.Time) {
	g.mu.Lock()
	forgotten, ended := g.placer.ForgetDepartures(now), g.placer.EndRefusals(now)
	g.mu.Unlock()
	for _, id := range forgotten {
		g.log.Event(sqevent.DepartureForgotten, id)
	}
	for _, id := range ended {
		g.log.Event(sqevent.EndpointRefusalEnded, id)
	}
}

// admit reports whether the endpoint may get a request that is sent now.
func (g *gateway) admit(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Admit(sqclock.Now(), id)
}

// admitRelease reports whether the endpoint may get a request that releases a KV cache now.
func (g *gateway) admitRelease(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.AdmitRelease(sqclock.Now(), id)
}

// retryAfter returns the Retry-After time of a request that is refused after a send.
func (x *request) retryAfter(now time.Time) time.Duration {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return max(defaultRetryAfter, x.g.placer.RetryAfter(now, x.service))
}
