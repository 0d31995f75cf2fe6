package sqgateway

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/io/sqclock"
)

// gatewayMetrics holds the metrics of the process. The field running is the number
// of requests in progress.
type gatewayMetrics struct {
	set     *metrics.Set
	running atomic.Int64

	answered, refused, failed, disconnected, resends, closeFramed, quarantined *metrics.Counter
	leavingEndpoints, endpointRefusals, staleListRefusals, reusedConnections   *metrics.Counter
	firstEventSeconds, requestSeconds, tableSeconds, connectSeconds            *metrics.Histogram
	quotaRefused, quotaUnanswered, quotaGranted, quotaFailed                   *metrics.Counter
	quotaWaitSeconds                                                           *metrics.Histogram
	speedReports, unreadableLoadFigures, roomWaits                             *metrics.Counter
}

func newGatewayMetrics(g *gateway) *gatewayMetrics {
	set := metrics.NewSet()
	m := &gatewayMetrics{
		set:               set,
		answered:          set.NewCounter(`sequoiadock_gateway_requests{outcome="answered"}`),
		refused:           set.NewCounter(`sequoiadock_gateway_requests{outcome="refused"}`),
		failed:            set.NewCounter(`sequoiadock_gateway_requests{outcome="failed"}`),
		disconnected:      set.NewCounter(`sequoiadock_gateway_requests{outcome="left"}`),
		resends:           set.NewCounter("sequoiadock_gateway_resends"),
		quarantined:       set.NewCounter("sequoiadock_gateway_quarantined_requests"),
		closeFramed:       set.NewCounter("sequoiadock_gateway_close_framed_responses"),
		leavingEndpoints:  set.NewCounter("sequoiadock_gateway_leaving_endpoints"),
		endpointRefusals:  set.NewCounter("sequoiadock_gateway_endpoint_refusals"),
		staleListRefusals: set.NewCounter("sequoiadock_gateway_stale_list_refusals"),
		reusedConnections: set.NewCounter("sequoiadock_gateway_reused_connections"),
		connectSeconds:    set.NewHistogram("sequoiadock_gateway_connect_seconds"),
		quotaRefused:      set.NewCounter(`sequoiadock_gateway_quota_refusals{outcome="over"}`),
		quotaUnanswered:   set.NewCounter(`sequoiadock_gateway_quota_refusals{outcome="unanswered"}`),
		quotaGranted:      set.NewCounter(`sequoiadock_gateway_quota_calls{outcome="granted"}`),
		quotaFailed:       set.NewCounter(`sequoiadock_gateway_quota_calls{outcome="failed"}`),
		quotaWaitSeconds:  set.NewHistogram("sequoiadock_gateway_quota_wait_seconds"),
		speedReports:      set.NewCounter("sequoiadock_gateway_speed_reports"),
		roomWaits:         set.NewCounter("sequoiadock_gateway_room_waits"),
		firstEventSeconds: set.NewHistogram("sequoiadock_gateway_first_event_seconds"),
		requestSeconds:    set.NewHistogram("sequoiadock_gateway_request_seconds"),
		tableSeconds:      set.NewHistogram("sequoiadock_gateway_table_seconds"),

		unreadableLoadFigures: set.NewCounter("sequoiadock_gateway_unreadable_load_figures"),
	}
	set.NewGauge("sequoiadock_gateway_running", func() float64 { return float64(m.running.Load()) })
	set.NewGauge("sequoiadock_gateway_quota_reserved_units", g.quotas.reserved)
	set.NewGauge("sequoiadock_gateway_response_bytes", func() float64 { return float64(g.responseMemory.UsedBytes()) })
	set.NewGauge("sequoiadock_gateway_connections", func() float64 { return float64(g.pool.OpenConnections()) })
	g.utilization.register(set)
	set.NewGauge("sequoiadock_gateway_version", func() float64 {
		if t := g.view.Load().table; t != nil {
			return float64(t.Version())
		}
		return 0
	})
	set.NewGauge("sequoiadock_gateway_fresh", func() float64 {
		if g.view.Load().fresh(sqclock.Now()) {
			return 1
		}
		return 0
	})
	return m
}
