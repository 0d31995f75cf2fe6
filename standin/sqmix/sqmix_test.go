package sqmix

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testConfig() Config {
	return Config{
		Seed: 7, Duration: 10 * time.Second, ChatRate: 50, BookingRate: 5, Entries: []string{"127.0.0.1:1"},
		Teams: []Team{{Name: "large", Share: 4, Demand: 4}, {Name: "small", Share: 1, Demand: 1}},
	}.withDefaults()
}

func TestPlanIsDeterministic(t *testing.T) {
	a, b := planArrivals(testConfig()), planArrivals(testConfig())
	assert.Equal(t, len(a), len(b))
	for i := range a {
		assert.Equal(t, a[i].offset, b[i].offset)
		assert.DeepEqual(t, a[i].messages, b[i].messages)
	}
	assert.Assert(t, math.Abs(float64(len(a))-550) < 100, "%d arrivals", len(a))
}

func TestLongPromptShareOscillates(t *testing.T) {
	cfg := testConfig()
	p := &planner{cfg: cfg}
	assert.Equal(t, math.Round(100*p.longPromptShare(0)), 15.0)
	assert.Equal(t, math.Round(100*p.longPromptShare(cfg.MixPeriod/2)), 85.0)
}

func TestFairRatios(t *testing.T) {
	tests := []struct {
		name  string
		teams []TeamReport
		want  []float64
	}{
		{"all served", []TeamReport{{weight: 1, demandTokens: 10, onTimeTokens: 10}, {weight: 1, demandTokens: 30, onTimeTokens: 30}}, []float64{1, 1}},
		{"a small team gets half its fair share", []TeamReport{{weight: 1, demandTokens: 10, onTimeTokens: 5}, {weight: 1, demandTokens: 90, onTimeTokens: 45}}, []float64{0.5, 1.125}},
		{"unused shares go to the other team", []TeamReport{{weight: 3, demandTokens: 10, onTimeTokens: 10}, {weight: 1, demandTokens: 90, onTimeTokens: 30}}, []float64{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			setFairRatios(tt.teams)
			for i, team := range tt.teams {
				assert.Assert(t, math.Abs(team.FairRatio-tt.want[i]) < 1e-9, "team %d: %v", i, team.FairRatio)
			}
		})
	}
}
