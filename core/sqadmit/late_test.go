package sqadmit

import (
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadRun offers requests that run for a second each in a pool with room
// for ten, and returns how long those that were refused had waited, and how
// many ran. Every request wants its first token within a second and its answer
// within five.
func overloadRun(perSecond int, length time.Duration) (waits []time.Duration, ran int) {
	f := NewFairQueue(Config{PoolLimits: NewPoolLimits(PoolLimitsConfig{MaxRunning: 10, MaxPrefillTokens: 1_000_000})})
	now := time.Unix(1000, 0)
	offered := map[uint64]time.Time{}
	ends := map[uint64]time.Time{}
	take := func(v Decision) {
		switch v.Action() {
		case Run:
			ends[v.ID()] = now.Add(time.Second)
			ran++
		case Refuse:
			waits = append(waits, now.Sub(offered[v.ID()]))
		}
	}
	id, gap, next := uint64(0), time.Second/time.Duration(perSecond), now
	for end := now.Add(length); now.Before(end); now = now.Add(time.Millisecond) {
		for done, at := range ends {
			if !at.After(now) {
				delete(ends, done)
				f.Finish(now, done, NewUsage(UsageConfig{PromptTokens: 10, OutputTokens: 10}))
			}
		}
		for !next.After(now) {
			id++
			offered[id] = now
			w := NewRequest(RequestConfig{
				ID: id, Team: "a", Pool: "m", PromptTokens: 10, OutputTokens: 10, PredictedDuration: time.Second,
				StartBy: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
			})
			take(f.Offer(now, &w))
			next = next.Add(gap)
		}
		for v, ok := f.Next(now); ok; v, ok = f.Next(now) {
			take(v)
		}
	}
	return waits, ran
}

// At three times what fits, half of the refusals come at once, and the pool is
// kept busy.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	waits, ran := overloadRun(30, 20*time.Second)
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	assert.Assert(t, len(waits) > 300, "%d refused", len(waits))
	assert.Equal(t, waits[len(waits)/2], time.Duration(0))
	assert.Assert(t, ran >= 190, "%d of 200 possible ran", ran)
}

// Below what fits nothing is refused.
func TestNoRefusalBelowCapacity(t *testing.T) {
	waits, _ := overloadRun(9, 20*time.Second)
	assert.Equal(t, len(waits), 0)
}

// A request that will be late for its first token, but not for its deadline,
// waits on when nothing more arrives.
func TestLateRequestWaitsWhenArrivalsStop(t *testing.T) {
	f := NewFairQueue(Config{})
	fl := &flow{}
	now := time.Unix(1000, 0)
	fl.team = &team{cfg: TeamConfig{Weight: 1}}
	fl.pool = &pool{speed: speed{cost: 10, busy: 1}}
	fl.arrivals.add(now, 100)
	assert.Assert(t, f.waitBehind(now, fl, 1) > 1e6, "work arrives faster than it is done")
	later := now.Add(30 * time.Second)
	assert.Assert(t, f.waitBehind(later, fl, 1) < 1.1, "nothing has arrived for long")
}
