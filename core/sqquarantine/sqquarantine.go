// Package sqquarantine finds parts of prompts that crash the endpoints which answer
// them, so that no gateway sends requests with such a part.
//
// Gateways collect Evidence: the crashes of endpoints that they saw, with the requests
// under which they may have crashed, and when requests with a part were last answered in full. The
// lease holder joins the evidence of all gateways in a Tracker. A part is harmful if
// several endpoints crashed under it and no request with it was answered since, while
// other requests were.
package sqquarantine

import "time"

// Part identifies a part of prompts that are sent to a service.
type Part struct {
	Service string
	ID      string
}

// anyPart returns the key under which the answers to all requests of a service are
// recorded.
func anyPart(service string) Part { return Part{Service: service} }

// Crash is a crash of an endpoint.
type Crash struct {
	Service  string
	Endpoint string
	At       time.Time
	// Requests holds the shared parts of each request that was in flight at the endpoint
	// and whose answer had not begun, or had begun a short time ago.
	Requests [][]string
}

// mergeWindow is the time within which reports on an endpoint concern the same crash.
const mergeWindow = 500 * time.Millisecond

// sameCrash reports whether an endpoint's crash at the time is the crash c.
func (c *Crash) sameCrash(endpoint string, at time.Time) bool {
	return c.Endpoint == endpoint && at.Sub(c.At).Abs() < mergeWindow
}

// contains reports whether one of the requests had the part.
func (c *Crash) contains(p Part) bool {
	if c.Service != p.Service {
		return false
	}
	for _, request := range c.Requests {
		for _, id := range request {
			if id == p.ID {
				return true
			}
		}
	}
	return false
}

// parts returns all parts of the requests, each once.
func (c *Crash) parts() []Part {
	var parts []Part
	seen := map[string]bool{}
	for _, request := range c.Requests {
		for _, id := range request {
			if !seen[id] {
				seen[id] = true
				parts = append(parts, Part{Service: c.Service, ID: id})
			}
		}
	}
	return parts
}
