package sqgateway

import (
	"time"

	"sequoiadock/io/sqrpc"
)

// demand holds the totals of the requests for one service since the process
// started. Refused counts requests for which no endpoint could be chosen, and
// uncachedTokens the prompt tokens that were not in a KV cache.
type demand struct {
	requests, refused, uncachedTokens uint64
	// decodeTime is the sum over all sends of the time from the first token to the
	// end.
	decodeTime time.Duration
}

func (d *demand) toProto(service string) *sqrpc.ServiceDemand {
	return &sqrpc.ServiceDemand{
		Service: service, Requests: d.requests, Refused: d.refused, UncachedTokens: d.uncachedTokens,
		BusyMillis: uint64(d.decodeTime.Milliseconds()),
	}
}

// demandFor returns the totals of a service. The caller must hold g.mu.
func (g *gateway) demandFor(service string) *demand {
	d := g.demandByService[service]
	if d == nil {
		d = &demand{}
		g.demandByService[service] = d
	}
	return d
}
