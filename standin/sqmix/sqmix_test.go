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

func TestSameSeedSameArrivals(t *testing.T) {
	a, b := plan(testConfig()), plan(testConfig())
	assert.Equal(t, len(a), len(b))
	for i := range a {
		assert.Equal(t, a[i].at, b[i].at)
		assert.DeepEqual(t, a[i].messages, b[i].messages)
	}
	assert.Assert(t, math.Abs(float64(len(a))-550) < 100, "%d arrivals", len(a))
}

func TestMixSwings(t *testing.T) {
	cfg := testConfig()
	p := &planner{cfg: cfg}
	assert.Equal(t, math.Round(100*p.readingShare(0)), 15.0)
	assert.Equal(t, math.Round(100*p.readingShare(cfg.MixPeriod/2)), 85.0)
}

func TestFairRatios(t *testing.T) {
	tests := []struct {
		name  string
		teams []TeamReport
		want  []float64
	}{
		{"all served", []TeamReport{{weight: 1, demand: 10, served: 10}, {weight: 1, demand: 30, served: 30}}, []float64{1, 1}},
		{"a small team starves", []TeamReport{{weight: 1, demand: 10, served: 5}, {weight: 1, demand: 90, served: 45}}, []float64{0.5, 1.125}},
		{"unused shares are lent", []TeamReport{{weight: 3, demand: 10, served: 10}, {weight: 1, demand: 90, served: 30}}, []float64{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fairRatios(tt.teams)
			for i, team := range tt.teams {
				assert.Assert(t, math.Abs(team.FairRatio-tt.want[i]) < 1e-9, "team %d: %v", i, team.FairRatio)
			}
		})
	}
}
