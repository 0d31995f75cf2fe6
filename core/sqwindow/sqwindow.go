// Package sqwindow counts the requests of each team by billing window. Each gateway
// counts with a Counter, and the lease holder sums the counts with a Collector. A
// window is frozen once its counts are final.
package sqwindow

import "time"

// keptWindows is how many windows a gateway keeps, so that a new lease holder can
// still get the counts of the windows that the previous holder did not freeze.
const keptWindows = 8

// NumberAt returns the number of the window that contains wallTime.
func NumberAt(wallTime time.Time, length time.Duration) uint64 {
	return uint64(wallTime.UnixNano() / int64(length))
}

// End returns the wall-clock time at which a window ends.
func End(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Count is the number of requests of one team in one window.
type Count struct {
	Window   uint64
	Team     string
	Requests uint64
}

// Counter counts the requests of one gateway. It is not safe for concurrent use.
type Counter struct {
	length time.Duration
	counts map[uint64]map[string]uint64
	newest uint64
}

// NewCounter returns an empty counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, counts: map[uint64]map[string]uint64{}}
}

// Add counts a request that started to run at wallTime.
func (c *Counter) Add(wallTime time.Time, team string) {
	window := NumberAt(wallTime, c.length)
	if c.counts[window] == nil {
		c.counts[window] = map[string]uint64{}
		c.newest = max(c.newest, window)
		c.dropOldWindows()
	}
	c.counts[window][team]++
}

func (c *Counter) dropOldWindows() {
	for window := range c.counts {
		if window+keptWindows <= c.newest {
			delete(c.counts, window)
		}
	}
}

// Counts returns the counts of all kept windows, in no order.
func (c *Counter) Counts() []Count {
	var list []Count
	for window, teams := range c.counts {
		for team, n := range teams {
			list = append(list, Count{Window: window, Team: team, Requests: n})
		}
	}
	return list
}
