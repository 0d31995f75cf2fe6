package sqadmit

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runOverload offers requests that run for one second each to a pool that runs
// ten at a time. It returns how long each refused request had waited and how many
// requests ran. Every request has to start within one second to meet its first
// token objective and has a deadline of five seconds.
func runOverload(requestsPerSecond int, duration time.Duration) (refusedWaits []time.Duration, ran int) {
	f := NewFairQueue(Config{PoolLimits: NewPoolLimits(PoolLimitsConfig{MaxRunning: 10, MaxPrefillTokens: 1_000_000})})
	now := time.Unix(1000, 0)
	offeredAt := map[uint64]time.Time{}
	endTimes := map[uint64]time.Time{}
	record := func(d Decision) {
		switch d.Action() {
		case Run:
			endTimes[d.ID()] = now.Add(time.Second)
			ran++
		case Refuse:
			refusedWaits = append(refusedWaits, now.Sub(offeredAt[d.ID()]))
		}
	}
	id, interval, nextOffer := uint64(0), time.Second/time.Duration(requestsPerSecond), now
	for end := now.Add(duration); now.Before(end); now = now.Add(time.Millisecond) {
		for done, at := range endTimes {
			if !at.After(now) {
				delete(endTimes, done)
				f.Finish(now, done, NewUsage(UsageConfig{PromptTokens: 10, OutputTokens: 10}))
			}
		}
		for !nextOffer.After(now) {
			id++
			offeredAt[id] = now
			req := NewRequest(RequestConfig{
				ID: id, Team: "a", Pool: "m", PromptTokens: 10, OutputTokens: 10, ExpectedDuration: time.Second,
				StartBy: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
			})
			record(f.Offer(now, &req))
			nextOffer = nextOffer.Add(interval)
		}
		for d, ok := f.Next(now); ok; d, ok = f.Next(now) {
			record(d)
		}
	}
	return refusedWaits, ran
}

// TestOverloadIsRefusedImmediately checks that at three times the capacity at
// least half of the refused requests are refused on arrival and the pool stays
// busy.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	refusedWaits, ran := runOverload(30, 20*time.Second)
	sort.Slice(refusedWaits, func(i, j int) bool { return refusedWaits[i] < refusedWaits[j] })
	assert.Assert(t, len(refusedWaits) > 300, "only %d requests were refused", len(refusedWaits))
	assert.Equal(t, refusedWaits[len(refusedWaits)/2], time.Duration(0))
	assert.Assert(t, ran >= 190, "only %d of 200 possible requests ran", ran)
}

// TestNoRefusalBelowCapacity checks that no request is refused below capacity.
func TestNoRefusalBelowCapacity(t *testing.T) {
	refusedWaits, _ := runOverload(9, 20*time.Second)
	assert.Equal(t, len(refusedWaits), 0)
}

// TestLateRequestWaitsWhenArrivalsStop checks that a request that is late for its
// first token, but not for its deadline, is expected to wait only for its queue
// once no more requests arrive.
func TestLateRequestWaitsWhenArrivalsStop(t *testing.T) {
	f := NewFairQueue(Config{})
	fl := &flow{}
	now := time.Unix(1000, 0)
	fl.team = &team{cfg: TeamConfig{Weight: 1}}
	fl.pool = &pool{serviceRate: serviceRate{cost: 10, busySeconds: 1}}
	fl.arrivalRate.add(now, 100)
	assert.Assert(t, f.drainWait(now, fl, 1) > 1e6, "requests arrive faster than the pool serves them")
	later := now.Add(30 * time.Second)
	assert.Assert(t, f.drainWait(later, fl, 1) < 1.1, "no request has arrived for 30 s")
}
