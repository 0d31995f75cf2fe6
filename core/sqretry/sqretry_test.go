package sqretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var cfg = Config{Ratio: 0.2, ExtraRetries: 56, Window: 10 * time.Second}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// TestSharedBudget plays gateways that send again whenever they may, and wants
// their sum within the ratio and the constant in every sliding window.
func TestSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 12).Draw(t, "gateways")
		perTick := rapid.IntRange(0, 6).Draw(t, "requests in each tenth of a second")
		budgets := make([]*Budget, gateways)
		for i := range budgets {
			budgets[i] = New(at(-time.Minute), cfg)
			budgets[i].SetGateways(gateways)
		}
		const ticks, window = 300, 100
		requests, extras := make([]int, ticks), make([]int, ticks)
		for tick := range ticks {
			now := at(time.Duration(tick) * 100 * time.Millisecond)
			for _, b := range budgets {
				for range perTick {
					b.RecordRequest(now, "s")
					requests[tick]++
				}
				for b.AllowRetry(now, "s") {
					extras[tick]++
				}
			}
		}
		for from := 0; from+window <= ticks; from += 10 {
			sumR, sumE := 0, 0
			for i := from; i < from+window; i++ {
				sumR += requests[i]
				sumE += extras[i]
			}
			if float64(sumE) > cfg.Ratio*float64(sumR)+cfg.ExtraRetries {
				t.Fatalf("%d sent again for %d requests in the window from %d", sumE, sumR, from)
			}
		}
	})
}

// TestRestart wants a gateway that has just started to leave the constant alone:
// the process before it may have spent its part.
func TestRestart(t *testing.T) {
	b := New(at(0), cfg)
	b.SetGateways(1)
	assert.Assert(t, !b.AllowRetry(at(time.Second), "s"))
	assert.Assert(t, b.AllowRetry(at(11*time.Second), "s"))
}

// TestUnknownCount wants no part of the constant before the holder has said how
// many share it.
func TestUnknownCount(t *testing.T) {
	b := New(at(-time.Minute), cfg)
	assert.Assert(t, !b.AllowRetry(at(0), "s"))
	for range 100 {
		b.RecordRequest(at(0), "s")
	}
	assert.Assert(t, b.AllowRetry(at(0), "s"))
}

// TestServices wants one service's budget untouched by another's.
func TestServices(t *testing.T) {
	b := New(at(-time.Minute), cfg)
	b.SetGateways(4)
	for b.AllowRetry(at(0), "a") {
	}
	assert.Assert(t, b.AllowRetry(at(0), "b"))
}
