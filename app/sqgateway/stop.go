package sqgateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
)

const (
	// forcedClosePercent is the part of the grace period that is reserved for answering
	// unfinished requests and closing their connections, lastAnswerPercent that for the former.
	forcedClosePercent = 15
	lastAnswerPercent  = 5
	// stopPollInterval is the time between two looks at the open connections.
	stopPollInterval = 20 * time.Millisecond
)

// gracefulStop is the state of a graceful shutdown.
type gracefulStop struct {
	times atomic.Pointer[stopTimes]
	// refusing is set once callers no longer use the gateway's address.
	refusing atomic.Bool
	// grace ends when unfinished requests have to be answered.
	grace    context.Context
	endGrace context.CancelFunc
}

// stopTimes holds when a graceful shutdown ends.
type stopTimes struct {
	// expired is when unfinished requests have to be answered.
	expired time.Time
}

// shutDown shuts the gateway down gracefully. It still serves all new requests for as long as
// callers may cache the gateway's address. From then on it accepts no connections and refuses
// the requests on open ones. Requests that are unfinished when the grace period is nearly over
// are answered without a result.
func (g *gateway) shutDown(callers *sqhttp.Server, ln net.Listener) {
	now := sqclock.Now()
	drainTime := min(addressTTLSeconds*addressTTLOverrunFactor*time.Second, g.cfg.StopGracePeriod/2)
	times := &stopTimes{expired: now.Add(g.cfg.StopGracePeriod * (100 - forcedClosePercent) / 100)}
	g.stop.times.Store(times)
	g.shuttingDown.Store(true)
	g.triggerHeartbeat()
	g.log.Event(sqevent.Stopping, roleName, g.cfg.Name, "signal")
	g.log.Event(sqevent.GatewayStopping, drainTime.Milliseconds())
	ctx := context.Background()
	sqclock.Sleep(ctx, drainTime)
	_ = ln.Close()
	// The next line closes idle connections, also one on which a request has just been read.
	// Such a request must not be sent on.
	g.stop.refusing.Store(true)
	callers.SetKeepAlivesEnabled(false)
	for callers.OpenConnections() > 0 && sqclock.Now().Before(times.expired) {
		sqclock.Sleep(ctx, stopPollInterval)
	}
	if running := g.metrics.running.Load(); running > 0 {
		g.log.Event(sqevent.GatewayGraceExpired, running)
	}
	g.stop.endGrace()
	ctx, cancel := context.WithTimeout(ctx, g.cfg.StopGracePeriod*lastAnswerPercent/100)
	defer cancel()
	// Connections that remain open are closed with the server.
	_ = callers.Shutdown(ctx)
}

// graceLeft returns the time at now until unfinished requests have to be answered, and false if
// the gateway does not stop.
func (s *gracefulStop) graceLeft(now time.Time) (time.Duration, bool) {
	times := s.times.Load()
	if times == nil {
		return 0, false
	}
	return times.expired.Sub(now), true
}

// refuseWhileStopping refuses a request that came when callers no longer use the gateway. It
// returns true if the request was refused.
func (x *request) refuseWhileStopping() bool {
	if !x.g.stop.refusing.Load() {
		return false
	}
	x.refuse(http.StatusServiceUnavailable, "the gateway stops", defaultRetryAfter)
	return true
}
