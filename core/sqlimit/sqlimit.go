// Package sqlimit makes all gateways together keep to the limits that endpoints name in
// their responses: how many requests a second an endpoint takes from all gateways.
//
// A gateway that knows of a limit sends the endpoint a request only with a permit of the
// lease holder. The holder issues permits at the rate of the limit, to gateways that want
// to send. Permits expire soon. So a gateway that hears the news late, has started again
// or is out of touch sends less and never more, and the sum does not depend on the number
// of gateways.
package sqlimit

import "time"

const (
	// permitTerm is how long a permit is valid after the gateway asked for it.
	permitTerm = 1 * time.Second
	// burstTime is the time whose permits the holder saves up while no gateway wants them.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the least rate of permits. Without any request, nobody would hear that
	// the endpoint has ended its limit.
	minPerSecond = 0.1
	// maxWanted limits how many permits for one endpoint a gateway asks for at once.
	maxWanted = 256
	// memory is how long what was heard of an endpoint is kept once it is no longer listed,
	// or has ended its limit.
	memory = 1 * time.Minute
)

// Report is what a response says about the limit of its endpoint.
type Report struct {
	Endpoint string
	// Named is set if the response names a limit, PerSecond is that limit.
	Named     bool
	PerSecond float64
	// At is when a response that names a limit was received, or when the request was sent
	// whose response names none: a limit that was heard after that is not ended by it.
	At time.Time
}

// overrides reports whether r is news for somebody who has heard old.
func (r Report) overrides(old Report) bool { return r.At.After(old.At) }

// sameLimit reports whether both reports say the same of the endpoint.
func (r Report) sameLimit(other Report) bool {
	return r.Named == other.Named && r.PerSecond == other.PerSecond
}

// Limit is an endpoint's limit as the lease holder tells it to a gateway.
type Limit struct {
	Endpoint  string
	PerSecond float64
	// At is when the limit was last heard.
	At time.Time
	// Permits is how many requests the gateway may send the endpoint within permitTerm.
	Permits int
}
