package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqspeed"
)

const (
	// reportMaxAge is how long an endpoint's own load report is used.
	reportMaxAge = 400 * time.Millisecond
	// maxReportedRequests bounds the number of requests in a load report, so that the
	// waits that follow from it do not overflow.
	maxReportedRequests = 1 << 20
	// failureRateWeight is the weight of the newest outcome in the failure rate.
	failureRateWeight = 0.1
	// initialSuspectTime is how long an endpoint gets no requests after a failed
	// connection; it doubles with each consecutive failure, up to maxSuspectTime.
	initialSuspectTime = 300 * time.Millisecond
	maxSuspectTime     = 4 * time.Second
)

// node is a gateway's state of one endpoint.
type node struct {
	endpoint Endpoint
	// local is the load of this gateway, remote that of all other gateways.
	local  Load
	remote Load
	// localAtSum is local when remote was set.
	localAtSum Load
	cache      *prefixCache
	// resident is the order in which the engine used prefixes, nil if it is not recorded.
	resident *residency
	// expectedCached is how many tokens of the request being placed the engine is expected
	// to hold.
	expectedCached int

	// reported is the endpoint's last load report, which is used until reportedUntil, and
	// localAtReport the value of local.Running when the report arrived.
	reported      sqattempt.LoadReport
	reportedUntil time.Time
	localAtReport int

	// failureRate is the moving average of failed sends, from 0 to 1.
	failureRate     float64
	connectFailures int
	suspectUntil    time.Time
	// leaving is set once the endpoint reported that it is about to stop.
	leaving bool
	// refusesUntil is until when the endpoint wants no requests of this gateway.
	refusesUntil time.Time
	// connection is the most recently used idle connection to the endpoint.
	connection Connection
	// list is the age of the list of endpoints.
	list *listAge
	// speed is the estimate of how long work takes at the endpoint.
	speed sqspeed.Estimate
	// slowFactor is how much longer than usual work takes at the endpoint as of the last
	// choice, 0 if nothing is known.
	slowFactor float64
}

func newNode(list *listAge) *node { return &node{cache: newPrefixCache(), list: list} }

// running estimates how many requests are in flight at the endpoint.
func (n *node) running(now time.Time) int {
	counted := n.local.Running + n.remote.Running
	if now.After(n.reportedUntil) {
		return counted
	}
	return max(counted, n.reported.Running+n.reported.Queued+n.local.Running-n.localAtReport)
}

// endpointCopy returns a copy of the listed endpoint that SetEndpoints does not change.
func (n *node) endpointCopy() *Endpoint {
	e := n.endpoint
	return &e
}

// slots returns how many requests the endpoint runs at once.
func (n *node) slots() int { return max(1, n.endpoint.cfg.Slots) }

// suspect reports whether recent connections to the endpoint failed.
func (n *node) suspect(now time.Time) bool { return now.Before(n.suspectUntil) }

// recordOutcome updates the failure rate and the suspect state after a send.
func (n *node) recordOutcome(now time.Time, ok, reached bool) {
	failure := 1.0
	if ok {
		failure = 0
	}
	n.failureRate += failureRateWeight * (failure - n.failureRate)
	if reached {
		n.connectFailures = 0
		if ok {
			n.suspectUntil = time.Time{}
		}
		return
	}
	suspectTime := initialSuspectTime << min(n.connectFailures, 8)
	n.connectFailures++
	n.suspectUntil = now.Add(min(suspectTime, maxSuspectTime))
}

// RecordLoadReport records the load that an endpoint reported with an answer.
func (p *Placer) RecordLoadReport(now time.Time, id string, load sqattempt.LoadReport) {
	n := p.nodes[id]
	if n == nil {
		return
	}
	load.Running, load.Queued = min(load.Running, maxReportedRequests), min(load.Queued, maxReportedRequests)
	n.reported, n.reportedUntil, n.localAtReport = load, now.Add(reportMaxAge), n.local.Running
	if load.Slots > 0 {
		n.endpoint.cfg.Slots = load.Slots
	}
	p.recordSpeed(now, n, load.WorkPercent)
}
