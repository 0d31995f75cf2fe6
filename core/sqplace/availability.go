package sqplace

import (
	"slices"
	"time"
)

// available reports whether the endpoint may get requests: it is neither listed as
// draining nor has it reported that it is about to stop.
func (n *node) available() bool { return !n.endpoint.Draining() && !n.leaving }

// RecordLeaving records that an endpoint reported that it is about to stop. It gets no
// more requests, whatever the list says. RecordLeaving returns false if that was recorded
// before.
func (p *Placer) RecordLeaving(now time.Time, id string) bool {
	if n := p.nodes[id]; n != nil {
		n.leaving = true
	}
	return p.departures.Record(now, id)
}

// ForgetDepartures forgets the reports of endpoints that have not been listed for some
// time and returns their identities.
func (p *Placer) ForgetDepartures(now time.Time) []string {
	return p.departures.Forget(now, func(id string) bool { return p.nodes[id] != nil })
}

// UnlistedDepartures returns the identities of the endpoints that reported that they are
// about to stop and that are not listed as draining, sorted.
func (p *Placer) UnlistedDepartures() []string {
	var ids []string
	for id, n := range p.nodes {
		if n.leaving && !n.endpoint.Draining() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
