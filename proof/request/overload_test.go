package request

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
)

const (
	// overloadTime is the length of each run.
	overloadTime = 8 * time.Second
	// overloadDeadline is that of each request.
	overloadDeadline = 4 * time.Second
	// overloadFactor is the load at overload, in loads at capacity.
	overloadFactor = 3
)

// smallCapacity is a deployment that some 50 short answers a second fill.
func smallCapacity() sqcluster.Config {
	return sqcluster.Config{
		Fleet: sqfleet.Settings{
			Fleet:   sqfleet.FleetSettings{Scale: 0.1},
			Engines: sqfleet.EngineSettings{Count: 3, StepMillis: 60, MaxBatch: 4},
		},
		Declarations:  sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond, Deadline: overloadDeadline},
		ControlPolicy: map[string]string{"roles": "static", "stock": "off"},
	}
}

// TestOverloadRefusesEarly sends three times what fits. Requests that can't be
// in time have to be refused when that is known, long before their deadline:
// a caller who hears it late has no time left to go elsewhere.
func TestOverloadRefusesEarly(t *testing.T) {
	c := start(t, smallCapacity())
	r := overloadRun(t, c, 150)
	refused := r.Count("chat notRun")
	assert.Assert(t, refused > 100, "only %d refused", refused)
	median := time.Duration(r.RefusalLatency.P50 * float64(time.Millisecond))
	assert.Assert(t, median < overloadDeadline/4, "half of the refusals took longer than %v", median)
}

// BenchmarkOverload finds the load at which goodput is highest, and compares it
// with the goodput at three times that load. Callers do not come back after a
// refusal.
func BenchmarkOverload(b *testing.B) {
	c := startAlone(b, smallCapacity())
	for b.Loop() {
		best := overloadRun(b, c, 20)
		rate := 20.0
		for _, r := range []float64{30, 40, 50, 60} {
			if m := overloadRun(b, c, r); m.Goodput > best.Goodput {
				best, rate = m, r
			}
		}
		over := overloadRun(b, c, overloadFactor*rate)
		b.ReportMetric(best.Goodput, "goodputAtCapacity/s")
		b.ReportMetric(over.Goodput/best.Goodput, "goodputAt3xToCapacity")
		b.ReportMetric(over.RefusalLatency.P50, "refusedP50-ms")
		b.ReportMetric(over.WorstFairRatio, "worstTeamAt3x")
	}
}

func overloadRun(b testing.TB, c *sqcluster.Cluster, rate float64) *sqmix.Report {
	b.Helper()
	shape := sqmix.Shape{PromptMin: 10, PromptMax: 60, AnswerMin: 20, AnswerMax: 60}
	r, err := sqmix.Run(context.Background(), sqmix.Config{
		Seed: 61, Entries: seeds(c), Zones: sqcluster.DefaultZones(), Teams: mixTeams(), Model: sqcluster.ModelName,
		Duration: overloadTime, ChatRate: rate, LongPrompt: shape, LongAnswer: shape,
		FirstTokenTarget: time.Second, TokenIntervalTarget: 50 * time.Millisecond, Deadline: overloadDeadline,
	})
	assert.NilError(b, err)
	b.Logf("%.0f/s: %.1f on time a second, %+v, refused at the median in %.1f ms, p90 %.1f", rate, r.Goodput, r.Outcomes, r.RefusalLatency.P50, r.RefusalLatency.P90)
	return r
}
