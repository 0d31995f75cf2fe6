package sqgateway

import (
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqlink"
)

// scarceConnections is how many connections to an endpoint a gateway may have at most for
// its choices to depend on them. A gateway with more finds one open for most requests, and
// choices by connection would only make gateways choose alike.
const scarceConnections = 8

// countConnections makes the choice of an endpoint depend on the open connections, if the
// routing table limits those to the endpoints of the service to a few for each gateway.
func (x *request) countConnections(q *sqplace.Query) {
	if n := x.maxConnections(); n == 0 || n > scarceConnections {
		return
	}
	q.CountConnections = true
	if !x.route.Retryable() {
		q.MaxIdle = atMostOnceMaxIdle
	}
}

// updateConnections tells the placer to which endpoints there are idle connections. The
// caller must hold mu.
func (g *gateway) updateConnections() {
	g.pool.TakeIdleChanges(func(c sqlink.IdleChange) {
		g.placer.SetConnection(c.Endpoint, sqplace.Connection{IdleSince: c.Since, UsableUntil: c.Until})
	})
}

// recordConnection records whether the response came over a new connection.
func (g *gateway) recordConnection(service string, reply *sqlink.Response) {
	d := reply.ConnectTime()
	if d == 0 {
		g.metrics.reusedConnections.Inc()
		return
	}
	g.metrics.connectSeconds.Update(d.Seconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordConnect(service, d)
}
