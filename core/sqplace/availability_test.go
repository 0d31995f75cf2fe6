package sqplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalsEnd checks that an endpoint that refuses requests gets none until its time
// has passed, also if it is not listed for a moment, and that a shorter time does not
// replace a longer one.
func TestRefusalsEnd(t *testing.T) {
	p := New(Config{Zone: "a", Seed: 1})
	list := []Endpoint{NewEndpoint(EndpointConfig{ID: "i1", Service: "plain", Zone: "a"})}
	p.SetEndpoints(list)
	now := time.Unix(1000, 0)
	q := &Query{Service: "plain", TimeLeft: time.Minute}
	assert.Assert(t, p.RecordRefusal(now, "i1", 4*time.Second))
	assert.Assert(t, !p.RecordRefusal(now, "i1", time.Second), "it refused already")
	p.SetEndpoints(nil)
	p.SetEndpoints(list)
	later := now.Add(4*time.Second - 1)
	assert.Assert(t, p.Choose(later, q).Endpoint == nil)
	assert.Assert(t, !p.AdmitRelease(later, "i1") && !p.Admit(later, "i1"))
	assert.Equal(t, len(p.EndRefusals(later)), 0)
	now = now.Add(4 * time.Second)
	assert.Assert(t, p.Choose(now, q).Endpoint != nil)
	assert.DeepEqual(t, p.EndRefusals(now), []string{"i1"})
	assert.Assert(t, p.Admit(now, "i1") && !p.Admit(now, "i2"))
}

// TestRefusalTimeIsLimited checks that a very long time of one endpoint is cut.
func TestRefusalTimeIsLimited(t *testing.T) {
	p := New(Config{})
	now := time.Unix(1000, 0)
	p.RecordRefusal(now, "i1", 24*time.Hour)
	assert.Assert(t, !p.AdmitRelease(now.Add(maxRefusalTime-1), "i1"))
	assert.Assert(t, p.AdmitRelease(now.Add(maxRefusalTime), "i1"))
}

// TestRetryAfter checks that callers return when the first endpoint takes requests again,
// spread over some time, and that endpoints that are about to stop do not count.
func TestRetryAfter(t *testing.T) {
	p := New(Config{Seed: 7})
	var list []Endpoint
	for _, id := range []string{"i1", "i2", "i3"} {
		list = append(list, NewEndpoint(EndpointConfig{ID: id, Service: "plain"}))
	}
	p.SetEndpoints(list)
	now := time.Unix(1000, 0)
	p.RecordRefusal(now, "i1", 8*time.Second)
	p.RecordRefusal(now, "i2", 6*time.Second)
	assert.Equal(t, p.RetryAfter(now, "plain"), time.Duration(0), "i3 takes requests")
	assert.Equal(t, p.RetryAfter(now, "other"), time.Duration(0))
	p.RecordLeaving(now, "i3")
	lowest, highest := time.Hour, time.Duration(0)
	for range 1000 {
		wait := p.RetryAfter(now, "plain")
		lowest, highest = min(lowest, wait), max(highest, wait)
	}
	assert.Assert(t, lowest >= 6*time.Second && lowest < 6100*time.Millisecond, lowest)
	assert.Assert(t, highest < 9*time.Second && highest > 8900*time.Millisecond, highest)
}
