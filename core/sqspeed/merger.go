package sqspeed

import (
	"maps"
	"slices"
	"time"
)

// Merger is the lease holder's part: it merges the reports of all gateways. It is not safe
// for concurrent use.
type Merger struct {
	estimates map[string]*Estimate
}

// NewMerger returns a merger without reports.
func NewMerger() *Merger { return &Merger{estimates: map[string]*Estimate{}} }

// Record records what a gateway reports. A report that is not credible is ignored.
func (m *Merger) Record(r Report) {
	if !r.credible() || r.Endpoint == "" {
		return
	}
	e := m.estimates[r.Endpoint]
	if e == nil {
		e = &Estimate{}
		m.estimates[r.Endpoint] = e
	}
	e.Record(r)
}

// Speed returns the estimate for an endpoint, and false if none of its reports is
// remembered.
func (m *Merger) Speed(now time.Time, endpoint string) (Speed, bool) {
	e := m.estimates[endpoint]
	if e == nil {
		return Speed{}, false
	}
	return Speed{Endpoint: endpoint, Percent: e.Percent(now), Mean: e.Mean(now), Age: max(0, now.Sub(e.reportedAt))}, true
}

// Endpoints returns the endpoints with an estimate in no particular order.
func (m *Merger) Endpoints() []string { return slices.Collect(maps.Keys(m.estimates)) }

// Forget forgets the endpoints that have not reported for some time.
func (m *Merger) Forget(now time.Time) {
	maps.DeleteFunc(m.estimates, func(_ string, e *Estimate) bool { return now.Sub(e.reportedAt) > memory })
}
