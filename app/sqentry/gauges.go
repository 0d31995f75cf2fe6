package sqentry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// entryMetrics holds the entry's metrics.
type entryMetrics struct {
	set            *metrics.Set
	retries        *metrics.Counter
	moves          *metrics.Counter
	requestSeconds *metrics.Histogram
}

func newEntryMetrics(e *entry) *entryMetrics {
	s := metrics.NewSet()
	g := &entryMetrics{
		set:            s,
		retries:        s.NewCounter("sequoiadock_entry_retries_total"),
		moves:          s.NewCounter("sequoiadock_entry_moves_total"),
		requestSeconds: s.NewHistogram("sequoiadock_entry_request_seconds"),
	}
	s.NewGauge("sequoiadock_entry_running", func() float64 { return float64(e.active.requests.Load()) })
	s.NewGauge("sequoiadock_entry_queued", func() float64 { return float64(e.admission.queueLength()) })
	s.NewGauge("sequoiadock_entry_fresh", func() float64 { return boolGauge(e.watch.Fresh(sqclock.Now())) })
	s.NewGauge("sequoiadock_entry_version", func() float64 { return float64(e.watch.View().Version()) })
	s.NewGauge("sequoiadock_entry_pending_calls", func() float64 { return float64(e.onceCalls.Pending()) })
	s.NewGauge("sequoiadock_entry_body_bytes", func() float64 { return float64(e.active.bodyBytes.Load()) })
	s.NewGauge("sequoiadock_entry_answer_bytes", func() float64 { return float64(e.active.responseMemory.UsedBytes()) })
	s.NewGauge("sequoiadock_entry_poll_bytes", func() float64 { return float64(e.endpointClient.ControlBytes()) })
	return g
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (g *entryMetrics) countError(kind sqerror.Kind) {
	g.set.GetOrCreateCounter(`sequoiadock_entry_errors_total{kind="` + kind.String() + `"}`).Inc()
}

func (g *entryMetrics) observeDuration(d time.Duration) { g.requestSeconds.Update(d.Seconds()) }

func (g *entryMetrics) write(w io.Writer) {
	g.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
