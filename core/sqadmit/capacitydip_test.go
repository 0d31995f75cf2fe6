package sqadmit

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runWithCapacity offers requests that run for one second and have 15 seconds to
// their deadlines to a pool whose limit of running requests is maxRunning(t)
// after t. It returns how long each refused request had waited.
func runWithCapacity(requestsPerSecond int, duration time.Duration, maxRunning func(time.Duration) int) []time.Duration {
	f := newTestQueue(Config{}, maxRunning(0), unbounded("a", 1))
	offeredAt, endTimes := map[uint64]time.Time{}, map[uint64]time.Time{}
	var refusedWaits []time.Duration
	now := start
	record := func(d Decision) {
		switch d.Action() {
		case Run:
			endTimes[d.ID()] = now.Add(time.Second)
		case Refuse:
			refusedWaits = append(refusedWaits, now.Sub(offeredAt[d.ID()]))
		}
	}
	nextOffer := now
	for ; now.Sub(start) < duration; now = now.Add(5 * time.Millisecond) {
		limits := PoolLimitsConfig{MaxRunning: maxRunning(now.Sub(start)), MaxPrefillTokens: 1 << 30}
		f.SetPoolLimits(now, "m", NewPoolLimits(limits))
		for id, at := range endTimes {
			if !at.After(now) {
				delete(endTimes, id)
				f.Finish(now, id, NewUsage(UsageConfig{PromptTokens: 10, OutputTokens: 10}))
			}
		}
		for ; !nextOffer.After(now); nextOffer = nextOffer.Add(time.Second / time.Duration(requestsPerSecond)) {
			id := uint64(len(offeredAt) + 1)
			offeredAt[id] = now
			record(offer(f, now, RequestConfig{ID: id, Team: "a", PromptTokens: 10, OutputTokens: 10,
				ExpectedDuration: time.Second, StartBy: now.Add(time.Second), Deadline: now.Add(15 * time.Second)}))
		}
		for d, ok := f.Next(now); ok; d, ok = f.Next(now) {
			record(d)
		}
	}
	return refusedWaits
}

// TestShortDipOfCapacityRefusesNothing guards against refusing requests with 15 s
// left as soon as the service rate, measured while most engines change their
// roles, is below the arrival rate.
func TestShortDipOfCapacityRefusesNothing(t *testing.T) {
	for _, dip := range []time.Duration{time.Second, 3 * time.Second} {
		refusedWaits := runWithCapacity(7, 40*time.Second, func(at time.Duration) int {
			if at >= 10*time.Second && at < 10*time.Second+dip {
				return 1
			}
			return 10
		})
		assert.Check(t, len(refusedWaits) == 0, "dip of %v: refused after %v", dip, refusedWaits)
	}
}

// TestSlowStartRefusesNothing guards against taking the low capacity of a pool
// whose engines become ready one after another for a lasting overload.
func TestSlowStartRefusesNothing(t *testing.T) {
	refusedWaits := runWithCapacity(7, 20*time.Second, func(at time.Duration) int {
		switch {
		case at < 500*time.Millisecond:
			return 0
		case at < 2500*time.Millisecond:
			return 2
		}
		return 10
	})
	assert.Equal(t, len(refusedWaits), 0, "refused after %v", refusedWaits)
}

// TestLastingOverloadIsRefusedOnArrival guards against queueing requests with long
// deadlines that a pool at three times its capacity cannot serve.
func TestLastingOverloadIsRefusedOnArrival(t *testing.T) {
	refusedWaits := runWithCapacity(30, 40*time.Second, func(time.Duration) int { return 10 })
	slices.Sort(refusedWaits)
	assert.Assert(t, len(refusedWaits) > 600, "only %d requests were refused", len(refusedWaits))
	assert.Equal(t, refusedWaits[len(refusedWaits)*3/4], time.Duration(0))
}
