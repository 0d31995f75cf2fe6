package sqrpc

import (
	"time"

	"sequoiadock/core/sqquarantine"
)

// FromTrait converts a trait of requests to its message.
func FromTrait(t sqquarantine.Trait) *Trait {
	return &Trait{Service: t.Service, Id: t.ID, Kind: uint32(t.Kind)}
}

// ToTrait converts the message of a trait of requests.
func ToTrait(t *Trait) sqquarantine.Trait {
	return sqquarantine.Trait{Kind: sqquarantine.Kind(t.GetKind()), Service: t.GetService(), ID: t.GetId()}
}

// FromCrash converts a crash to its message.
func FromCrash(now time.Time, c *sqquarantine.Crash) *CrashReport {
	r := &CrashReport{Service: c.Service, Endpoint: c.Endpoint, AgeMillis: ageMillis(now, c.At)}
	for _, request := range c.Requests {
		traits := &RequestTraits{}
		for _, t := range request {
			if t.Kind == sqquarantine.WholeRequest {
				traits.RequestId = t.ID
				continue
			}
			traits.Ids = append(traits.Ids, t.ID)
		}
		r.Requests = append(r.Requests, traits)
	}
	return r
}

// ToCrash converts the message of a crash that was received at now.
func ToCrash(now time.Time, r *CrashReport) *sqquarantine.Crash {
	c := &sqquarantine.Crash{Service: r.GetService(), Endpoint: r.GetEndpoint(), At: ageTime(now, r.GetAgeMillis())}
	for _, request := range r.GetRequests() {
		c.Requests = append(c.Requests, sqquarantine.Traits(r.GetService(), request.GetIds(), request.GetRequestId()))
	}
	return c
}
