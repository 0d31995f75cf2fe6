package sqcoordinator

import (
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// recordDepartures records the endpoints that a gateway reports to be about to stop. From
// now on, all gateways and the planning of orders see them as draining. The caller must
// hold mu.
func (c *coordinator) recordDepartures(now time.Time, t *termState, req *sqrpc.BeatRequest) {
	for _, id := range req.GetLeavingEndpoints() {
		c.recordDeparture(now, t, id, req.GetGateway())
	}
}

// recordDeparture records an endpoint that is about to stop and the process that read its
// response. The caller must hold mu.
func (c *coordinator) recordDeparture(now time.Time, t *termState, id, reportedBy string) {
	if t.departures.Record(now, id) {
		t.updateListing()
		c.log.Event(sqevent.DepartureReported, id, reportedBy, t.listing.Revision())
	}
}

// recordEngineLeaving records that an engine which this process called is about to stop, if
// the call's error says so.
func (c *coordinator) recordEngineLeaving(t *termState, e *sqplace.Endpoint, err error) {
	if sqerror.KindOf(err) != sqerror.Leaving {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordDeparture(sqclock.Now(), t, e.ID(), c.cfg.Name)
}

// forgetDepartures forgets the endpoints that have not been listed for some time. The
// caller must hold mu.
func (c *coordinator) forgetDepartures(now time.Time, t *termState, listed func(id string) bool) {
	for _, id := range t.departures.Forget(now, listed) {
		c.log.Event(sqevent.DepartureForgottenByHolder, id)
	}
}
