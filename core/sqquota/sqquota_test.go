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

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestCredits fails if units that are given back are lost in a bucket that lacks them, or are
// credited although the bucket was full meanwhile or an earlier holder may have credited them.
func TestCredits(t *testing.T) {
	s := NewIssuer(at(-100), tightBounds)
	s.SetQuotas(at(0), map[string]Quota{"t": {RatePerS: 1000, Burst: 1000}})
	returned := func(seconds float64, units uint64) {
		s.Exchange(at(seconds), "g/1", []Report{{Team: "t", Returned: units}})
	}
	returned(0, 5000)
	assert.Assert(t, s.Grant(at(0), "t", 1000).Granted)
	assert.Equal(t, s.Grant(at(0.1), "t", 400), Answer{RetryAfter: 300 * time.Millisecond})
	returned(0.1, 5300)
	assert.Assert(t, !s.Grant(at(0.1), "t", 400).Granted, "the bucket was full at 0 s")
	returned(0.9, 5301)
	assert.Assert(t, s.Grant(at(0.9), "t", 900).Granted)
	returned(0.9, 5601)
	assert.Assert(t, s.Grant(at(0.9), "t", 300).Granted, "given back since 0.9 s")
	assert.Equal(t, s.Grant(at(0.9), "t", 1_000_000), Answer{}, "larger than any that is granted")
}

// TestRefusals fails if a gateway does not tell each request of a refused sum its own time, or asks
// again for what the bucket held not enough for.
func TestRefusals(t *testing.T) {
	a := NewAccount(modelBounds)
	a.SetQuotas(map[string]Quota{"t": {RatePerS: 10_000, Burst: 10_000}})
	a.RecordTerm(at(-10), 1)
	assert.Equal(t, a.Batch("t", []uint64{4000, 5000, 3000}), 2)
	// The bucket holds 9,000 - 0.3 s x 10,000 a second.
	assert.Equal(t, a.Fitting("t", []uint64{4000, 5000}, 300*time.Millisecond), 1)
	assert.Equal(t, a.Refuse(at(0), "t", 9000, 300*time.Millisecond), time.Duration(0))
	verdict, retryAfter := a.Charge(at(0.1), "t", 8000)
	assert.Equal(t, verdict, Over)
	assert.Equal(t, retryAfter, 200*time.Millisecond, "8,000 are there after 0.2 s, and the holder is asked again then")
	_, retryAfter = a.Charge(at(0.1), "t", 10_000)
	assert.Equal(t, retryAfter, 300*time.Millisecond)
	_, retryAfter = a.Charge(at(0.1), "t", 1_000_000)
	assert.Equal(t, retryAfter, time.Duration(0), "larger than any that is granted")
	verdict, _ = a.Charge(at(0.3), "t", 8000)
	assert.Equal(t, verdict, Ask)
	assert.Assert(t, MaySpend(at(0), at(0.49)) && !MaySpend(at(0), at(0.5)))
}

// TestSmallerNumberOfGateways fails if a new holder that has not heard of all gateways makes the
// reserves of the others grow.
func TestSmallerNumberOfGateways(t *testing.T) {
	a, _ := benchAccount(at(0))
	size := func() int64 { return a.teams["team-0"].size }
	usual := size()
	a.Apply(at(1), at(1), 2, nil, nil)
	a.SetGateways(at(1), 60)
	assert.Equal(t, size(), usual)
	a.SetGateways(at(1), 90)
	assert.Assert(t, size() < usual)
	a.Apply(at(5), at(5), 2, nil, nil)
	a.SetGateways(at(5.1), 60)
	assert.Equal(t, size(), int64(0), "nothing was heard for 4 s")
}

// TestQuotaThatComesBack fails if a gateway counts returned units from 0 again when a quota is
// removed and declared again: the holder would take them for units that it has credited.
func TestQuotaThatComesBack(t *testing.T) {
	a, quotas := NewAccount(modelBounds), map[string]Quota{"t": {RatePerS: 1000, Burst: 1000}}
	a.SetQuotas(quotas)
	a.GiveBack("t", 500)
	a.SetQuotas(nil)
	a.SetQuotas(quotas)
	a.GiveBack("t", 200)
	assert.DeepEqual(t, a.Reports(), []Report{{Team: "t", Returned: 700}})
}

// TestCheckChargesNothing guards against a question about the quota that uses the reserve.
func TestCheckChargesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(Bounds{Window: 8 * time.Second, Overrun: 0.1, Slack: 4000})
	a.SetQuotas(map[string]Quota{"t": {RatePerS: 1000, Burst: 1000}})
	a.teams["t"].reserve, a.heardAt = 500, now
	for _, units := range []uint64{400, 501, 400} {
		want, _ := a.Check(now, "t", units)
		assert.Equal(t, want, map[bool]Verdict{true: Charged, false: Ask}[units <= 500])
		assert.Equal(t, a.teams["t"].reserve, int64(500))
	}
	verdict, _ := a.Charge(now, "t", 400)
	assert.Equal(t, verdict, Charged)
	assert.Equal(t, a.teams["t"].reserve, int64(100))
}
