package sqplace

import (
	"slices"
	"strconv"
	"time"

	"sequoiadock/core/sqlimit"
)

// maxRefusalTime limits for how long an endpoint gets no requests after a refusal, so that
// one wrong header does not take it away for a day.
const maxRefusalTime = 10 * time.Minute

// permitWait is the expected time until a permit for a limited endpoint comes, at least
// one heartbeat.
const permitWait = 500 * time.Millisecond

// departing reports whether the endpoint is listed as draining or has reported that it is
// about to stop.
func (n *node) departing() bool { return n.endpoint.Draining() || n.leaving }

// available reports whether the endpoint may get requests.
func (n *node) available(now time.Time) bool { return n.unavailability(now) == Eligible }

// unavailability returns why the endpoint may get no requests.
func (n *node) unavailability(now time.Time) Exclusion {
	switch {
	case n.endpoint.Draining():
		return Draining
	case n.leaving:
		return Leaving
	case now.Before(n.refusesUntil):
		return Refuses
	case !n.list.usable():
		return ListTooOld
	}
	return Eligible
}

// exclusion returns why the endpoint may not get the request.
func (p *Placer) exclusion(now time.Time, r *request, n *node) Exclusion {
	if why := n.unavailability(now); why != Eligible {
		return why
	}
	switch {
	case !r.allows(n):
		return OtherVersion
	case slices.Contains(r.Tried, n.endpoint.ID()):
		return Tried
	case !p.limits.Available(now, n.endpoint.ID()):
		return Limited
	}
	return Eligible
}

// Admit reports whether a listed endpoint may get a request that is sent now, which counts
// towards the endpoint's limit if it names one. After an endpoint is chosen and before the
// request is sent, that may change.
func (p *Placer) Admit(now time.Time, id string) bool {
	n := p.nodes[id]
	return n != nil && n.available(now) && p.limits.Take(now, id)
}

// AdmitRelease reports whether an endpoint may get a request that releases a KV cache now.
// One that is about to stop may still get it.
func (p *Placer) AdmitRelease(now time.Time, id string) bool {
	return !now.Before(p.refusals[id]) && p.limits.Take(now, id)
}

// Limits returns the limits that the gateway knows of, with their permits.
func (p *Placer) Limits() *sqlimit.Keeper { return p.limits }

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

// RecordRefusal records that an endpoint wants no requests of this gateway for some time.
// It returns false if that was already the case.
func (p *Placer) RecordRefusal(now time.Time, id string, wait time.Duration) bool {
	old, until := p.refusals[id], now.Add(min(wait, maxRefusalTime))
	if until.After(old) {
		p.refusals[id] = until
	}
	if n := p.nodes[id]; n != nil {
		n.refusesUntil = p.refusals[id]
	}
	return !now.Before(old)
}

// EndRefusals forgets the refusals whose time has passed and returns the identities of the
// endpoints, sorted.
func (p *Placer) EndRefusals(now time.Time) []string {
	var ids []string
	for id, until := range p.refusals {
		if !now.Before(until) {
			delete(p.refusals, id)
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RetryAfter returns the time until an endpoint of the service may get requests, or 0 if
// one may get them now or none will. It is longer for some callers than for others, so
// that they do not all return at the same time.
func (p *Placer) RetryAfter(now time.Time, service string) time.Duration {
	s := p.services[service]
	if s == nil {
		return 0
	}
	wait := p.waitForEndpoint(now, s)
	if wait == 0 {
		return 0
	}
	return wait + p.randomDuration(max(wait/2, minRetryAfter))
}

// waitForEndpoint returns the time until the first endpoint may get requests, or 0 if one
// may get them now or none will.
func (p *Placer) waitForEndpoint(now time.Time, s *pool) time.Duration {
	left := time.Duration(0)
	for _, n := range s.nodes {
		wait := n.refusesUntil.Sub(now)
		if !p.limits.Available(now, n.endpoint.ID()) {
			wait = max(wait, permitWait)
		}
		switch {
		case n.departing():
		case wait <= 0:
			return 0
		case left == 0 || wait < left:
			left = wait
		}
	}
	return left
}

// noEndpoint returns the choice for a request that no endpoint may get. The reason is used
// if that does not change with time.
func (p *Placer) noEndpoint(now time.Time, s *pool, q *Query, reason string) Choice {
	if q.SameVersion && !slices.ContainsFunc(s.nodes, q.mayServe) {
		return Choice{Reason: "no endpoint of version " + strconv.Quote(q.Version) + " is left, which began the stream"}
	}
	if !p.list.usable() && slices.ContainsFunc(s.nodes, q.mayServe) {
		return Choice{RetryAfter: maxRetryAfter / 3, Reason: staleListReason, StaleList: true}
	}
	if wait := p.RetryAfter(now, q.Service); wait > 0 {
		return Choice{RetryAfter: wait, Reason: "all endpoints refuse requests or have reached their limits"}
	}
	return Choice{RetryAfter: maxRetryAfter / 3, Reason: reason}
}

// randomDuration returns a random duration below limit.
func (p *Placer) randomDuration(limit time.Duration) time.Duration {
	const bits = 53
	return time.Duration(float64(limit) * float64(p.nextRandom()>>(64-bits)) / (1 << bits))
}
