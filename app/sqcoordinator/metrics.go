package sqcoordinator

import (
	"time"

	"sequoiadock/io/sqclock"
)

// registerGauges registers what the process measures of itself.
func (c *coordinator) registerGauges() {
	c.metrics.NewGauge("sequoiadock_coordinator_holds_lease", func() float64 {
		_, _, held := c.replica.Authority(sqclock.Now())
		if held {
			return 1
		}
		return 0
	})
	c.metrics.NewGauge("sequoiadock_coordinator_gateways", func() float64 {
		return c.measure(func(_ time.Time, t *tenure) float64 { return float64(len(t.gateways)) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_endpoints", func() float64 {
		return c.measure(func(_ time.Time, t *tenure) float64 { return float64(len(t.fleet)) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_list_age_seconds", func() float64 {
		return c.measure(func(now time.Time, t *tenure) float64 { return t.listAge(now).Seconds() })
	})
}

// measure returns a figure of the tenure, 0 if the process does not hold the
// lease.
func (c *coordinator) measure(f func(now time.Time, t *tenure) float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tenure == nil {
		return 0
	}
	return f(sqclock.Now(), c.tenure)
}
