package sqwindow

import (
	"slices"
	"time"
)

const (
	// freezeDelay is how long after its end a window is frozen if all gateways have
	// reported since the end.
	freezeDelay = 1500 * time.Millisecond
	// maxFreezeDelay is how long after its end a window waits for gateways that do not
	// report.
	maxFreezeDelay = 6 * time.Second
	// takeoverDelay is how long a new lease holder collects reports before it freezes
	// a window.
	takeoverDelay = 1500 * time.Millisecond
	// runRetention is how long the counts of a gateway that does not report are kept.
	runRetention = time.Minute
	// pruneInterval is the period of deleting counts that are older than that.
	pruneInterval = time.Second
)

// Collector sums the counts of all gateways. It is not safe for concurrent use.
type Collector struct {
	length      time.Duration
	startedAt   time.Time
	firstWindow uint64
	runs        map[string]*gatewayRun
	// prunedAt is when old runs were last deleted.
	prunedAt time.Time
}

// gatewayRun holds the latest report of one run of a gateway's process.
type gatewayRun struct {
	counts     []Count
	receivedAt time.Time
	ended      bool
}

// NewCollector returns a collector for a lease holder that took over at now.
func NewCollector(now time.Time, length time.Duration) *Collector {
	return &Collector{length: length, startedAt: now, runs: map[string]*gatewayRun{}}
}

// RecordCounts records the counts that a gateway's run reported at now; they replace
// the run's earlier counts. WallTime is the wall-clock time of now.
func (c *Collector) RecordCounts(now, wallTime time.Time, runID string, leaving bool, counts []Count) {
	if c.firstWindow == 0 {
		c.firstWindow = NumberAt(wallTime, c.length)
	}
	for _, n := range counts {
		c.firstWindow = min(c.firstWindow, n.Window)
	}
	r := c.runs[runID]
	if r == nil {
		r = &gatewayRun{}
		c.runs[runID] = r
	}
	r.counts, r.receivedAt, r.ended = counts, now, leaving
	if now.Sub(c.prunedAt) >= pruneInterval {
		c.prune(now)
	}
}

// prune deletes the runs that have been silent for longer than runRetention.
func (c *Collector) prune(now time.Time) {
	c.prunedAt = now
	for runID, r := range c.runs {
		if now.Sub(r.receivedAt) > runRetention {
			delete(c.runs, runID)
		}
	}
}

// NextDue returns the next window after lastFrozen, and whether it can be frozen now.
// LastFrozen is 0 before the first freeze.
func (c *Collector) NextDue(now, wallTime time.Time, lastFrozen uint64) (uint64, bool) {
	next := lastFrozen + 1
	if lastFrozen == 0 {
		next = c.firstWindow
	}
	if c.firstWindow == 0 || next == 0 || now.Sub(c.startedAt) < takeoverDelay {
		return 0, false
	}
	next = max(next, c.firstWindow)
	sinceEnd := wallTime.Sub(End(next, c.length))
	if sinceEnd < freezeDelay {
		return 0, false
	}
	if sinceEnd >= maxFreezeDelay {
		return next, true
	}
	for _, r := range c.runs {
		if !r.ended && now.Sub(r.receivedAt) > sinceEnd {
			return 0, false
		}
	}
	return next, true
}

// Sum returns the counts of a window over all gateways, sorted by team.
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
