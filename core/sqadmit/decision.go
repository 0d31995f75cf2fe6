package sqadmit

import (
	"strconv"
	"time"

	"sequoiadock/core/sqerror"
)

// Action is what is done with a request.
type Action uint8

// Actions of a Decision.
const (
	// Run dispatches the request now; Finish must be called when it ends.
	Run Action = iota + 1
	// Queue makes the request wait until Next returns a decision on it or Cancel
	// removes it.
	Queue
	// Refuse drops the request without running it.
	Refuse
)

// Decision is the outcome of admission control for one request, with its reason.
type Decision struct {
	id         uint64
	action     Action
	kind       sqerror.Kind
	retryAfter time.Duration
	reason     decisionReason
	team       string
	// actual and limit are the compared figures; their meaning depends on reason.
	actual, limit float64
}

// decisionReason is the reason for a decision.
type decisionReason uint8

const (
	reasonPoolCapacity decisionReason = iota + 1
	reasonQueued
	reasonQueueFull
	reasonRateLimit
	reasonRunningLimit
	reasonDeadline
	reasonFairTurn
	reasonArrivalOrder
)

// ID returns the identifier of the request.
func (d Decision) ID() uint64 { return d.id }

// Action returns what is done with the request.
func (d Decision) Action() Action { return d.action }

// Kind returns the error kind of a refused request: OverLimit or
// DeadlineUnmeetable.
func (d Decision) Kind() sqerror.Kind { return d.kind }

// RetryAfter returns the time after which the caller may send a refused request
// again.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Explanation explains the decision in sentences that contain the compared figures.
func (d Decision) Explanation() []string {
	actual, limit := formatNumber(d.actual), formatNumber(d.limit)
	switch d.reason {
	case reasonPoolCapacity:
		return []string{"Run at once: the pool had room, with " + actual + " of " + limit + " requests in flight, and no team waited before it."}
	case reasonQueued:
		return []string{"Queued for team " + d.team + ": " + actual + " of its requests wait here, and the expected wait is " + limit + " s."}
	case reasonQueueFull:
		return []string{"Refused: team " + d.team + " has " + actual + " requests queued at this entry and may have " + limit + "."}
	case reasonRateLimit:
		return []string{"Refused: team " + d.team + " would wait " + actual + " s for its token rate and has " + limit + " s to its deadline."}
	case reasonRunningLimit:
		return []string{"Refused: team " + d.team + " would wait " + actual + " s for its running requests to end and has " + limit + " s to its deadline."}
	case reasonDeadline:
		return []string{"Refused: the answer is expected " + actual + " s from now and the deadline is in " + limit + " s."}
	case reasonFairTurn:
		return []string{"Run after a wait: it was the turn of team " + d.team + " by what it used against its share, and " + actual + " of " + limit + " requests were in flight."}
	default:
		return []string{"Run: the oldest request of all teams, with " + actual + " of " + limit + " requests in flight."}
	}
}

// formatNumber formats integers without and other numbers with two decimals.
func formatNumber(n float64) string {
	if n == float64(int64(n)) {
		return strconv.FormatInt(int64(n), 10)
	}
	return strconv.FormatFloat(n, 'f', 2, 64)
}

// UsageConfig holds the values of a Usage.
type UsageConfig struct {
	PromptTokens int
	// CachedTokens is the number of prompt tokens that the engine reports as
	// cached.
	CachedTokens int
	OutputTokens int
}

// Usage is the measured use of a finished request. It corrects the charges to
// the team's rate limit and start tag.
type Usage struct {
	cfg UsageConfig
}

// NewUsage returns the usage that cfg describes.
func NewUsage(cfg UsageConfig) Usage { return Usage{cfg: cfg} }
