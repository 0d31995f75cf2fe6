package sqcontrol

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential smoothing of rates.
const rateTimeConstant = 3 * time.Second

// smoothedRate turns a cumulative count into an exponentially smoothed rate.
type smoothedRate struct {
	lastCount uint64
	// rate is in units per second.
	rate float64
}

// update returns the rate after a new count, dt after the previous one. The first
// count of a run, like a count that decreased, only sets a new starting point.
func (m smoothedRate) update(count uint64, dt time.Duration, first bool) smoothedRate {
	if first || count < m.lastCount || dt <= 0 {
		return smoothedRate{lastCount: count, rate: m.rate}
	}
	observed := float64(count-m.lastCount) / dt.Seconds()
	weight := 1 - math.Exp(-dt.Seconds()/rateTimeConstant.Seconds())
	return smoothedRate{lastCount: count, rate: m.rate + weight*(observed-m.rate)}
}

// modelDemand is the demand for one model at one entry.
type modelDemand struct {
	prefill, decode, onDemand smoothedRate
	prefillOutstanding        float64
	decodeOutstanding         float64
	enginePrefillRate         float64
	engineDecodeRate          float64
}
