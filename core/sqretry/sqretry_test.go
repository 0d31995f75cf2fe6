package sqretry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var cfg = Config{Ratio: 0.2, ExtraRetries: 56, Window: 10 * time.Second}

func timeAt(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// TestGatewaysStayWithinSharedBudget simulates gateways that retry whenever they
// may, and checks that the sum of their retries stays within the ratio plus the
// constant in every sliding window.
func TestGatewaysStayWithinSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 12).Draw(t, "gateways")
		requestsPerTick := rapid.IntRange(0, 6).Draw(t, "requests per tick of 100 ms")
		budgets := make([]*Budget, gateways)
		for i := range budgets {
			budgets[i] = New(timeAt(-time.Minute), cfg)
			budgets[i].SetGateways(gateways)
		}
		const ticks, ticksPerWindow = 300, 100
		requests, retries := make([]int, ticks), make([]int, ticks)
		for tick := range ticks {
			now := timeAt(time.Duration(tick) * 100 * time.Millisecond)
			for _, b := range budgets {
				for range requestsPerTick {
					b.RecordRequest(now, "s")
					requests[tick]++
				}
				for b.AllowRetry(now, "s") {
					retries[tick]++
				}
			}
		}
		for from := 0; from+ticksPerWindow <= ticks; from += 10 {
			requestSum, retrySum := 0, 0
			for i := from; i < from+ticksPerWindow; i++ {
				requestSum += requests[i]
				retrySum += retries[i]
			}
			if float64(retrySum) > cfg.Ratio*float64(requestSum)+cfg.ExtraRetries {
				t.Fatalf("%d retries for %d requests in the window from tick %d", retrySum, requestSum, from)
			}
		}
	})
}

// TestNoExtraRetriesInFirstWindow checks that a gateway that has just started does
// not use the constant: an earlier process may have used its part already.
func TestNoExtraRetriesInFirstWindow(t *testing.T) {
	b := New(timeAt(0), cfg)
	b.SetGateways(1)
	assert.Assert(t, !b.AllowRetry(timeAt(time.Second), "s"))
	assert.Assert(t, b.AllowRetry(timeAt(11*time.Second), "s"))
}

// TestNoExtraRetriesWithoutGatewayCount checks that a gateway does not use the
// constant before it knows how many gateways share it.
func TestNoExtraRetriesWithoutGatewayCount(t *testing.T) {
	b := New(timeAt(-time.Minute), cfg)
	assert.Assert(t, !b.AllowRetry(timeAt(0), "s"))
	for range 100 {
		b.RecordRequest(timeAt(0), "s")
	}
	assert.Assert(t, b.AllowRetry(timeAt(0), "s"))
}

// TestServicesHaveSeparateBudgets checks that the retries of one service do not
// reduce the budget of another.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(timeAt(-time.Minute), cfg)
	b.SetGateways(4)
	for b.AllowRetry(timeAt(0), "a") {
	}
	assert.Assert(t, b.AllowRetry(timeAt(0), "b"))
}
