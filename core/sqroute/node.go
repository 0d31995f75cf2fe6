package sqroute

import "time"

// instant is a time in nanoseconds; 0 means never. Comparing several endpoints
// by time.Time would take most of the time of a decision.
type instant int64

// at returns the instant of a time.
func at(t time.Time) instant {
	if t.IsZero() {
		return 0
	}
	return instant(t.UnixNano())
}

// since returns the time from an earlier instant.
func (i instant) since(earlier instant) time.Duration { return time.Duration(i - earlier) }

// Weights of a new sample in what is learned of an endpoint.
const (
	learnRate  = 0.1
	learnSteps = 0.2
	learnTruth = 0.05
)

// Bounds of the truth of the cache index.
const (
	minTruth = 0.1
	maxTruth = 3
)

// fastest bounds what is learned, as a factor of the first guess either way.
const fastest = 50

// Circuit breaker.
const (
	failuresToOpen = 3
	minOpenTime    = 500 * time.Millisecond
	maxOpenTime    = 10 * time.Second
)

// reportTrust is the age up to which a report goes before the holder's sums.
const reportTrust = 2 * time.Second

// historySize bounds the kept moments of an entry's own load.
const historySize = 16

// historyStep is the least time between two of them.
const historyStep = 20 * time.Millisecond

// backlog is work at an endpoint: requests, and the prompt tokens and output
// tokens that are left of them.
type backlog struct {
	running int
	prefill int
	decode  int
}

// moment is the entry's own load at a time.
type moment struct {
	at   instant
	load backlog
}

// node is what is known of one endpoint.
type node struct {
	endpoint   Endpoint
	generation uint32
	present    bool
	remote     bool
	// turn is the entry's place among all entries at the endpoint, from 0 for
	// the first to 1; -1 when the entries aren't known.
	turn     float64
	openedAt instant
	// own is the entry's own work in flight.
	own     backlog
	history [historySize]moment
	newest  int
	// foreign is the work of others by the last report, without the own work
	// that the report counted.
	foreign    backlog
	reportedAt instant
	// signAt is the last proof of life, and heardAt the last report's arrival.
	signAt  instant
	heardAt instant
	// reportGap is the usual time between two reports' arrivals.
	reportGap time.Duration
	// reported is the number of requests that the last report named.
	reported int
	others   backlog
	// prefillRate is in tokens a second, stepTime in seconds for a batch of 1.
	prefillRate  float64
	prefillGuess float64
	stepTime     float64
	slots        float64
	// truth is how many of the expected cached tokens were cached; above 1 when
	// the index trusts too little.
	truth     float64
	failures  int
	openUntil instant
	openTime  time.Duration
}

// roleSpeed is what engines of a role prefill against one that does both: one
// that only prefills takes larger chunks, one that decodes takes small ones.
var roleSpeed = [3]float64{RoleBoth: 1, RolePrefill: 1.2, RoleDecode: 0.3}

func (f *Fleet) newNode(now instant, generation uint32, role Role) node {
	n := node{generation: generation, openedAt: now, signAt: now, truth: 1, turn: -1}
	f.resetSpeed(&n, role)
	return n
}

// resetSpeed forgets what was learned of an engine in another role.
func (f *Fleet) resetSpeed(n *node, role Role) {
	n.prefillGuess = f.cfg.PrefillRate * roleSpeed[role]
	n.prefillRate = n.prefillGuess
	n.stepTime = f.cfg.StepTime.Seconds()
	n.slots = float64(f.cfg.Slots)
}

// remember keeps the own load as it was, for reports that come in later.
func (n *node) remember(now instant) {
	if now.since(n.history[n.newest].at) >= historyStep {
		n.newest = (n.newest + 1) % historySize
		n.history[n.newest].at = now
	}
	n.history[n.newest].load = n.own
}

// ownAt returns the own load at an earlier time.
func (n *node) ownAt(then instant) backlog {
	for i := range historySize {
		m := &n.history[(n.newest+historySize-i)%historySize]
		if m.at == 0 {
			return backlog{}
		}
		if m.at <= then {
			return m.load
		}
	}
	return n.history[(n.newest+1)%historySize].load
}

