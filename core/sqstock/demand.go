package sqstock

import (
	"time"

	"sequoiadock/core/sqtrend"
)

// demandTrendConfig has its time constants in arrival delays.
var demandTrendConfig = sqtrend.Config{LevelTimeConstant: 0.4, SlopeTimeConstant: 1, DeviationTimeConstant: 3, StepDamping: 1}

// predictDemand returns the demand expected after the arrival delay. A falling
// slope is ignored: engines are released only once they are spare.
func predictDemand(t *sqtrend.Trend, delay time.Duration) float64 {
	return max(0, t.Level()+sqtrend.Damping*max(0, t.Slope())*delay.Seconds())
}

// slidingMax tracks the maximum of a required capacity over a sliding window.
// The window is divided into a few buckets, each with its own maximum.
type slidingMax struct {
	buckets [slidingMaxBuckets]capacity
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// slidingMaxBuckets is the number of buckets that the window is divided into.
const slidingMaxBuckets = 8

// add records a capacity and returns the maximum over the window, for each field
// of capacity on its own.
func (m *slidingMax) add(now time.Time, window time.Duration, c capacity) capacity {
	bucket := now.UnixNano() / max(1, int64(window)/slidingMaxBuckets)
	if m.newest == 0 || bucket-m.newest > slidingMaxBuckets {
		m.newest = bucket - slidingMaxBuckets
	}
	for m.newest < bucket {
		m.newest++
		m.buckets[m.newest%slidingMaxBuckets] = capacity{}
	}
	i := bucket % slidingMaxBuckets
	m.buckets[i] = m.buckets[i].elementwiseMax(c)
	maximum := c
	for _, s := range m.buckets {
		maximum = maximum.elementwiseMax(s)
	}
	return maximum
}
