// Package sqoffset estimates the true wall-clock time from the clocks of many
// VMs, a minority of which may be off by seconds.
package sqoffset

import (
	"slices"
	"time"
)

const (
	// maxReadingAge is the age above which a reading is discarded.
	maxReadingAge = 5 * time.Second
	// medianInterval is how long a median is used while no further VM reports.
	medianInterval = 100 * time.Millisecond
)

// Estimator estimates the time as the median of the clock offsets last reported
// by the VMs. It is not safe for concurrent use.
type Estimator struct {
	readings map[string]reading
	// median is that of medianOf readings at medianAt.
	median   time.Duration
	medianOf int
	medianAt time.Time
}

// reading is the offset of the clock of one VM from the local monotonic clock.
type reading struct {
	takenAt time.Time
	offset  time.Duration
}

// New returns an estimator without readings.
func New() *Estimator { return &Estimator{readings: map[string]reading{}} }

// Record stores the time that the clock of a VM showed at now. The argument now
// is from the local monotonic clock, which never jumps.
func (e *Estimator) Record(now time.Time, vm string, clockTime time.Time) {
	e.readings[vm] = reading{takenAt: now, offset: clockTime.Sub(now)}
}

// Time returns the estimated true time at now. Without a recent reading it
// returns now.
func (e *Estimator) Time(now time.Time) time.Time {
	if len(e.readings) != e.medianOf || now.Sub(e.medianAt).Abs() >= medianInterval {
		e.updateMedian(now)
	}
	return now.Add(e.median)
}

// updateMedian discards old readings and sets the median of the others, or 0 if there are
// none.
func (e *Estimator) updateMedian(now time.Time) {
	offsets := make([]time.Duration, 0, len(e.readings))
	for vm, r := range e.readings {
		if now.Sub(r.takenAt) > maxReadingAge {
			delete(e.readings, vm)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	e.median, e.medianOf, e.medianAt = 0, len(offsets), now
	if len(offsets) == 0 {
		return
	}
	slices.Sort(offsets)
	e.median = offsets[len(offsets)/2]
}
