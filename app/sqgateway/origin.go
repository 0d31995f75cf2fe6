package sqgateway

import (
	"net/http"
	"slices"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqorigin"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

const (
	// maxOrigins is how many streams a gateway remembers.
	maxOrigins = 1 << 14
	// A stream may be taken up before the gateway at which it began has sent its next
	// heartbeat, so the lease holder is asked originTries times.
	originTries    = 4
	originInterval = 60 * time.Millisecond
)

// recordOrigin records where the stream of the request begins. The stream of a request that
// takes one up began elsewhere.
func (x *request) recordOrigin(now time.Time) {
	if x.origin != nil {
		return
	}
	x.origin = &sqorigin.Origin{Service: x.service, Version: x.lastVersion}
	if !x.route.Retryable() {
		return
	}
	x.g.mu.Lock()
	x.g.origins.Record(now, x.attempt.ID, *x.origin)
	x.g.mu.Unlock()
	// If this process is killed, only the lease holder can tell where the stream began.
	x.g.triggerHeartbeatSoon()
}

// takeUpStream finds out where the stream began that the caller takes up, so that the
// request goes on there. It returns false if the request was refused.
func (x *request) takeUpStream() bool {
	services := x.route.Services()
	origin, reason := x.findOrigin(services)
	if reason != "" {
		x.refuse(http.StatusServiceUnavailable, reason, defaultRetryAfter)
		return false
	}
	if !slices.Contains(services, origin.Service) {
		x.refuse(http.StatusServiceUnavailable, "the stream began at a service that no longer gets requests of the route", 0)
		return false
	}
	x.origin, x.service = &origin, origin.Service
	x.urgent = x.table.MostUrgent(x.route, x.service)
	return true
}

// findOrigin returns where the stream began, or why that is not known.
func (x *request) findOrigin(services []string) (o sqorigin.Origin, reason string) {
	x.g.mu.Lock()
	o, ok := x.g.origins.Find(x.attempt.ResumedAttempt)
	x.g.mu.Unlock()
	if ok {
		return o, ""
	}
	req := &sqrpc.FindOriginRequest{Attempt: x.attempt.ResumedAttempt}
	if len(services) == 1 {
		req.Service = services[0]
	}
	found, err := x.askOrigin(req)
	switch {
	case err != nil:
		reason = "the holder does not say where the stream began: " + err.Error()
	case found == nil:
		reason = "it is not known at which version the stream began"
	}
	o = sqorigin.Origin{Service: found.GetService(), Version: found.GetVersion()}
	x.g.log.Event(sqevent.StreamTakenUp, x.attempt.ID, x.attempt.ResumedAttempt, o.Service, o.Version, reason)
	return o, reason
}

// askOrigin asks the lease holder where a stream began, which is nil if it does not know.
func (x *request) askOrigin(req *sqrpc.FindOriginRequest) (*sqrpc.StreamOrigin, error) {
	client := sqrpc.NewCoordinatorProtobufClient("http://"+x.g.locator.Holder(), x.g.coordinatorClient)
	for try := 1; ; try++ {
		res, err := client.FindOrigin(x.ctx, req)
		if err != nil || res.GetOrigin() != nil || req.GetAttempt() == "" || try == originTries {
			return res.GetOrigin(), err
		}
		if !sqclock.Sleep(x.ctx, originInterval) {
			return nil, x.ctx.Err()
		}
	}
}

// addOrigins adds to a heartbeat the streams that the lease holder does not know, and
// returns the number to acknowledge them with.
func (g *gateway) addOrigins(req *sqrpc.BeatRequest) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries, end := g.origins.Unreported()
	for _, e := range entries {
		req.Origins = append(req.Origins, &sqrpc.StreamOrigin{Attempt: e.Attempt, Service: e.Origin.Service, Version: e.Origin.Version})
	}
	return end
}

// acknowledgeOrigins records that the holder of the term has the streams up to end.
func (g *gateway) acknowledgeOrigins(term, end uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Acknowledge(term, end)
}
