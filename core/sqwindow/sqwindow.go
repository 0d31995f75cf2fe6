// Package sqwindow counts the requests of each team by billing window. Gateways
// count with a Counter, and the lease holder adds the counts up with a Collector.
package sqwindow

import "time"

// kept is how many windows a gateway keeps, so that a new holder can still get
// the counts of those that were not frozen before.
const kept = 8

// NumberAt returns the window in which date falls.
func NumberAt(date time.Time, length time.Duration) uint64 {
	return uint64(date.UnixNano() / int64(length))
}

// End returns the end of a window.
func End(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Count is the requests of one team in one window.
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

// NewCounter returns an empty counter of windows of the length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, counts: map[uint64]map[string]uint64{}}
}

// Add counts a request that began to run at date.
func (c *Counter) Add(date time.Time, team string) {
	w := NumberAt(date, c.length)
	if c.counts[w] == nil {
		c.counts[w] = map[string]uint64{}
		c.newest = max(c.newest, w)
		c.forget()
	}
	c.counts[w][team]++
}

func (c *Counter) forget() {
	for w := range c.counts {
		if w+kept <= c.newest {
			delete(c.counts, w)
		}
	}
}

// Counts returns all counts that are kept.
func (c *Counter) Counts() []Count {
	var list []Count
	for w, teams := range c.counts {
		for team, n := range teams {
			list = append(list, Count{Window: w, Team: team, Requests: n})
		}
	}
	return list
}
