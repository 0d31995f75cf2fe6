package sqadmit

import (
	"strconv"
	"time"

	"sequoiadock/core/sqerror"
)

// Action is what happens to a request.
type Action uint8

// Actions of a verdict.
const (
	// Run means dispatch now; Finish must follow.
	Run Action = iota + 1
	// Queue means wait for Next to name it, or Cancel it.
	Queue
	// Refuse means that it was not run and is forgotten.
	Refuse
)

// Decision is what was decided on one request.
type Decision struct {
	id     uint64
	action Action
	kind   sqerror.Kind
	retry  time.Duration
	cause  cause
	team   string
	// Figures that decided; their meaning depends on the cause.
	have, limit float64
}

// cause is why a verdict went as it did.
type cause uint8

const (
	causeRoom cause = iota + 1
	causeWaits
	causeQueueFull
	causeRate
	causeRunning
	causeTooLate
	causeTurn
	causeArrival
)

// ID returns the caller's handle of the request.
func (v Decision) ID() uint64 { return v.id }

// Action returns what happens to the request.
func (v Decision) Action() Action { return v.action }

// Kind returns the failure of a refusal: OverLimit or DeadlineUnmeetable.
func (v Decision) Kind() sqerror.Kind { return v.kind }

// RetryAfter returns when a refused request had better come back.
func (v Decision) RetryAfter() time.Duration { return v.retry }

// Lines returns why, in sentences with the figures that decided.
func (v Decision) Lines() []string {
	have, limit := figure(v.have), figure(v.limit)
	switch v.cause {
	case causeRoom:
		return []string{"Run at once: the pool had room, with " + have + " of " + limit + " requests in flight, and no team waited before it."}
	case causeWaits:
		return []string{"Queued for team " + v.team + ": " + have + " of its requests wait here, and the expected wait is " + limit + " s."}
	case causeQueueFull:
		return []string{"Refused: team " + v.team + " has " + have + " requests queued at this entry and may have " + limit + "."}
	case causeRate:
		return []string{"Refused: team " + v.team + " would wait " + have + " s for its token rate and has " + limit + " s to its deadline."}
	case causeRunning:
		return []string{"Refused: team " + v.team + " would wait " + have + " s for its running requests to end and has " + limit + " s to its deadline."}
	case causeTooLate:
		return []string{"Refused: the answer is expected " + have + " s from now and the deadline is in " + limit + " s."}
	case causeTurn:
		return []string{"Run after a wait: it was the turn of team " + v.team + " by what it used against its share, and " + have + " of " + limit + " requests were in flight."}
	default:
		return []string{"Run: the oldest request of all teams, with " + have + " of " + limit + " requests in flight."}
	}
}

// figure writes whole numbers without and others with two decimals.
func figure(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'f', 2, 64)
}

// UsageConfig holds the parts of a Used.
type UsageConfig struct {
	PromptTokens int
	// CachedTokens is the engine's count of prompt tokens that it had.
	CachedTokens int
	OutputTokens int
}

// Usage is what a request used in the end, for the team's rate and share.
type Usage struct {
	cfg UsageConfig
}

// NewUsage returns the use that cfg describes.
func NewUsage(cfg UsageConfig) Usage { return Usage{cfg: cfg} }
