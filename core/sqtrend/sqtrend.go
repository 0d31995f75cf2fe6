// Package sqtrend follows a quantity that changes: its level, how fast that
// moves, and how far off the expectation usually is.
package sqtrend

import (
	"math"
	"time"
)

// Damping is the part of a slope that is expected to go on: a swing does not
// last for ever.
const Damping = 0.5

// Config sets up a Trend. Memories are in units of the time that the owner's
// decision takes to have effect: what is over before isn't worth following.
type Config struct {
	LevelTimeConstant     float64
	SlopeTimeConstant     float64
	DeviationTimeConstant float64
	// StepDamping is the part of the slope that is expected to go on from one
	// sample to the next.
	StepDamping float64
}

// Trend is what was seen of a quantity. The zero value has seen nothing. It is
// not safe for concurrent use.
type Trend struct {
	level     float64
	slope     float64
	deviation float64
	at        time.Time
	known     bool
}

// Initialized returns false until the first sample.
func (t *Trend) Initialized() bool { return t.known }

// Level returns the smoothed quantity.
func (t *Trend) Level() float64 { return t.level }

// Slope returns its change in a second.
func (t *Trend) Slope() float64 { return t.slope }

// Deviation returns how far off the expectation usually is.
func (t *Trend) Deviation() float64 { return t.deviation }

// Add takes a sample and returns the time since the one before, in seconds; 0
// is the first one or one that came too early to count.
func (t *Trend) Add(now time.Time, v float64, unit time.Duration, cfg *Config) float64 {
	if !t.known {
		*t = Trend{level: v, at: now, known: true}
		return 0
	}
	dt := now.Sub(t.at).Seconds()
	if dt <= 0 {
		return 0
	}
	t.at = now
	expected := t.level + cfg.StepDamping*t.slope*dt
	t.deviation += Gain(dt, cfg.DeviationTimeConstant, unit) * (math.Abs(v-expected) - t.deviation)
	level := expected + Gain(dt, cfg.LevelTimeConstant, unit)*(v-expected)
	t.slope += Gain(dt, cfg.SlopeTimeConstant, unit) * ((level-t.level)/dt - t.slope)
	t.level = level
	return dt
}

// Gain returns the weight of a new sample after a pause of so many seconds.
func Gain(dt, memory float64, unit time.Duration) float64 {
	return 1 - math.Exp(-dt/(memory*unit.Seconds()))
}
