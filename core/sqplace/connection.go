package sqplace

import "time"

const (
	// initialConnectTime is the assumed time to open a connection before one was measured,
	// about one round trip to another availability zone.
	initialConnectTime = 2 * time.Millisecond
	connectTimeWeight  = 0.05
	// maxConnectTime bounds one measured time, so that a stalled process does not make
	// all endpoints without a connection look bad for long.
	maxConnectTime = 20 * time.Millisecond
	// acceptCost is what an endpoint spends on a new connection. It does not show in the
	// time to open one.
	acceptCost = time.Millisecond
	// halfJitterPermille is half of jitterPercent. Endpoints with an open connection get the
	// lower half of the random increase, the others the upper half, so that of two equal
	// choices always the first one wins, and the increase is no larger than without.
	halfJitterPermille = jitterPercent * 10 / 2
)

// Connection is the most recently used idle connection to an endpoint. The zero value means
// that there is none.
type Connection struct {
	// IdleSince is when it was last used, UsableUntil when the endpoint may close it.
	IdleSince, UsableUntil time.Time
}

// usable reports whether the connection can carry a request that may use connections
// which have been idle for up to maxIdle. 0 sets no bound.
func (c *Connection) usable(now time.Time, maxIdle time.Duration) bool {
	return now.Before(c.UsableUntil) && (maxIdle == 0 || now.Sub(c.IdleSince) < maxIdle)
}

// SetConnection records the most recently used idle connection to an endpoint.
func (p *Placer) SetConnection(id string, c Connection) {
	if n := p.nodes[id]; n != nil {
		n.connection = c
	}
}

// RecordConnect records how long it took to open a connection to an endpoint of the service.
func (p *Placer) RecordConnect(service string, d time.Duration) {
	s := p.pool(service)
	s.connectTime += time.Duration(connectTimeWeight * float64(min(d, maxConnectTime)-s.connectTime))
}

// randomized returns the cost d of an endpoint with its random increase, which makes gateways
// with the same data choose differently. If the request counts connections, the cost of an
// endpoint without an idle one includes the time to open it.
func (p *Placer) randomized(now time.Time, s *pool, r *request, n *node, d time.Duration) time.Duration {
	if !r.CountConnections {
		return p.jitter(d)
	}
	random := time.Duration(p.nextRandom() >> 33 % halfJitterPermille)
	if n.connection.usable(now, r.MaxIdle) {
		return d + d*random/1000
	}
	return d + d*(halfJitterPermille+random)/1000 + s.connectTime + acceptCost
}
