// Package sqquarantine finds what the requests that crash endpoints have in common, so
// that no gateway sends such requests: a part of their prompts, or that they are attempts
// at the same request.
//
// Gateways collect Evidence: the crashes of endpoints that they saw, with the requests
// under which they may have crashed, and when requests with a trait were last answered in
// full. The lease holder joins the evidence of all gateways in a Tracker. A trait is
// harmful if several endpoints crashed under it and no request with it was answered since,
// while other requests were. If the service answers nothing else, the trait is quarantined
// as a precaution, unless the crashes show that the service has another fault.
package sqquarantine

import (
	"slices"
	"time"
)

// Kind says what a Trait is.
type Kind int

const (
	// PromptPart is a part of prompts, which different requests may share.
	PromptPart Kind = iota
	// WholeRequest is the identity that all attempts at a request share.
	WholeRequest
)

// String returns the name of the kind in logs.
func (k Kind) String() string { return [...]string{"promptPart", "wholeRequest"}[k] }

// Trait is something that requests may have in common.
type Trait struct {
	Kind Kind
	// Service is the service that gets the requests. It is "" for a whole request, which
	// is the same at every service.
	Service string
	ID      string
}

// anyRequest returns the key under which the answers to all requests of a service are
// recorded.
func anyRequest(service string) Trait { return Trait{Service: service} }

// Traits returns the traits of a request to a service: the shared parts of its prompt and
// the identity of the request, which may be "".
func Traits(service string, parts []string, requestID string) []Trait {
	traits := make([]Trait, 0, len(parts)+1)
	for _, id := range parts {
		traits = append(traits, Trait{Kind: PromptPart, Service: service, ID: id})
	}
	if requestID != "" {
		traits = append(traits, Trait{Kind: WholeRequest, ID: requestID})
	}
	return traits
}

// Crash is a crash of an endpoint.
type Crash struct {
	Service  string
	Endpoint string
	At       time.Time
	// Requests holds the traits of each request that was in flight at the endpoint and
	// whose answer had not begun, or had begun a short time ago.
	Requests [][]Trait
}

// mergeWindow is the time within which reports on an endpoint concern the same crash.
const mergeWindow = 500 * time.Millisecond

// sameCrash reports whether an endpoint's crash at the time is the crash c.
func (c *Crash) sameCrash(endpoint string, at time.Time) bool {
	return c.Endpoint == endpoint && at.Sub(c.At).Abs() < mergeWindow
}

// contains reports whether one of the requests had the trait.
func (c *Crash) contains(t Trait) bool {
	return slices.ContainsFunc(c.Requests, func(request []Trait) bool { return slices.Contains(request, t) })
}

// traits returns all traits of the requests, each once.
func (c *Crash) traits() []Trait {
	var traits []Trait
	seen := map[Trait]bool{}
	for _, request := range c.Requests {
		for _, t := range request {
			if !seen[t] {
				seen[t] = true
				traits = append(traits, t)
			}
		}
	}
	return traits
}

// wholeRequest returns the identity among the traits of a request, or "".
func wholeRequest(request []Trait) string {
	for _, t := range request {
		if t.Kind == WholeRequest {
			return t.ID
		}
	}
	return ""
}
