package sqcache

import "math"

// Doubt counts in halvings of trust, doubtUnit to each. It only rises, so that
// what a copy has lost since it was learned is the difference of two numbers,
// whatever gaps came between.
const doubtUnit = 256

// maxDoubt is the rise after which nothing learned before is believed.
const maxDoubt = 16 * doubtUnit

// fractions holds the trust that is left after a part of a halving.
var fractions = func() [doubtUnit]float64 {
	var f [doubtUnit]float64
	for i := range f {
		f[i] = math.Exp2(-float64(i) / doubtUnit)
	}
	return f
}()

// trustAfter returns the trust that is left after a rise of doubt.
func trustAfter(rise uint32) float64 {
	if rise >= maxDoubt {
		return 0
	}
	return fractions[rise%doubtUnit] / float64(uint(1)<<(rise/doubtUnit))
}

// gapDoubt returns by how much the doubt rises when events were lost. A lost
// event has removed one piece at most, so that a few lost among many pieces say
// little; but any of them may have cleared the cache.
func (x *Index) gapDoubt(s *source, lost uint64) uint32 {
	left := 1 - float64(lost)/float64(max(2*s.held, 2))
	if left <= 0 {
		return maxDoubt
	}
	left *= math.Pow(1-x.cfg.ClearProbability, float64(lost))
	return uint32(min(maxDoubt, math.Ceil(-math.Log2(left)*doubtUnit)))
}
