package sqcache

import "math"

// decayUnit is the decay that halves the confidence in a copy. The decay of an
// endpoint only grows, so the confidence lost since a copy was recorded follows
// from the difference of two decay values, no matter how many event gaps came
// between.
const decayUnit = 256

// maxDecay is the increase of decay at which all older copies become invalid.
const maxDecay = 16 * decayUnit

// fractionalConfidence holds the confidence that is left after a decay of less
// than decayUnit.
var fractionalConfidence = func() [decayUnit]float64 {
	var f [decayUnit]float64
	for i := range f {
		f[i] = math.Exp2(-float64(i) / decayUnit)
	}
	return f
}()

// confidenceAfter returns the confidence that is left after an increase of
// decay, from 0 to 1.
func confidenceAfter(decay uint32) float64 {
	if decay >= maxDecay {
		return 0
	}
	return fractionalConfidence[decay%decayUnit] / float64(uint(1)<<(decay/decayUnit))
}

// gapDecay returns the increase of decay when events were lost. Each lost event
// removed at most one block, so a few lost events matter little if the endpoint
// holds many blocks; but any of them may have cleared the cache.
func (x *Index) gapDecay(s *endpointState, lost uint64) uint32 {
	remaining := 1 - float64(lost)/float64(max(2*s.validCopies, 2))
	if remaining <= 0 {
		return maxDecay
	}
	remaining *= math.Pow(1-x.cfg.ClearProbability, float64(lost))
	return uint32(min(maxDecay, math.Ceil(-math.Log2(remaining)*decayUnit)))
}
