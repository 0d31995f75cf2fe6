package sqgateway

import (
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqlink"
)

// countConnections makes the choice of an endpoint depend on the open connections, if the
// routing table limits those to the endpoints of the service.
func (x *request) countConnections(q *sqplace.Query) {
	if s := x.table.Service(x.service); s == nil || s.MaxConnections() == 0 {
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
