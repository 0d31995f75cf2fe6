package sqgateway

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/io/sqclock"
)

// meter is what the process measures of itself.
type meter struct {
	set     *metrics.Set
	running atomic.Int64

	answered, refused, failed, left, resent *metrics.Counter
	first, total                            *metrics.Histogram
}

func newMeter(g *gateway) *meter {
	s := metrics.NewSet()
	m := &meter{
		set:      s,
		answered: s.NewCounter(`sequoiadock_gateway_requests{outcome="answered"}`),
		refused:  s.NewCounter(`sequoiadock_gateway_requests{outcome="refused"}`),
		failed:   s.NewCounter(`sequoiadock_gateway_requests{outcome="failed"}`),
		left:     s.NewCounter(`sequoiadock_gateway_requests{outcome="left"}`),
		resent:   s.NewCounter("sequoiadock_gateway_resends"),
		first:    s.NewHistogram("sequoiadock_gateway_first_event_seconds"),
		total:    s.NewHistogram("sequoiadock_gateway_request_seconds"),
	}
	s.NewGauge("sequoiadock_gateway_running", func() float64 { return float64(m.running.Load()) })
	s.NewGauge("sequoiadock_gateway_connections", func() float64 { return float64(g.pool.Open()) })
	s.NewGauge("sequoiadock_gateway_version", func() float64 {
		if t := g.view.Load().table; t != nil {
			return float64(t.Version())
		}
		return 0
	})
	s.NewGauge("sequoiadock_gateway_fresh", func() float64 {
		if g.view.Load().fresh(sqclock.Now()) {
			return 1
		}
		return 0
	})
	return m
}
