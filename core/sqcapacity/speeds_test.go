package sqcapacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// TestSlowFleetNeedsMoreEngines fails if the busiest second is planned with the usual speed
// although the engines are slower, or if the slowness counts twice for the decode stage,
// whose measured load contains it.
func TestSlowFleetNeedsMoreEngines(t *testing.T) {
	svc := initialService()
	peak := demandRate{prefillTokens: 9.5 * prefillTokensPerSecond * prefillUtilizationPercent / 100, concurrentDecodes: 40}
	assert.Equal(t, enginesNeeded(peak, svc), 10+5)
	svc.WorkFactors = map[string]float64{}
	for i := range svc.Endpoints {
		svc.WorkFactors[svc.Endpoints[i].ID()] = 2
	}
	assert.Equal(t, enginesNeeded(peak, svc), 19+5)
}

// TestFasterEnginesPrefill fails if slow engines are given the prefill stage while faster
// ones decode, or if fast ones leave it first.
func TestFasterEnginesPrefill(t *testing.T) {
	s := New().service("engines")
	svc := initialService()
	fast, slow := svc.Endpoints[4].ID(), svc.Endpoints[2].ID()
	svc.WorkFactors = map[string]float64{fast: 0.6, slow: 1.6}
	change := func(at float64, stage sqplace.Stage) string {
		engines := append([]sqplace.Endpoint(nil), svc.Endpoints[:6]...)
		return s.pickChanges(start.Add(time.Duration(at)*time.Minute), svc, engines, stage, 1)[0].Endpoint.ID()
	}
	assert.Equal(t, change(0, sqplace.Prefill), fast)
	assert.Equal(t, change(1, sqplace.Decode), slow)
	svc.WorkFactors = nil
	assert.Equal(t, change(2, sqplace.Prefill), svc.Endpoints[0].ID())
}
