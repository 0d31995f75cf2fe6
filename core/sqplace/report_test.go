package sqplace

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqattempt"
)

// TestAbsurdLoadReport guards against figures of an endpoint that overflow its expected wait,
// so that it gets all requests.
func TestAbsurdLoadReport(t *testing.T) {
	for _, running := range []int{1 << 40, 1e12, 1e15, 1e18, math.MaxInt} {
		p := New(Config{Zone: "a", Seed: 1})
		p.SetServices(testServices(t))
		p.SetEndpoints([]Endpoint{engineEndpoint("d1", Decode), engineEndpoint("d2", Decode)})
		p.RecordLoadReport(start, "d1", sqattempt.LoadReport{Running: running, Queued: running, Slots: 16})
		for range 20 {
			c := p.Choose(start, engineQuery("s", 1000, 100))
			assert.Assert(t, c.Endpoint != nil && c.Endpoint.ID() == "d2", "%d", running)
		}
	}
}
