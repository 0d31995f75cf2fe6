package sqlimit

import (
	"maps"
	"slices"
	"time"
)

// Issuer is the lease holder's part: it joins what gateways report and issues permits. It
// is not safe for concurrent use.
type Issuer struct {
	endpoints map[string]*issuerEndpoint
}

// issuerEndpoint is an endpoint that names a limit or has ended it a short time ago.
type issuerEndpoint struct {
	report Report
	// permits is how many were saved up at refilledAt.
	permits    float64
	refilledAt time.Time
	keepUntil  time.Time
}

// NewIssuer returns an issuer that has heard of no limit.
func NewIssuer() *Issuer { return &Issuer{endpoints: map[string]*issuerEndpoint{}} }

// Record records what a gateway reports. It returns true if that changes the limit.
func (s *Issuer) Record(now time.Time, r Report) bool {
	e := s.endpoints[r.Endpoint]
	if e == nil {
		if !r.Named {
			return false
		}
		// Gateways that have not heard of the limit still send, so no permits are saved up.
		e = &issuerEndpoint{refilledAt: now}
		s.endpoints[r.Endpoint] = e
	}
	if !r.overrides(e.report) {
		return false
	}
	e.refill(now)
	changed := !r.sameLimit(e.report)
	e.report, e.keepUntil = r, now.Add(memory)
	e.permits = min(e.permits, e.maxPermits())
	return changed
}

func (e *issuerEndpoint) rate() float64 { return max(e.report.PerSecond, minPerSecond) }

// maxPermits is how many permits are saved up at most.
func (e *issuerEndpoint) maxPermits() float64 { return max(1, e.rate()*burstTime.Seconds()) }

func (e *issuerEndpoint) refill(now time.Time) {
	if e.report.Named {
		e.permits = min(e.permits+e.rate()*now.Sub(e.refilledAt).Seconds(), e.maxPermits())
	}
	e.refilledAt = now
}

// Issue issues up to the wanted number of permits for requests to an endpoint.
func (s *Issuer) Issue(now time.Time, endpoint string, wanted int) int {
	e := s.endpoints[endpoint]
	if e == nil || !e.report.Named {
		return 0
	}
	e.refill(now)
	n := max(0, min(wanted, int(e.permits)))
	e.permits -= float64(n)
	return n
}

// Limited reports whether the endpoint names a limit.
func (s *Issuer) Limited(endpoint string) bool {
	e := s.endpoints[endpoint]
	return e != nil && e.report.Named
}

// Limits returns the limits in force, sorted by endpoint, without permits.
func (s *Issuer) Limits() []Limit {
	var limits []Limit
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if r := s.endpoints[id].report; r.Named {
			limits = append(limits, Limit{Endpoint: id, PerSecond: r.PerSecond, At: r.At})
		}
	}
	return limits
}

// Forget forgets the endpoints that have not been listed, or have named no limit, for some
// time, and returns those that had one, sorted.
func (s *Issuer) Forget(now time.Time, listed func(id string) bool) []string {
	var forgotten []string
	for id, e := range s.endpoints {
		switch {
		case e.report.Named && listed(id):
			e.keepUntil = now.Add(memory)
		case !now.Before(e.keepUntil):
			delete(s.endpoints, id)
			if e.report.Named {
				forgotten = append(forgotten, id)
			}
		}
	}
	slices.Sort(forgotten)
	return forgotten
}
