package sqquota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSumKeepsToQuota fails if all gateways together use more than the quota allows in some
// window, with all faults, at any number of gateways and 7.5 times the demand, or if they use
// far less than the quota without faults. It checks a lowered quota too.
func TestSumKeepsToQuota(t *testing.T) {
	for _, gateways := range []int{1, 7, 84} {
		for _, rate := range []float64{100_000, 700_000} {
			for _, b := range []Bounds{modelBounds, {Window: modelBounds.Window, Overrun: modelBounds.Overrun}, tightBounds} {
				for seed := range uint64(3) {
					m := newModel(seed, gateways, b, Quota{RatePerS: rate, Burst: rate}, 7.5)
					m.faults = seed > 0
					start := m.now
					m.run(30 * time.Second)
					got, limit := m.worst(start), allowed(b, m.quota)
					assert.Assert(t, got <= limit, "%d gateways, rate %v, slack %v, seed %d: %d in a window, %d allowed", gateways, rate, b.Slack, seed, got, limit)
					if !m.faults {
						assert.Assert(t, float64(got) >= 0.85*rate*8, "%d gateways, rate %v: at most %d in a window", gateways, rate, got)
					}
					m.quota = Quota{RatePerS: rate / 4, Burst: rate / 4}
					if m.issuer != nil {
						m.issuer.SetQuotas(m.now, map[string]Quota{"t": m.quota})
					}
					lowered := m.now
					m.run(20 * time.Second)
					got, limit = m.worst(lowered.Add(modelContact)), allowed(b, m.quota)
					assert.Assert(t, got <= limit, "%d gateways, lowered rate %v, slack %v, seed %d: %d in a window, %d allowed", gateways, rate, b.Slack, seed, got, limit)
				}
			}
		}
	}
}

// TestReservesKeepToSlack fails if all reserves together hold more than their part of the slack
// while gateways come and go and heartbeats fail.
func TestReservesKeepToSlack(t *testing.T) {
	for _, gateways := range []int{9, 84} {
		for seed := range uint64(4) {
			m := newModel(seed, gateways, modelBounds, Quota{RatePerS: 700_000, Burst: 700_000}, 0.2)
			m.faults = true
			m.run(60 * time.Second)
			size := int64(m.bounds.reserve(m.quota))
			assert.Assert(t, m.mostReserved <= size, "%d gateways, seed %d: reserves of %d, %d allowed", gateways, seed, m.mostReserved, size)
			assert.Assert(t, m.mostReserved > size/2, "%d gateways, seed %d: reserves of %d only", gateways, seed, m.mostReserved)
		}
	}
}

// TestModelCatchesFullBuckets fails if the model does not detect holders that start with full
// buckets.
func TestModelCatchesFullBuckets(t *testing.T) {
	caught := 0
	for seed := range uint64(4) {
		m := newModel(seed, 7, tightBounds, Quota{RatePerS: 700_000, Burst: 700_000}, 7.5)
		m.fullBuckets, m.faults = true, true
		start := m.now
		m.run(24 * time.Second)
		if m.worst(start) > allowed(m.bounds, m.quota) {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// TestCalmTeamIsNotRefused fails if a team that asks for half of its rate is refused, whether its
// callers are at one gateway or at all, also after the death of the holder.
func TestCalmTeamIsNotRefused(t *testing.T) {
	for _, rate := range []float64{100_000, 300_000, 2_000_000} {
		for _, oneGateway := range []bool{false, true} {
			m := newModel(1, 84, modelBounds, Quota{RatePerS: rate, Burst: rate}, 0.5)
			m.oneGateway = oneGateway
			m.run(20 * time.Second)
			m.issuer, m.electAt = nil, m.now.Add(700*time.Millisecond)
			m.run(15 * time.Second)
			assert.Equal(t, m.refused+m.unanswered, 0, "rate %v, at one gateway: %v: %d refused, %d unanswered", rate, oneGateway, m.refused, m.unanswered)
			t.Logf("rate %v, at one gateway: %v: %d calls for %d requests", rate, oneGateway, m.askCalls, len(m.sent))
		}
	}
}
