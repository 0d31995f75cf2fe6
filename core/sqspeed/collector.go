package sqspeed

import (
	"maps"
	"slices"
	"time"
)

// Collector is a gateway's part: it sums what endpoints reported to the gateway until a
// lease holder has it. It is not safe for concurrent use.
type Collector struct {
	// unsent holds the reports since the last heartbeat, sent those of heartbeats that were
	// not answered.
	unsent, sent map[string]reportSum
}

// reportSum sums the reports of one endpoint.
type reportSum struct {
	percents float64
	count    int
	lastAt   time.Time
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{unsent: map[string]reportSum{}, sent: map[string]reportSum{}}
}

// Record records that an endpoint reported its speed at now.
func (c *Collector) Record(now time.Time, endpoint string, percent float64) {
	s := c.unsent[endpoint]
	c.unsent[endpoint] = reportSum{percents: s.percents + percent, count: s.count + 1, lastAt: now}
}

// Take returns the reports for a heartbeat that is sent at now, sorted by endpoint: those
// since the last heartbeat that was answered.
func (c *Collector) Take(now time.Time) []Report {
	for id, s := range c.unsent {
		old := c.sent[id]
		c.sent[id] = reportSum{percents: old.percents + s.percents, count: old.count + s.count, lastAt: s.lastAt}
	}
	clear(c.unsent)
	maps.DeleteFunc(c.sent, func(_ string, s reportSum) bool { return now.Sub(s.lastAt) > memory })
	var reports []Report
	for _, id := range slices.Sorted(maps.Keys(c.sent)) {
		s := c.sent[id]
		reports = append(reports, Report{Endpoint: id, Percent: s.percents / float64(s.count), Count: s.count, At: s.lastAt})
	}
	return reports
}

// Acknowledge forgets the reports of the last heartbeat, which was answered.
func (c *Collector) Acknowledge() { clear(c.sent) }
