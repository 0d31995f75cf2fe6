package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
)

const (
	// initialDuration is the assumed duration of a request before the first one has
	// completed.
	initialDuration    = 100 * time.Millisecond
	meanDurationWeight = 0.05
	// latencyRatioWeight, minLatencyRatio and maxLatencyRatio bound how fast and how
	// far the observed times to the first token correct the estimate.
	latencyRatioWeight = 0.05
	minLatencyRatio    = 0.3
	maxLatencyRatio    = 3.0
	// prefillTokensPerMilli is how many prompt tokens a prefill engine processes per
	// millisecond, before the latency ratio corrects it. A decode engine is slower
	// since it prefills in shorter chunks between the tokens of other requests.
	prefillTokensPerMilli = 40.0
	decodeTokensPerMilli  = 16.0
	// firstTokenOverhead is the time to the first token of a fully cached prompt.
	firstTokenOverhead = 15 * time.Millisecond
	// transferOverhead is the time to start a KV cache transfer.
	transferOverhead = 6 * time.Millisecond
	// failurePenalty is added to the latency of an endpoint that fails every request;
	// lower failure rates add a proportional share.
	failurePenalty = 600 * time.Millisecond
	// crossZonePenalty stands for the cost of traffic to another availability zone.
	crossZonePenalty = 4 * time.Millisecond
	// interferencePercent is the share of an engine's prefill time that is charged as
	// delay of other requests. It keeps prompts at the engines that cache their
	// shared parts.
	interferencePercent = 100
	// decodeInterferencePercent is the share of an engine's prefill time that each
	// request decoding there loses.
	decodeInterferencePercent = 8
	// coldPenaltyDivisor divides the time for which an endpoint is still cold; a
	// request is assumed to lose the quotient.
	coldPenaltyDivisor = 8
	// urgentPrefillPercent is the share of the pending prefill tokens that an urgent
	// request waits for: the engine prefills it before less urgent requests.
	urgentPrefillPercent = 40
)

// request is a query with the prefix data that all estimates of it share.
type request struct {
	*Query
	hashes  []prefixHash
	lengths []int
	// prefixCached is set if an engine is known to hold the longest shared prefix.
	prefixCached bool
	// leastWork is the work at an endpoint of usual speed that no cached prefix saves, by
	// stage. It is set if the service reports speeds.
	leastWork [stageCount]time.Duration
	// spreadShare is the share of the random part of costs that is used, by how much the
	// speeds of the endpoints differ: 1 if one is at least twice as fast as another.
	spreadShare float64
	// weighed is set if the expectedCached of each node was set for this request.
	weighed bool
}

func newRequest(now time.Time, q *Query, s *pool) *request {
	hashes, lengths := prefixHashes(&q.Prompt)
	r := &request{Query: q, hashes: hashes, lengths: lengths}
	r.setSpeeds(now, s)
	if s.weighs() {
		r.weighPrefixes(now, s)
		return r
	}
	for _, n := range s.nodes {
		if last := len(lengths) - 1; last >= 0 && n.available(now) && n.cache.cachedTokens(hashes, lengths) == lengths[last] {
			r.prefixCached = true
		}
	}
	return r
}

// preferred returns the node that is preferred for the request's prefix, or nil if that does
// not matter, since an engine is known to hold the prefix.
func (r *request) preferred(nodes []*node) *node {
	if r.prefixCached {
		return nil
	}
	return preferredNode(r.hashes, r.lengths, nodes)
}

// knownCached returns how many prompt tokens the node is known or expected to hold.
func (r *request) knownCached(n *node) int {
	if r.weighed {
		return n.expectedCached
	}
	return n.cache.cachedTokens(r.hashes, r.lengths)
}

// uncachedTokens returns how many prompt tokens the node has to prefill.
func (r *request) uncachedTokens(n, preferred *node) int {
	cached := r.knownCached(n)
	if last := len(r.lengths) - 1; n == preferred && !r.prefixCached && cached < r.lengths[last] {
		cached = max(cached, r.lengths[last]*(100-preferredUncachedPercent)/100)
	}
	return max(0, r.Prompt.Tokens-cached)
}

func tokensPerMilli(s Stage) float64 {
	if s == Prefill {
		return prefillTokensPerMilli
	}
	return decodeTokensPerMilli
}

// prefillTime returns how long an engine of the stage takes to prefill tokens. Their number
// may be a caller's claim; it is bounded, so that sums of times do not overflow.
func (s *pool) prefillTime(tokens int, stage Stage) time.Duration {
	return time.Duration(float64(min(tokens, maxMemoryTokens)) / tokensPerMilli(stage) * s.latencyRatio[stage] * float64(time.Millisecond))
}

// slotWait returns how long a request waits for a free slot.
func (s *pool) slotWait(now time.Time, n *node) time.Duration {
	excess := n.running(now) - n.slots() + 1
	if excess <= 0 {
		return 0
	}
	return n.slowed(s.meanDuration * time.Duration(excess) / time.Duration(n.slots()))
}

// prefillWait returns how long a request waits for the prompts queued before it.
func (s *pool) prefillWait(r *request, n *node) time.Duration {
	tokens := n.local.PrefillTokens + n.remote.PrefillTokens
	if r.Urgent {
		tokens = tokens * urgentPrefillPercent / 100
	}
	return s.prefillTime(tokens, n.endpoint.cfg.Stage)
}

// directLatency returns the time to the first token if the endpoint prefills the
// prompt itself; for a plain service, the time to the whole answer.
func (s *pool) directLatency(now time.Time, r *request, n *node, uncached int) time.Duration {
	if s.engine == nil {
		return n.slowed(s.meanDuration) + s.slotWait(now, n)
	}
	return s.slotWait(now, n) + n.slowed(firstTokenOverhead+s.prefillWait(r, n)+s.prefillTime(uncached, n.endpoint.cfg.Stage))
}

// transferTime returns the time to transfer the KV cache of a whole prompt.
func (s *pool) transferTime(p *sqattempt.Prompt) time.Duration {
	const bitsPerByte, mega = 8, 1e6
	if s.engine.LinkMbps <= 0 {
		return transferOverhead
	}
	seconds := float64(min(p.Tokens, maxMemoryTokens)) * float64(s.engine.KVBytesPerToken) * bitsPerByte / (s.engine.LinkMbps * mega)
	return transferOverhead + time.Duration(seconds*float64(time.Second))
}

// penalty returns the cost that is added to an endpoint's latency only in the
// comparison with other endpoints; the request does not wait for it.
func (p *Placer) penalty(now time.Time, n *node) time.Duration {
	cost := time.Duration(n.failureRate*float64(failurePenalty)) + n.endpoint.ColdRemaining(now)/coldPenaltyDivisor
	if n.endpoint.cfg.Zone != p.cfg.Zone {
		cost += crossZonePenalty
	}
	return cost
}

// updateLatencyRatio corrects later estimates by an observed time to the first
// token. An expected time of 0 is ignored.
func (s *pool) updateLatencyRatio(stage Stage, expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := s.latencyRatio[stage] * float64(observed) / float64(expected)
	s.latencyRatio[stage] += latencyRatioWeight * (min(max(ratio, minLatencyRatio), maxLatencyRatio) - s.latencyRatio[stage])
}

func (s *pool) updateMeanDuration(d time.Duration) {
	s.meanDuration += time.Duration(meanDurationWeight * float64(d-s.meanDuration))
}
