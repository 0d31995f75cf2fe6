package sqgateway

import (
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
)

// recordLeaving records that an endpoint reported that it is about to stop. The next
// heartbeat, which is sent at once, tells the lease holder and with it all gateways.
func (g *gateway) recordLeaving(now time.Time, e *sqplace.Endpoint) {
	g.mu.Lock()
	isNew := g.placer.RecordLeaving(now, e.ID())
	g.mu.Unlock()
	if !isNew {
		return
	}
	g.metrics.leavingEndpoints.Inc()
	g.log.Event(sqevent.EndpointLeaving, e.ID(), e.Service(), e.Address())
	g.triggerHeartbeat()
}

// forgetDepartures forgets the endpoints that have stopped.
func (g *gateway) forgetDepartures(now time.Time) {
	g.mu.Lock()
	forgotten := g.placer.ForgetDepartures(now)
	g.mu.Unlock()
	for _, id := range forgotten {
		g.log.Event(sqevent.DepartureForgotten, id)
	}
}
