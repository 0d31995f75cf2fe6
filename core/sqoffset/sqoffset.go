// Package sqoffset estimates the true time from the clocks of many VMs, of which
// a minority may be seconds off.
package sqoffset

import (
	"slices"
	"time"
)

// keep is for how long a reading counts.
const keep = 5 * time.Second

// Estimator is the median of the offsets that the VMs last showed. It is not safe
// for concurrent use.
type Estimator struct {
	readings map[string]reading
}

type reading struct {
	at     time.Time
	offset time.Duration
}

// New returns a median without readings.
func New() *Estimator { return &Estimator{readings: map[string]reading{}} }

// Record takes the date that a VM's clock showed at now, which is on the local
// clock that never jumps.
func (m *Estimator) Record(now time.Time, vm string, date time.Time) {
	m.readings[vm] = reading{at: now, offset: date.Sub(now)}
}

// Time returns the estimated true time at now. Without a reading it is now.
func (m *Estimator) Time(now time.Time) time.Time {
	var offsets []time.Duration
	for vm, r := range m.readings {
		if now.Sub(r.at) > keep {
			delete(m.readings, vm)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	if len(offsets) == 0 {
		return now
	}
	slices.Sort(offsets)
	return now.Add(offsets[len(offsets)/2])
}
