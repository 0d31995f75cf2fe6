package sqtrend

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTrendConverges checks that the level converges to a constant quantity at any
// spacing of the samples, and that slope and deviation fall towards 0.
func TestTrendConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			LevelTimeConstant: rapid.Float64Range(0.2, 3).Draw(rt, "level"), SlopeTimeConstant: rapid.Float64Range(1, 6).Draw(rt, "slope"),
			DeviationTimeConstant: 3, StepDamping: rapid.Float64Range(0, 0.5).Draw(rt, "damping"),
		}
		var trend Trend
		now := time.Unix(1000, 0)
		assert.Equal(rt, trend.Add(now, 7, time.Second, &cfg), 0.0)
		want := rapid.Float64Range(0, 100).Draw(rt, "want")
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(100, 1000).Draw(rt, "gap")) * time.Millisecond)
			trend.Add(now, want, time.Second, &cfg)
		}
		assert.Assert(rt, math.Abs(trend.Level()-want) < 0.1 && math.Abs(trend.Slope()) < 0.1 && trend.Deviation() < 0.5, "%+v", trend)
		assert.Equal(rt, trend.Add(now, 0, time.Second, &cfg), 0.0, "no time has passed")
	})
}
