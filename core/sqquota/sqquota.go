// Package sqquota keeps the requests of a team within its quota over all gateways together.
//
// The lease holder has an Issuer with a token bucket for each team. A gateway has an
// Account: a small reserve for each team, from which small requests are charged without a
// message, and what the holder granted for requests that do not fit it. Units reach the
// gateways from the bucket only, so the sum does not depend on the number of gateways, and a
// gateway that is out of touch spends its reserve and no more.
package sqquota

import (
	"math"
	"time"
)

const (
	// grantTerm is how long units may be spent after the gateway asked for them. What is spent
	// in a window was therefore granted within the window or grantTerm before it.
	grantTerm = 500 * time.Millisecond
	// reserveTerm is how long after a heartbeat that was answered the reserve may be spent. A
	// gateway applies a smaller number of gateways only so long after the first answer of a
	// holder, which may not have heard of all yet.
	reserveTerm = 4 * time.Second
	// joinDelay is how long after its first heartbeat, or the first one after reserveTerm
	// without any, a gateway has no reserve. Until then all others have heard the new number
	// of gateways, which a new holder tells after 2 s, or hold no reserve.
	joinDelay = reserveTerm + 2*time.Second
	// slackPercent is the part of the slack that all reserves together take. The rest covers
	// requests larger than the burst and retries that are charged without a check.
	slackPercent = 80
	// burstPercent is the part of the burst that all reserves together take if there is no slack.
	burstPercent = 25
	// reserveFloorPercent is the part of a bucket that reserves leave for waiting requests.
	reserveFloorPercent = 50
	// unnamedBurst is the time whose units a bucket holds if the quota names no burst.
	unnamedBurst = 250 * time.Millisecond
	// maxRefusalTerm and refusalPerGateway bound how long a gateway does not ask after a
	// refusal, so that the holder refuses at most 500 calls a second of each team.
	maxRefusalTerm    = 500 * time.Millisecond
	refusalPerGateway = 2 * time.Millisecond
	// newHolderTime is how long after the first answer of a new holder requests wait for its
	// buckets, which start empty, in place of being refused.
	newHolderTime = 3 * time.Second
)

// Quota limits the units of a team over all gateways.
type Quota struct {
	// RatePerS is at least 0. A team with a rate of 0 has no quota.
	RatePerS float64
	// Burst is how many units may be used at once; 0 stands for unnamedBurst.
	Burst float64
}

// Bounds are how far all gateways together may exceed a quota: the units that are used in
// any time of length Window stay within (rate x Window + burst) x (1 + Overrun) + Slack.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// capacity is how many units a bucket holds at most.
func (q Quota) capacity() float64 {
	if q.Burst > 0 {
		return q.Burst
	}
	return q.RatePerS * unnamedBurst.Seconds()
}

// margin returns how many units may be used in a window beyond what a bucket gives out in
// it and in grantTerm before it.
func (b Bounds) margin(q Quota) float64 {
	allowed := (q.RatePerS*b.Window.Seconds()+q.Burst)*(1+b.Overrun) + b.Slack
	return allowed - q.RatePerS*(b.Window+grantTerm).Seconds() - q.capacity()
}

// reserve returns the size of the reserves of all gateways together.
func (b Bounds) reserve(q Quota) float64 {
	total := b.Slack * slackPercent / 100
	if b.Slack == 0 {
		total = q.capacity() * burstPercent / 100
	}
	// A team that was idle for long can use its reserves on top of the burst.
	total = min(total, q.capacity())
	return max(0, min(total, b.margin(q)*slackPercent/100))
}

// reserveAt returns the size of one gateway's reserve; 0 gateways means that their number
// is not known.
func (b Bounds) reserveAt(q Quota, gateways int) uint64 {
	if gateways <= 0 {
		return 0
	}
	return uint64(b.reserve(q) / float64(gateways))
}

// maxRequest returns the largest request that is granted.
func (b Bounds) maxRequest(q Quota) float64 {
	margin := b.margin(q)
	if margin <= 0 {
		// Without an overrun and a slack there is no window to keep to.
		return math.Inf(1)
	}
	return q.capacity() + margin - b.reserve(q)
}
