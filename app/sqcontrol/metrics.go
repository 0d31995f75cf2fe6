package sqcontrol

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
)

// metricSet holds the metrics of the control process. The gauges show the values of
// the holder and are 0 on the other replicas, so that sums over the control
// processes are right.
type metricSet struct {
	set     *metrics.Set
	inForce *metrics.Histogram
}

func newMetricSet(h *holder) *metricSet {
	s := metrics.NewSet()
	m := &metricSet{set: s, inForce: s.NewHistogram("sequoiadock_control_in_force_seconds")}
	fromState := func(name string, f func() float64) {
		s.NewGauge(name, func() float64 { return h.gaugeFromState(f) })
	}
	fromTerm := func(name string, f func(now time.Time, t *termState) float64) {
		s.NewGauge(name, func() float64 { return h.gaugeFromTerm(sqclock.Now(), f) })
	}
	fromState("sequoiadock_control_holds_lease", func() float64 { return 1 })
	for _, k := range orderKinds() {
		fromState(`sequoiadock_control_open_orders{kind="`+kindLabel(k)+`"}`, func() float64 { return h.countOpenOrders(k) })
	}
	fromState("sequoiadock_control_unreported_windows", func() float64 {
		n, _ := h.unreportedWindows(sqclock.Wall())
		return float64(n)
	})
	fromState("sequoiadock_control_unreported_window_age_seconds", func() float64 {
		_, age := h.unreportedWindows(sqclock.Wall())
		return age.Seconds()
	})
	fromTerm(`sequoiadock_control_entries{state="fresh"}`, func(now time.Time, t *termState) float64 { return t.countEntries(now, true) })
	fromTerm(`sequoiadock_control_entries{state="stale"}`, func(now time.Time, t *termState) float64 { return t.countEntries(now, false) })
	for _, st := range []sqfleet.State{sqfleet.Live, sqfleet.Draining, sqfleet.Leaving} {
		fromTerm(`sequoiadock_control_endpoints{state="`+string(st)+`"}`, func(_ time.Time, t *termState) float64 { return t.countEndpoints(st) })
	}
	fromTerm("sequoiadock_control_burn_rate", func(now time.Time, t *termState) float64 { return t.highestBurn(now) })
	fromTerm("sequoiadock_control_platform_list_age_seconds", func(now time.Time, t *termState) float64 { return t.listAge(now).Seconds() })
	return m
}

func orderKinds() []sqcommand.OrderKind {
	return []sqcommand.OrderKind{
		sqcommand.OrderKind_ORDER_KIND_ROLE,
		sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL,
		sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT,
		sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT,
	}
}

// countClosedOrder counts an order that the holder closed.
func (m *metricSet) countClosedOrder(k sqcommand.OrderKind, done bool) {
	outcome := "givenUp"
	if done {
		outcome = "done"
	}
	m.set.GetOrCreateCounter(`sequoiadock_control_orders_closed_total{kind="` + kindLabel(k) + `",outcome="` + outcome + `"}`).Inc()
}

// gaugeFromState returns the value of f, or 0 without the lease. f may read the
// replicated state, so h.mu is not held: other callers lock it while they read the
// replicated state.
func (h *holder) gaugeFromState(f func() float64) float64 {
	if _, err := h.currentTerm(sqclock.Now()); err != nil {
		return 0
	}
	return f()
}

// gaugeFromTerm returns the value of f for the current term, or 0 without the
// lease. f runs with h.mu held and must not read the replicated state.
func (h *holder) gaugeFromTerm(now time.Time, f func(now time.Time, t *termState) float64) float64 {
	t, err := h.currentTerm(now)
	if err != nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return f(now, t)
}

func (h *holder) countOpenOrders(k sqcommand.OrderKind) float64 {
	n := 0
	h.machine.Read(func(s *sqstate.State) {
		for _, o := range s.OpenOrders() {
			if o.GetKind() == k {
				n++
			}
		}
	})
	return float64(n)
}

// unreportedWindows returns how many frozen windows the platform has not accepted,
// and how long ago the oldest of them ended.
func (h *holder) unreportedWindows(wall time.Time) (n int, age time.Duration) {
	h.machine.Read(func(s *sqstate.State) {
		for _, w := range s.UsageWindows() {
			if !w.GetReported() {
				n++
				age = max(age, wall.Sub(time.Unix(0, w.GetToUnixNano())))
			}
		}
	})
	return n, age
}

func (t *termState) countEntries(now time.Time, fresh bool) float64 {
	n := 0
	for _, e := range t.entries.Entries() {
		if t.entries.HasLease(now, e) == fresh {
			n++
		}
	}
	return float64(n)
}

func (t *termState) countEndpoints(state sqfleet.State) float64 {
	n := 0
	for _, e := range t.fleet.All() {
		if e.State() == state {
			n++
		}
	}
	return float64(n)
}

// highestBurn returns the highest burn rate over teams, services and windows.
func (t *termState) highestBurn(now time.Time) float64 {
	highest := 0.0
	for _, b := range t.burn.Burns(now) {
		highest = max(highest, b.Rate())
	}
	return highest
}

// listAge returns the age of the platform's list. Before the list is first read in
// the term, the age counts from the term's start.
func (t *termState) listAge(now time.Time) time.Duration {
	if !t.listRead {
		return now.Sub(t.startedAt)
	}
	return now.Sub(t.listReadAt)
}
