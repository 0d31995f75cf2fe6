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
	// overloadRunTime is the length of each run.
	overloadRunTime = 8 * time.Second
	// overloadDeadline is the deadline of each request.
	overloadDeadline = 4 * time.Second
	// overloadFactor is the request rate at overload divided by the rate at capacity.
	overloadFactor = 3
)

// smallCapacityConfig configures a deployment whose capacity is about 50 short
// answers per second.
func smallCapacityConfig() sqcluster.Config {
	return sqcluster.Config{
		Fleet: sqfleet.Settings{
			Fleet:   sqfleet.FleetSettings{Scale: 0.1},
			Engines: sqfleet.EngineSettings{Count: 3, StepMillis: 60, MaxBatch: 4},
		},
		Declarations:  sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond, Deadline: overloadDeadline},
		ControlPolicy: map[string]string{"roles": "static", "stock": "off"},
	}
}

// TestOverloadRefusesEarly sends three times the requests that the deployment can
// serve. Requests that cannot meet their deadline have to be refused as soon as that
// is known, long before the deadline: a caller that is refused late has no time left
// to try elsewhere.
func TestOverloadRefusesEarly(t *testing.T) {
	c := start(t, smallCapacityConfig())
	r := runLoad(t, c, 150)
	refused := r.Count("chat notRun")
	assert.Assert(t, refused > 100, "only %d refused", refused)
	median := time.Duration(r.RefusalLatency.P50 * float64(time.Millisecond))
	assert.Assert(t, median < overloadDeadline/4, "half of the refusals took longer than %v", median)
}

// BenchmarkOverload finds the request rate with the highest goodput and compares
// that goodput with the one at three times the rate. Callers do not resend refused
// requests.
func BenchmarkOverload(b *testing.B) {
	c := startWithoutLimit(b, smallCapacityConfig())
	for b.Loop() {
		best := runLoad(b, c, 20)
		rate := 20.0
		for _, r := range []float64{30, 40, 50, 60} {
			if m := runLoad(b, c, r); m.Goodput > best.Goodput {
				best, rate = m, r
			}
		}
		over := runLoad(b, c, overloadFactor*rate)
		b.ReportMetric(best.Goodput, "goodputAtCapacity/s")
		b.ReportMetric(over.Goodput/best.Goodput, "goodputAt3xToCapacity")
		b.ReportMetric(over.RefusalLatency.P50, "refusedP50-ms")
		b.ReportMetric(over.WorstFairRatio, "worstTeamAt3x")
	}
}

func runLoad(b testing.TB, c *sqcluster.Cluster, rate float64) *sqmix.Report {
	b.Helper()
	shape := sqmix.Shape{PromptMin: 10, PromptMax: 60, AnswerMin: 20, AnswerMax: 60}
	r, err := sqmix.Run(context.Background(), sqmix.Config{
		Seed: 61, Entries: entryAddresses(c), Zones: sqcluster.DefaultZones(), Teams: loadTeams(), Model: sqcluster.ModelName,
		Duration: overloadRunTime, ChatRate: rate, LongPrompt: shape, LongAnswer: shape,
		FirstTokenTarget: time.Second, TokenIntervalTarget: 50 * time.Millisecond, Deadline: overloadDeadline,
	})
	assert.NilError(b, err)
	b.Logf("%.0f requests/s: %.1f/s on time, %+v, refused after p50 %.1f ms, p90 %.1f ms", rate, r.Goodput, r.Outcomes, r.RefusalLatency.P50, r.RefusalLatency.P90)
	return r
}