// setReport takes the work of others out of a report. The report is late: it
// counts the own work as it was at its time, so that load is taken off and the
// own work of now is added when a request is routed.
func (n *node) setReport(now instant, r Report) {
	measured := at(r.At())
	if measured > now || measured < n.reportedAt {
		return
	}
	own := n.ownAt(measured)
	n.hear(now)
	n.reportedAt = measured
	n.reported = r.cfg.Running + r.cfg.Queued
	n.foreign = backlog{
		running: max(0, r.cfg.Running+r.cfg.Queued-own.running),
		prefill: max(0, r.cfg.PrefillTokens-own.prefill),
		decode:  max(0, r.cfg.DecodeTokens-own.decode/ownDecodeLeft),
	}
	if r.cfg.Queued > 0 && r.cfg.Running > 0 {
		n.slots += learnSteps * (float64(r.cfg.Running) - n.slots)
	}
}

// load returns the estimated work at the endpoint.
func (n *node) load(now instant) backlog {
	foreign := &n.foreign
	if now.since(n.reportedAt) > reportTrust {
		foreign = &n.others
	}
	return backlog{
		running: n.own.running + foreign.running,
		prefill: n.own.prefill + foreign.prefill,
		decode:  n.own.decode/ownDecodeLeft + foreign.decode,
	}
}

// ownDecodeLeft divides the expected output of own requests in flight: on
// average half of it was generated already.
const ownDecodeLeft = 2

// learnGap is the weight of a new gap in the usual time between reports.
const learnGap = 0.3

// hear notes that a report arrived.
func (n *node) hear(now instant) {
	if n.heardAt > 0 {
		gap := now.since(n.heardAt)
		n.reportGap += time.Duration(learnGap * float64(gap-n.reportGap))
	}
	n.heardAt = now
}

// minSilence and silentGaps bound how long an endpoint that reported before may
// be silent: the longer of the two, the second in usual gaps.
const (
	minSilence = 1500 * time.Millisecond
	silentGaps = 3
)

// maxSilence bounds what silence counts in a comparison.
const maxSilence = 5 * time.Second

// silence returns how much longer than usual nothing was heard of an endpoint
// that used to report: it may be paused or cut off.
func (n *node) silence(now instant) time.Duration {
	if n.heardAt == 0 {
		return 0
	}
	quiet := now.since(max(n.heardAt, n.signAt))
	return min(max(0, quiet-max(minSilence, silentGaps*n.reportGap)), maxSilence)
}

// refusal is why an endpoint can't take a request.
type refusal uint8

const (
	usable refusal = iota
	isClosed
	isFailing
	isCheap
	isExcluded
)

// refuses returns why the endpoint takes no new work, or usable.
func (n *node) refuses(now instant) refusal {
	if !n.present || n.endpoint.Unschedulable() {
		return isClosed
	}
	// After the pause one request at a time may try.
	if n.failures >= failuresToOpen && (now <= n.openUntil || n.own.running > 0) {
		return isFailing
	}
	return usable
}

// refusal returns why the endpoint can't take this request, or usable.
func (f *Fleet) refusal(now instant, number uint32, q *Query) refusal {
	n := &f.nodes[number]
	if r := n.refuses(now); r != usable {
		return r
	}
	if n.endpoint.Cheap() && !q.cfg.CheapAllowed {
		return isCheap
	}
	if len(q.cfg.Excluded) > 0 && q.excludes(n.endpoint.ID()) {
		return isExcluded
	}
	return usable
}

func (n *node) failed(now instant) {
	n.failures++
	if n.failures < failuresToOpen {
		return
	}
	n.openTime = min(max(2*n.openTime, minOpenTime), maxOpenTime)
	n.openUntil = now + instant(n.openTime)
}

func (n *node) succeeded(now instant) {
	n.signAt = now
	if n.failures >= failuresToOpen {
		n.openedAt = now
	}
	n.failures = 0
	n.openTime = 0
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }
