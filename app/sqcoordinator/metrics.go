package sqcoordinator

import (
	"time"

	"sequoiadock/io/sqclock"
)

// registerGauges registers the gauges and counters of the process.
func (c *coordinator) registerGauges() {
	c.quotaGranted = c.metrics.NewCounter(`sequoiadock_coordinator_quota_answers{outcome="granted"}`)
	c.quotaRefused = c.metrics.NewCounter(`sequoiadock_coordinator_quota_answers{outcome="refused"}`)
	c.metrics.NewGauge("sequoiadock_coordinator_quota_teams", func() float64 {
		return c.termGauge(func(_ time.Time, t *termState) float64 { return float64(t.quotas.issuer.Limited()) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_holds_lease", func() float64 {
		_, _, held := c.replica.Lease(sqclock.Now())
		if held {
			return 1
		}
		return 0
	})
	c.metrics.NewGauge("sequoiadock_coordinator_gateways", func() float64 {
		return c.termGauge(func(_ time.Time, t *termState) float64 { return float64(len(t.gateways.byName)) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_endpoints", func() float64 {
		return c.termGauge(func(_ time.Time, t *termState) float64 { return float64(len(t.fleet)) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_quarantined_parts", func() float64 {
		return c.termGauge(func(time.Time, *termState) float64 { return float64(c.activeQuarantines(sqclock.Wall())) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_limited_endpoints", func() float64 {
		return c.termGauge(func(_ time.Time, t *termState) float64 { return float64(len(t.limits.Limits())) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_overloaded_gateways", func() float64 {
		return c.termGauge(func(_ time.Time, t *termState) float64 {
			overloaded, _ := t.gateways.overloads.Count()
			return float64(overloaded)
		})
	})
	c.metrics.NewGauge("sequoiadock_coordinator_left_out_gateways", func() float64 {
		return c.termGauge(func(_ time.Time, t *termState) float64 {
			_, leftOut := t.gateways.overloads.Count()
			return float64(leftOut)
		})
	})
	c.metrics.NewGauge("sequoiadock_coordinator_list_age_seconds", func() float64 {
		return c.termGauge(func(now time.Time, t *termState) float64 { return t.listAge(now).Seconds() })
	})
	c.registerSpeedGauges()
}

// termGauge returns the value that f computes from the current term's state, or 0 if
// the process does not hold the lease.
func (c *coordinator) termGauge(f func(now time.Time, t *termState) float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.termState == nil || c.termState.lapsed {
		return 0
	}
	return f(sqclock.Now(), c.termState)
}
