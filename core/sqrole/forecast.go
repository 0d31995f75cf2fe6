package sqrole

import (
	"math"
	"time"

	"sequoiadock/core/sqtrend"
)

// forecast follows a level and its slope, how far off it usually is, and how
// wide its swings are.
type forecast struct {
	trend sqtrend.Trend
	// mean and spread are those of the last swings.
	mean   float64
	spread float64
}

// forecastMemory is in role changes.
var forecastMemory = sqtrend.Config{LevelTimeConstant: 2, SlopeTimeConstant: 6, DeviationTimeConstant: 15, StepDamping: sqtrend.Damping}

// spreadMemory is that of the last swings, in role changes.
const spreadMemory = 60

// add takes a sample. Change is the time that a role change takes.
func (f *forecast) add(now time.Time, v float64, change time.Duration) {
	if !f.trend.Initialized() {
		f.mean = v
	}
	dt := f.trend.Add(now, v, change, &forecastMemory)
	level := f.trend.Level()
	f.mean += sqtrend.Gain(dt, spreadMemory, change) * (level - f.mean)
	f.spread += sqtrend.Gain(dt, spreadMemory, change) * (math.Abs(level-f.mean) - f.spread)
}

// usual returns how far off the forecast may well be: by its usual error, and by
// part of the swings of the last while, which come again.
func (f *forecast) usual() float64 {
	return max(f.trend.Deviation(), spreadPart*f.spread)
}

// spreadPart is the part of a usual swing that a split should bear without a
// change.
const spreadPart = 1.5

// ahead returns the value expected after a while, never below 0.
func (f *forecast) ahead(d time.Duration) float64 {
	return max(0, f.trend.Level()+sqtrend.Damping*f.trend.Slope()*d.Seconds())
}
