package sqstock

import (
	"time"

	"sequoiadock/core/sqtrend"
)

// needMemory is in arrival delays.
var needMemory = sqtrend.Config{LevelTimeConstant: 0.4, SlopeTimeConstant: 1, DeviationTimeConstant: 3, StepDamping: 1}

// ahead returns the need after the arrival delay. A falling need is not run
// ahead of: engines are given back only once they are idle.
func ahead(t *sqtrend.Trend, d time.Duration) float64 {
	return max(0, t.Level()+sqtrend.Damping*max(0, t.Slope())*d.Seconds())
}

// peak remembers the greatest need of the last while, in a few steps.
type peak struct {
	steps [peakSteps]carry
	step  int64
}

// peakSteps is the number of steps that the release delay is divided into.
const peakSteps = 8

// hold adds a need and returns the greatest of the delay.
func (p *peak) hold(now time.Time, delay time.Duration, c carry) carry {
	step := now.UnixNano() / max(1, int64(delay)/peakSteps)
	if p.step == 0 || step-p.step > peakSteps {
		p.step = step - peakSteps
	}
	for p.step < step {
		p.step++
		p.steps[p.step%peakSteps] = carry{}
	}
	i := step % peakSteps
	p.steps[i] = p.steps[i].greatest(c)
	all := c
	for _, s := range p.steps {
		all = all.greatest(s)
	}
	return all
}
