package sqcoordinator

import (
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// recordDepartures records the endpoints that a gateway reports to be about to stop. From
// now on, all gateways and the planning of orders see them as draining. The caller must
// hold mu.
func (c *coordinator) recordDepartures(now time.Time, t *termState, req *sqrpc.BeatRequest) {
	for _, id := range req.GetLeavingEndpoints() {
		if t.departures.Record(now, id) {
			t.fleetRevision++
			c.log.Event(sqevent.DepartureReported, id, req.GetGateway(), t.fleetRevision)
		}
	}
}

// forgetDepartures forgets the endpoints that have not been listed for some time. The
// caller must hold mu.
func (c *coordinator) forgetDepartures(now time.Time, t *termState, list []sqplace.Endpoint) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID()] = true
	}
	for _, id := range t.departures.Forget(now, func(id string) bool { return listed[id] }) {
		c.log.Event(sqevent.DepartureForgottenByHolder, id)
	}
}
