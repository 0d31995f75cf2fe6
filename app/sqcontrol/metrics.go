package sqcontrol

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
)

// metricSet is what the control process tells of itself. Gauges are the
// holder's, and 0 on the other replicas, so that sums over the control processes
// are right.
type metricSet struct {
	set     *metrics.Set
	inForce *metrics.Histogram
}

func newMetricSet(h *holder) *metricSet {
	s := metrics.NewSet()
	m := &metricSet{set: s, inForce: s.NewHistogram("sequoiadock_control_in_force_seconds")}
	state := func(name string, f func() float64) {
		s.NewGauge(name, func() float64 { return h.measureState(f) })
	}
	seen := func(name string, f func(now time.Time, t *tenure) float64) {
		s.NewGauge(name, func() float64 { return h.measureTenure(sqclock.Now(), f) })
	}
	state("sequoiadock_control_holds_lease", func() float64 { return 1 })
	for _, k := range orderKinds() {
		state(`sequoiadock_control_open_orders{kind="`+orderWord(k)+`"}`, func() float64 { return h.countOpenOrders(k) })
	}
	state("sequoiadock_control_unreported_windows", func() float64 {
		n, _ := h.unreported(sqclock.Wall())
		return float64(n)
	})
	state("sequoiadock_control_unreported_window_age_seconds", func() float64 {
		_, age := h.unreported(sqclock.Wall())
		return age.Seconds()
	})
	seen(`sequoiadock_control_entries{state="fresh"}`, func(now time.Time, t *tenure) float64 { return t.countEntries(now, true) })
	seen(`sequoiadock_control_entries{state="stale"}`, func(now time.Time, t *tenure) float64 { return t.countEntries(now, false) })
	for _, e := range []sqfleet.State{sqfleet.Live, sqfleet.Draining, sqfleet.Leaving} {
		seen(`sequoiadock_control_endpoints{state="`+string(e)+`"}`, func(_ time.Time, t *tenure) float64 { return t.countEndpoints(e) })
	}
	seen("sequoiadock_control_burn_rate", func(now time.Time, t *tenure) float64 { return t.highestBurn(now) })
	seen("sequoiadock_control_platform_list_age_seconds", func(now time.Time, t *tenure) float64 { return t.listAge(now).Seconds() })
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

// closed counts an order that the holder closed.
func (m *metricSet) closed(k sqcommand.OrderKind, done bool) {
	outcome := "givenUp"
	if done {
		outcome = "done"
	}
	m.set.GetOrCreateCounter(`sequoiadock_control_orders_closed_total{kind="` + orderWord(k) + `",outcome="` + outcome + `"}`).Inc()
}

// measureState returns f, or 0 without the lease. f may read the replicated
// state; the holder's lock is not held then, since other readers take it while
// they hold that of the state.
func (h *holder) measureState(f func() float64) float64 {
	if _, err := h.current(sqclock.Now()); err != nil {
		return 0
	}
	return f()
}

// measureTenure returns f of the tenure, or 0 without the lease. f must not
// read the replicated state.
func (h *holder) measureTenure(now time.Time, f func(now time.Time, t *tenure) float64) float64 {
	t, err := h.current(now)
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

// unreported returns how many frozen windows the platform has not taken, and
// how long ago the oldest of them ended.
func (h *holder) unreported(wall time.Time) (n int, age time.Duration) {
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

func (t *tenure) countEntries(now time.Time, fresh bool) float64 {
	n := 0
	for _, e := range t.entries.Entries() {
		if t.entries.HasLease(now, e) == fresh {
			n++
		}
	}
	return float64(n)
}

func (t *tenure) countEndpoints(state sqfleet.State) float64 {
	n := 0
	for _, e := range t.fleet.All() {
		if e.State() == state {
			n++
		}
	}
	return float64(n)
}

// highestBurn returns the highest burn rate over teams, services and windows.
func (t *tenure) highestBurn(now time.Time) float64 {
	highest := 0.0
	for _, b := range t.burn.Burns(now) {
		highest = max(highest, b.Rate())
	}
	return highest
}

// listAge returns how old the platform's list is; before the first one of the
// term it counts from the term's start.
func (t *tenure) listAge(now time.Time) time.Duration {
	if !t.listed {
		return now.Sub(t.since)
	}
	return now.Sub(t.listedAt)
}
