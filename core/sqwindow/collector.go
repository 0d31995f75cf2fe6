package sqwindow

import (
	"slices"
	"time"
)

const (
	// settle is how long after its end a window is frozen when all gateways were
	// heard since.
	settle = 1500 * time.Millisecond
	// patience is how long after its end a window waits for gateways that are
	// silent.
	patience = 6 * time.Second
	// listen is how long a new holder hears gateways before it freezes anything.
	listen = 1500 * time.Millisecond
	// forgetAfter is how long a silent gateway's counts are kept.
	forgetAfter = time.Minute
)

// Collector adds up the counts of all gateways. It is not safe for concurrent
// use.
type Collector struct {
	length time.Duration
	since  time.Time
	first  uint64
	runs   map[string]*run
}

// run is one start of a gateway's process.
type run struct {
	counts  []Count
	heardAt time.Time
	ended   bool
}

// NewCollector returns a collector of a holder that began at now.
func NewCollector(now time.Time, length time.Duration) *Collector {
	return &Collector{length: length, since: now, runs: map[string]*run{}}
}

// RecordCounts takes the counts of a gateway's run at now, which replace its earlier
// ones. Date is the true time.
func (c *Collector) RecordCounts(now, date time.Time, id string, leaving bool, counts []Count) {
	if c.first == 0 {
		c.first = NumberAt(date, c.length)
	}
	for _, n := range counts {
		c.first = min(c.first, n.Window)
	}
	r := c.runs[id]
	if r == nil {
		r = &run{}
		c.runs[id] = r
	}
	r.counts, r.heardAt, r.ended = counts, now, leaving
	for id, r := range c.runs {
		if now.Sub(r.heardAt) > forgetAfter {
			delete(c.runs, id)
		}
	}
}

// NextDue returns the next window after last that can be frozen, if any; last is 0
// before the first.
func (c *Collector) NextDue(now, date time.Time, last uint64) (uint64, bool) {
	next := last + 1
	if last == 0 {
		next = c.first
	}
	if c.first == 0 || next == 0 || now.Sub(c.since) < listen {
		return 0, false
	}
	next = max(next, c.first)
	since := date.Sub(End(next, c.length))
	if since < settle {
		return 0, false
	}
	if since >= patience {
		return next, true
	}
	for _, r := range c.runs {
		if !r.ended && now.Sub(r.heardAt) > since {
			return 0, false
		}
	}
	return next, true
}

// Sum returns the counts of a window over all gateways, by rising team.
func (c *Collector) Sum(window uint64) []Count {
	sums := map[string]uint64{}
	for _, r := range c.runs {
		for _, n := range r.counts {
			if n.Window == window {
				sums[n.Team] += n.Requests
			}
		}
	}
	list := make([]Count, 0, len(sums))
	for team, n := range sums {
		list = append(list, Count{Window: window, Team: team, Requests: n})
	}
	slices.SortFunc(list, func(a, b Count) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return list
}
