package sqgateway

import (
	"time"

	"sequoiadock/io/sqrpc"
)

// demand sums what a service was asked for since the process started.
type demand struct {
	requests, refused, unread uint64
	// busy is the time that requests took from their first token on.
	busy time.Duration
}

func (d *demand) message(service string) *sqrpc.ServiceDemand {
	return &sqrpc.ServiceDemand{
		Service: service, Requests: d.requests, Refused: d.refused, UnreadTokens: d.unread,
		BusyMillis: uint64(d.busy.Milliseconds()),
	}
}

// demandOf returns the sums of a service; mu must be held.
func (g *gateway) demandOf(service string) *demand {
	d := g.demand[service]
	if d == nil {
		d = &demand{}
		g.demand[service] = d
	}
	return d
}
