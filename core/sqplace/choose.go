package sqplace

import (
	"slices"
	"time"
)

const (
	// minRemotePrefillTokens is the minimum prompt length that is worth a KV cache
	// transfer.
	minRemotePrefillTokens = 64
	// remotePrefillPenalty stands for the cost of a KV cache transfer.
	remotePrefillPenalty = 15 * time.Millisecond
	// maxLatencyPercent is the share of the time left within which the first token
	// must be expected; otherwise the request is refused at once.
	maxLatencyPercent = 85
	// jitterPercent is the exclusive upper bound of the random increase of a cost; it
	// makes gateways with the same data choose differently.
	jitterPercent = 15
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Choose returns the endpoints for a request that is sent at now.
func (p *Placer) Choose(now time.Time, q *Query) Choice {
	s := p.services[q.Service]
	if s == nil || len(s.nodes) == 0 {
		return Choice{RetryAfter: maxRetryAfter / 3, Reason: "no endpoint is listed for the service"}
	}
	r := newRequest(now, q, s)
	nodes := p.candidates(now, s, r)
	best := p.bestDirect(now, s, r, nodes)
	if remote, ok := p.bestRemotePrefill(now, s, r, nodes); ok {
		if best.choice.Endpoint == nil || remote.cost < best.cost {
			best = remote
		}
	}
	c := best.choice
	if c.Endpoint == nil {
		return p.noEndpoint(now, s, q, "no endpoint can be reached")
	}
	c = p.addQueueWait(s, q, c)
	if c.ExpectedLatency > q.maxLatency() {
		return tooLate(q, c)
	}
	return p.holdBack(s, q, c)
}

// ChooseDecode returns the engine that generates the tokens of a request whose
// prompt another engine has prefilled. As with Choose, the request may have to wait.
func (p *Placer) ChooseDecode(now time.Time, q *Query) Choice {
	s := p.services[q.Service]
	if s == nil {
		return Choice{RetryAfter: maxRetryAfter / 3, Reason: "no endpoint is listed for the service"}
	}
	r := newRequest(now, q, s)
	c := p.bestDecode(now, s, r, withoutStage(p.candidates(now, s, r), Prefill)).choice
	if c.Endpoint == nil {
		return p.noEndpoint(now, s, q, "no engine can make the tokens")
	}
	if s.limitedMemory && c.roomWait > 0 && c.ExpectedLatency > q.maxLatency() {
		return tooLate(q, c)
	}
	return p.holdBack(s, q, c)
}

// maxLatency returns the longest expected latency of a request that is not refused.
func (q *Query) maxLatency() time.Duration { return q.TimeLeft * maxLatencyPercent / 100 }

// tooLate returns the refusal of a request that would be answered too late.
func tooLate(q *Query, c Choice) Choice {
	retryAfter := min(max(c.ExpectedLatency-q.maxLatency(), minRetryAfter), maxRetryAfter)
	return Choice{ExpectedLatency: c.ExpectedLatency, RetryAfter: retryAfter, Reason: "the deadline cannot be met"}
}

// candidates returns the endpoints that may get the request. Suspect endpoints are
// included only if all are suspect.
func (p *Placer) candidates(now time.Time, s *pool, r *request) []*node {
	healthy, all := make([]*node, 0, len(s.nodes)), make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		if why := p.exclusion(now, r, n); why != Eligible {
			switch {
			case r.recorder != nil:
				r.recorder.exclude(now, n, why)
			case why == Limited:
				p.limits.Want(n.endpoint.ID())
			}
			continue
		}
		all = append(all, n)
		if !n.suspect(now) {
			healthy = append(healthy, n)
		}
	}
	if len(healthy) == 0 {
		return all
	}
	if r.recorder != nil {
		for _, n := range all {
			if n.suspect(now) {
				r.recorder.exclude(now, n, Suspect)
			}
		}
	}
	return healthy
}

// scoredChoice is a choice with its cost in the comparison with others.
type scoredChoice struct {
	choice Choice
	cost   time.Duration
}

// prefiller is the endpoint that is chosen to prefill a prompt. Its node is nil if there is
// none.
type prefiller struct {
	node          *node
	latency, room time.Duration
	uncached      int
	// lowestCost is the lowest cost of all endpoints. That of the node may be higher by what
	// spreads choices over endpoints of different speeds.
	lowestCost time.Duration
}

// choosePrefiller returns the endpoint that prefills the prompt, as a part of the request or
// the whole of it.
func (p *Placer) choosePrefiller(now time.Time, s *pool, r *request, nodes []*node, part Part) prefiller {
	preferred := r.preferred(nodes)
	var best prefiller
	var bestRank time.Duration
	for _, n := range nodes {
		uncached := r.uncachedTokens(n, preferred)
		room := p.roomWait(s, r, n)
		latency := s.directLatency(now, r, n, uncached) + room
		cost := p.randomized(now, s, r, n, latency+p.penalty(now, n)) + s.interference(now, n, uncached)
		rank := cost + p.spread(s, r, n, latency)
		if r.recorder != nil {
			r.recorder.add(p, now, s, r, n, estimate{part, uncached, room, latency, rank})
		}
		lowestCost := cost
		if best.node != nil {
			lowestCost = min(cost, best.lowestCost)
		}
		if best.node == nil || rank < bestRank {
			best, bestRank = prefiller{node: n, latency: latency, room: room, uncached: uncached}, rank
		}
		best.lowestCost = lowestCost
	}
	return best
}

