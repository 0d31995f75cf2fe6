package sqroute

import "time"

// instant is a time in nanoseconds since the Unix epoch; 0 means never.
// Comparing endpoints by time.Time would take most of the time of a routing
// decision.
type instant int64

// toInstant converts a time; the zero time becomes 0.
func toInstant(t time.Time) instant {
	if t.IsZero() {
		return 0
	}
	return instant(t.UnixNano())
}

// since returns the time elapsed since an earlier instant.
func (i instant) since(earlier instant) time.Duration { return time.Duration(i - earlier) }

// Weights of a new sample in the moving averages of an endpoint.
// batchLearnWeight is for the step time and the slots.
const (
	prefillLearnWeight = 0.1
	batchLearnWeight   = 0.2
	cacheLearnWeight   = 0.05
)

// Bounds of cacheCorrection.
const (
	minCacheCorrection = 0.1
	maxCacheCorrection = 3
)

// maxSpeedFactor bounds learned speeds: they stay between the initial estimate
// divided by this factor and the initial estimate multiplied by it.
const maxSpeedFactor = 50

// Circuit breaker: consecutive failures that open it, and bounds of the time
// for which it stays open.
const (
	failuresToOpenCircuit = 3
	minCircuitOpenTime    = 500 * time.Millisecond
	maxCircuitOpenTime    = 10 * time.Second
)

// maxReportAge is the age up to which an endpoint's report is preferred to the
// lease holder's sums of the entries' loads.
const maxReportAge = 2 * time.Second

// historySize is the number of samples kept of the entry's own load.
const historySize = 16

// historyInterval is the minimum time between two samples.
const historyInterval = 20 * time.Millisecond

// backlog is the unfinished work at an endpoint: the number of requests, and
// their remaining prompt tokens and output tokens.
type backlog struct {
	running       int
	prefillTokens int
	decodeTokens  int
}

// loadSample is the entry's own load at one time.
type loadSample struct {
	at   instant
	load backlog
}

// node is what an entry knows about one endpoint.
type node struct {
	endpoint   Endpoint
	generation uint32
	present    bool
	otherZone  bool
	// entryRank is this entry's rank among all entries at the endpoint, scaled
	// to 0 (first) to 1 (last); -1 if the entries are unknown.
	entryRank   float64
	slowStartAt instant
	// own is the entry's own work in flight.
	own          backlog
	history      [historySize]loadSample
	newestSample int
	// reportedPeerLoad is the other entries' work according to the last report:
	// the reported work without the own work that the report included. peerLoad
	// is their work according to SetPeerLoads.
	reportedPeerLoad backlog
	measuredAt       instant
	// lastActivityAt is the time when the endpoint last delivered a first token
	// or completed a request, at first the time when it was added. lastReportAt
	// is the time when its last report arrived.
	lastActivityAt instant
	lastReportAt   instant
	// reportGap is the moving average of the time between the arrivals of two
	// reports.
	reportGap time.Duration
	// reportedRequests is the number of requests in the last report, running
	// and queued.
	reportedRequests int
	peerLoad         backlog
	// prefillRate is in tokens per second; stepTime is in seconds, for a batch
	// of one request.
	prefillRate        float64
	initialPrefillRate float64
	stepTime           float64
	slots              float64
	// cacheCorrection is the ratio of the cached tokens that the engine counted
	// to the expected ones. It is above 1 if the cache index underestimates the
	// cached tokens.
	cacheCorrection  float64
	failures         int
	circuitOpenUntil instant
	circuitOpenTime  time.Duration
}

// prefillFactorByRole is the prefill speed of each role relative to an engine
// that does both: a prefill engine uses larger chunks, a decode engine smaller
// ones.
var prefillFactorByRole = [3]float64{RoleBoth: 1, RolePrefill: 1.2, RoleDecode: 0.3}

func (f *Fleet) newNode(now instant, generation uint32, role Role) node {
	n := node{generation: generation, slowStartAt: now, lastActivityAt: now, cacheCorrection: 1, entryRank: -1}
	f.resetSpeed(&n, role)
	return n
}

// resetSpeed replaces the learned speeds by the initial estimates for a role,
// because speeds learned in another role don't apply.
func (f *Fleet) resetSpeed(n *node, role Role) {
	n.initialPrefillRate = f.cfg.PrefillRate * prefillFactorByRole[role]
	n.prefillRate = n.initialPrefillRate
	n.stepTime = f.cfg.StepTime.Seconds()
	n.slots = float64(f.cfg.Slots)
}

// recordOwnLoad saves the current own load, so that setReport can subtract it
// from a report that arrives later.
func (n *node) recordOwnLoad(now instant) {
	if now.since(n.history[n.newestSample].at) >= historyInterval {
		n.newestSample = (n.newestSample + 1) % historySize
		n.history[n.newestSample].at = now
	}
	n.history[n.newestSample].load = n.own
}

