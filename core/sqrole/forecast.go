package sqrole

import (
	"math"
	"time"

	"sequoiadock/core/sqtrend"
)

// forecast predicts a quantity from its level and slope. It also tracks the
// typical error of the prediction and the typical size of slower swings.
type forecast struct {
	trend sqtrend.Trend
	// longTermMean is the mean of the level, and swing is the mean absolute
	// deviation of the level from it. Both are exponentially weighted with
	// swingTimeConstant.
	longTermMean float64
	swing        float64
}

// forecastConfig has its time constants in units of the role change time.
var forecastConfig = sqtrend.Config{LevelTimeConstant: 2, SlopeTimeConstant: 6, DeviationTimeConstant: 15, StepDamping: sqtrend.Damping}

// swingTimeConstant is in units of the role change time.
const swingTimeConstant = 60

// add records a sample. The time constants are multiples of roleChangeTime.
func (f *forecast) add(now time.Time, v float64, roleChangeTime time.Duration) {
	if !f.trend.Initialized() {
		f.longTermMean = v
	}
	dt := f.trend.Add(now, v, roleChangeTime, &forecastConfig)
	level := f.trend.Level()
	f.longTermMean += sqtrend.Gain(dt, swingTimeConstant, roleChangeTime) * (level - f.longTermMean)
	f.swing += sqtrend.Gain(dt, swingTimeConstant, roleChangeTime) * (math.Abs(level-f.longTermMean) - f.swing)
}

// uncertainty returns the error to allow for in the forecast: the larger of its
// typical error and swingFactor times the recent swings, which are likely to
// recur.
func (f *forecast) uncertainty() float64 {
	return max(f.trend.Deviation(), swingFactor*f.swing)
}

// swingFactor is the multiple of a typical swing that a split should absorb
// without a role change.
const swingFactor = 1.5

// predict returns the value expected after d; it is never negative.
func (f *forecast) predict(d time.Duration) float64 {
	return max(0, f.trend.Level()+sqtrend.Damping*f.trend.Slope()*d.Seconds())
}