// bestDirect returns the endpoint of lowest cost that prefills the prompt itself.
func (p *Placer) bestDirect(now time.Time, s *pool, r *request, candidates []*node) scoredChoice {
	best := p.choosePrefiller(now, s, r, withoutStage(candidates, Prefill), Whole)
	if best.node == nil {
		return scoredChoice{}
	}
	return scoredChoice{cost: best.lowestCost, choice: Choice{
		Endpoint: best.node.endpointCopy(), ExpectedLatency: best.latency, UncachedTokens: best.uncached, Reason: "shortest expected time",
		roomWait: best.room,
	}}
}

// interference returns the delay of other requests if an engine prefills a
// prompt: at a prefill engine the requests queued behind it, at a decode engine
// also each running request.
func (s *pool) interference(now time.Time, n *node, uncached int) time.Duration {
	if s.engine == nil {
		return 0
	}
	percent := time.Duration(interferencePercent)
	if s.weighs() {
		percent = time.Duration(interferencePercent * s.residency.waitingBehind())
	}
	if n.endpoint.Stage() == Decode {
		percent += time.Duration(min(n.running(now), n.slots()) * decodeInterferencePercent)
	}
	return n.slowed(s.prefillTime(uncached, n.endpoint.Stage()) * percent / 100)
}

// bestRemotePrefill returns the lowest-cost pair of a prefill engine that processes
// the prompt and a decode engine of the same version that fetches its KV cache. It returns
// false if remote prefill is not possible or not worth the transfer.
func (p *Placer) bestRemotePrefill(now time.Time, s *pool, r *request, candidates []*node) (scoredChoice, bool) {
	if s.engine == nil || r.NoRemotePrefill || r.Prompt.Tokens < minRemotePrefillTokens {
		return scoredChoice{}, false
	}
	var best scoredChoice
	for _, nodes := range byVersion(candidates) {
		pair, ok := p.bestPair(now, s, r, nodes)
		if ok && (best.choice.Endpoint == nil || pair.cost < best.cost) {
			best = pair
		}
	}
	return best, best.choice.Endpoint != nil
}

// byVersion groups endpoints by the version of their software, in the order in which the
// versions first appear.
func byVersion(nodes []*node) [][]*node {
	other := func(n *node) bool { return n.endpoint.Version() != nodes[0].endpoint.Version() }
	if len(nodes) > 0 && !slices.ContainsFunc(nodes, other) {
		return [][]*node{nodes}
	}
	var groups [][]*node
	index := map[string]int{}
	for _, n := range nodes {
		i, ok := index[n.endpoint.Version()]
		if !ok {
			i = len(groups)
			index[n.endpoint.Version()] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], n)
	}
	return groups
}

// bestPair returns the lowest-cost pair of a prefill and a decode engine, or false if
// there is none.
func (p *Placer) bestPair(now time.Time, s *pool, r *request, candidates []*node) (scoredChoice, bool) {
	first := p.choosePrefiller(now, s, r, withoutStage(candidates, Decode), PrefillPart)
	if first.node == nil {
		return scoredChoice{}, false
	}
	best := p.bestDecode(now, s, r, withoutStage(candidates, Prefill))
	if best.choice.Endpoint == nil {
		return scoredChoice{}, false
	}
	best.choice.PrefillEndpoint, best.choice.PrefillUncachedTokens = first.node.endpointCopy(), first.uncached
	best.choice.PrefillLatency, best.choice.roomWait = first.latency, max(best.choice.roomWait, first.room)
	best.choice.ExpectedLatency += first.latency + s.transferTime(&r.Prompt)
	best.choice.Reason = "a prefill engine reads the prompt sooner"
	best.cost += first.lowestCost + s.transferTime(&r.Prompt) + remotePrefillPenalty
	return best, true
}

// bestDecode returns the node of lowest cost for a request whose prompt is already
// prefilled.
func (p *Placer) bestDecode(now time.Time, s *pool, r *request, nodes []*node) scoredChoice {
	var best scoredChoice
	var bestNode *node
	for _, n := range nodes {
		room := p.roomWait(s, r, n)
		latency := s.slotWait(now, n) + n.slowed(s.prefillWait(r, n)/4) + room
		cost := p.randomized(now, s, r, n, latency+p.penalty(now, n)+p.decodeCost(now, s, r, n))
		if r.recorder != nil {
			r.recorder.add(p, now, s, r, n, estimate{DecodePart, 0, room, latency, cost})
		}
		if bestNode == nil || cost < best.cost {
			bestNode, best = n, scoredChoice{cost: cost, choice: Choice{ExpectedLatency: latency, roomWait: room}}
		}
	}
	if bestNode != nil {
		best.choice.Endpoint = bestNode.endpointCopy()
	}
	return best
}

func withoutStage(nodes []*node, s Stage) []*node {
	kept := make([]*node, 0, len(nodes))
	for _, n := range nodes {
		if n.endpoint.cfg.Stage != s {
			kept = append(kept, n)
		}
	}
	return kept
}

// jitter increases a cost by a random share below jitterPercent.
func (p *Placer) jitter(d time.Duration) time.Duration {
	return d + d*time.Duration(p.nextRandom()>>33%jitterPercent)/100
}

// nextRandom returns the next state of a linear congruential generator with Knuth's
// MMIX constants; its high bits are the most random ones.
func (p *Placer) nextRandom() uint64 {
	p.randomState = p.randomState*6364136223846793005 + 1442695040888963407
	return p.randomState
}
