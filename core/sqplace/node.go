package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
)

const (
	// reportFresh is for how long an endpoint's own report of its load counts.
	reportFresh = 400 * time.Millisecond
	// failureWeight is the part of the newest outcome in the rate of failures.
	failureWeight = 0.1
	// firstSuspicion is for how long an endpoint that could not be reached gets
	// nothing; it doubles with each failure in a row.
	firstSuspicion = 300 * time.Millisecond
	longSuspicion  = 4 * time.Second
)

// node is what a gateway knows of an endpoint.
type node struct {
	endpoint Endpoint
	own      Load
	others   Load
	cache    *cache

	report      sqattempt.Load
	reportAt    time.Time
	ownAtReport int

	// failures is the rate of failed sends, from 0 to 1.
	failures     float64
	unreachable  int
	suspectUntil time.Time
}

func newNode() *node { return &node{cache: newCache()} }

// running returns how many requests are probably in flight at the endpoint.
func (n *node) running(now time.Time) int {
	known := n.own.Running + n.others.Running
	if now.Sub(n.reportAt) > reportFresh {
		return known
	}
	return max(known, n.report.Running+n.report.Waiting+n.own.Running-n.ownAtReport)
}

// listed returns the endpoint as it is listed now; a new list does not change it.
func (n *node) listed() *Endpoint {
	e := n.endpoint
	return &e
}

// slots returns how many requests the endpoint runs at once.
func (n *node) slots() int { return max(1, n.endpoint.cfg.Slots) }

// suspect reports whether the endpoint could lately not be reached.
func (n *node) suspect(now time.Time) bool { return now.Before(n.suspectUntil) }

// noteOutcome takes how a send ended.
func (n *node) noteOutcome(now time.Time, ok, reached bool) {
	outcome := 1.0
	if ok {
		outcome = 0
	}
	n.failures += failureWeight * (outcome - n.failures)
	if reached {
		n.unreachable = 0
		if ok {
			n.suspectUntil = time.Time{}
		}
		return
	}
	pause := firstSuspicion << min(n.unreachable, 8)
	n.unreachable++
	n.suspectUntil = now.Add(min(pause, longSuspicion))
}

// RecordLoadReport takes the load that an endpoint reported with an answer.
func (p *Placer) RecordLoadReport(now time.Time, id string, l sqattempt.Load) {
	n := p.nodes[id]
	if n == nil {
		return
	}
	n.report, n.reportAt, n.ownAtReport = l, now, n.own.Running
	if l.Slots > 0 {
		n.endpoint.cfg.Slots = l.Slots
	}
}
