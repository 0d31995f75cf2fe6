// Package sqtrend smooths a time series by double exponential smoothing: it keeps the
// level, the slope, and the mean absolute deviation from the forecast.
package sqtrend

import (
	"math"
	"time"
)

// Damping is the share of a slope that forecasts extrapolate: a rise or fall does
// not last forever.
const Damping = 0.5

// Config sets the smoothing of a Trend. Time constants are multiples of the unit that
// Add gets: the time that a decision of the caller takes to have effect. Changes that
// are over within that time are not worth following.
type Config struct {
	LevelTimeConstant     float64
	SlopeTimeConstant     float64
	DeviationTimeConstant float64
	// StepDamping is the share of the slope that the forecast extrapolates from one
	// sample to the next.
	StepDamping float64
}

// Trend is the smoothed state of a quantity. The zero value is ready for the first
// sample. It is not safe for concurrent use.
type Trend struct {
	level       float64
	slope       float64
	deviation   float64
	sampledAt   time.Time
	initialized bool
}

// Initialized reports whether the trend has a sample.
func (t *Trend) Initialized() bool { return t.initialized }

// Level returns the smoothed quantity.
func (t *Trend) Level() float64 { return t.level }

// Slope returns the smoothed change of the quantity per second.
func (t *Trend) Slope() float64 { return t.slope }

// Deviation returns the smoothed absolute difference between sample and forecast.
func (t *Trend) Deviation() float64 { return t.deviation }

// Add adds a sample and returns the time since the previous one, in seconds. It
// returns 0 for the first sample, and for a sample that is not later than the
// previous one, which it ignores. Unit is the unit of cfg's time constants.
func (t *Trend) Add(now time.Time, value float64, unit time.Duration, cfg *Config) float64 {
	if !t.initialized {
		*t = Trend{level: value, sampledAt: now, initialized: true}
		return 0
	}
	dt := now.Sub(t.sampledAt).Seconds()
	if dt <= 0 {
		return 0
	}
	t.sampledAt = now
	forecast := t.level + cfg.StepDamping*t.slope*dt
	t.deviation += Gain(dt, cfg.DeviationTimeConstant, unit) * (math.Abs(value-forecast) - t.deviation)
	level := forecast + Gain(dt, cfg.LevelTimeConstant, unit)*(value-forecast)
	t.slope += Gain(dt, cfg.SlopeTimeConstant, unit) * ((level-t.level)/dt - t.slope)
	t.level = level
	return dt
}

// Gain returns the weight of a new sample that comes dt seconds after the previous
// one; timeConstant is a multiple of unit.
func Gain(dt, timeConstant float64, unit time.Duration) float64 {
	return 1 - math.Exp(-dt/(timeConstant*unit.Seconds()))
}