// ownLoadAt returns the own load at an earlier time.
func (n *node) ownLoadAt(when instant) backlog {
	for i := range historySize {
		sample := &n.history[(n.newestSample+historySize-i)%historySize]
		if sample.at == 0 {
			return backlog{}
		}
		if sample.at <= when {
			return sample.load
		}
	}
	return n.history[(n.newestSample+1)%historySize].load
}

// setReport computes the work of other entries from a report. The report is
// delayed and includes the entry's own work at the time of the measurement, so
// that work is subtracted here, and load adds the current own work when a
// request is routed.
func (n *node) setReport(now instant, r LoadReport) {
	measured := toInstant(r.At())
	if measured > now || measured < n.measuredAt {
		return
	}
	own := n.ownLoadAt(measured)
	n.recordReportArrival(now)
	n.measuredAt = measured
	n.reportedRequests = r.cfg.Running + r.cfg.Queued
	n.reportedPeerLoad = backlog{
		running:       max(0, r.cfg.Running+r.cfg.Queued-own.running),
		prefillTokens: max(0, r.cfg.PrefillTokens-own.prefillTokens),
		decodeTokens:  max(0, r.cfg.DecodeTokens-own.decodeTokens/ownDecodeDivisor),
	}
	if r.cfg.Queued > 0 && r.cfg.Running > 0 {
		n.slots += batchLearnWeight * (float64(r.cfg.Running) - n.slots)
	}
}

// load returns the estimated work at the endpoint.
func (n *node) load(now instant) backlog {
	peerLoad := &n.reportedPeerLoad
	if now.since(n.measuredAt) > maxReportAge {
		peerLoad = &n.peerLoad
	}
	return backlog{
		running:       n.own.running + peerLoad.running,
		prefillTokens: n.own.prefillTokens + peerLoad.prefillTokens,
		decodeTokens:  n.own.decodeTokens/ownDecodeDivisor + peerLoad.decodeTokens,
	}
}

// ownDecodeDivisor divides the expected output of own requests in flight,
// because on average half of it has already been generated.
const ownDecodeDivisor = 2

// reportGapLearnWeight is the weight of a new gap in reportGap.
const reportGapLearnWeight = 0.3

// recordReportArrival updates the arrival time of the last report and the
// average gap between reports.
func (n *node) recordReportArrival(now instant) {
	if n.lastReportAt > 0 {
		gap := now.since(n.lastReportAt)
		n.reportGap += time.Duration(reportGapLearnWeight * float64(gap-n.reportGap))
	}
	n.lastReportAt = now
}

// An endpoint that has reported before counts as silent after minReportTimeout
// or maxSilentGaps average gaps between reports, whichever is longer.
const (
	minReportTimeout = 1500 * time.Millisecond
	maxSilentGaps    = 3
)

// maxExcessSilence bounds the wait that excessSilence adds to an estimate.
const maxExcessSilence = 5 * time.Second

// excessSilence returns how far an endpoint that used to report has exceeded
// its report timeout. Such an endpoint may be paused or unreachable.
func (n *node) excessSilence(now instant) time.Duration {
	if n.lastReportAt == 0 {
		return 0
	}
	silence := now.since(max(n.lastReportAt, n.lastActivityAt))
	return min(max(0, silence-max(minReportTimeout, maxSilentGaps*n.reportGap)), maxExcessSilence)
}

// refusal is the reason why an endpoint can't take a request.
type refusal uint8

const (
	usable refusal = iota
	isUnschedulable
	isFailing
	isSpot
	isExcluded
)

// refusal returns why the endpoint takes no new requests at all, or usable.
func (n *node) refusal(now instant) refusal {
	if !n.present || n.endpoint.Unschedulable() {
		return isUnschedulable
	}
	// After the circuit breaker has been open for its time, it admits one probe
	// request at a time.
	if n.failures >= failuresToOpenCircuit && (now <= n.circuitOpenUntil || n.own.running > 0) {
		return isFailing
	}
	return usable
}

// refusal returns why the endpoint can't take this request, or usable.
func (f *Fleet) refusal(now instant, index uint32, q *Query) refusal {
	n := &f.nodes[index]
	if r := n.refusal(now); r != usable {
		return r
	}
	if n.endpoint.Spot() && !q.cfg.SpotAllowed {
		return isSpot
	}
	if len(q.cfg.Excluded) > 0 && q.excludes(n.endpoint.ID()) {
		return isExcluded
	}
	return usable
}

func (n *node) recordFailure(now instant) {
	n.failures++
	if n.failures < failuresToOpenCircuit {
		return
	}
	n.circuitOpenTime = min(max(2*n.circuitOpenTime, minCircuitOpenTime), maxCircuitOpenTime)
	n.circuitOpenUntil = now + instant(n.circuitOpenTime)
}

func (n *node) recordSuccess(now instant) {
	n.lastActivityAt = now
	if n.failures >= failuresToOpenCircuit {
		n.slowStartAt = now
	}
	n.failures = 0
	n.circuitOpenTime = 0
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }
