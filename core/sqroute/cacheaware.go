package sqroute

import "time"

// CacheAware chooses the endpoint with the lowest cost: the estimated time to
// the whole answer, given the prompt blocks that each engine probably has
// cached, plus penalties. It is not safe for concurrent use.
type CacheAware struct {
	fleet *Fleet
	// rngState is the state of the random number generator.
	rngState   uint64
	candidates []candidate
	// candidatePositions holds, for each endpoint index, the epoch in which the
	// endpoint became a candidate (upper 32 bits) and its position in
	// candidates (lower 32 bits).
	candidatePositions []uint64
	epoch              uint64
	// split is the best split for the last routed request; Explain reads it.
	split split
}

// split is a way to run a request on two engines: prefill and decode are
// positions in candidates.
type split struct {
	ok              bool
	prefill, decode int
	cost            float64
}

// NewCacheAware returns a cache-aware router for a fleet.
func NewCacheAware(f *Fleet) *CacheAware {
	return &CacheAware{fleet: f, rngState: f.cfg.Seed}
}

// Route returns the endpoint for a request.
func (r *CacheAware) Route(now time.Time, q *Query) Choice {
	g := r.fleet.group(q)
	if g == nil {
		return Choice{}
	}
	r.collectCandidates(now, g, q)
	s := newScorer(now, q)
	var best cheapestCandidates
	for i := range r.candidates {
		r.evaluate(&s, i, &best)
	}
	return r.chooseCheapest(&s, &best)
}

// cheapestCandidates holds the cheapest candidate for each way to run a
// request.
type cheapestCandidates struct {
	single, prefill, decode cheapestCandidate
	// spot is the spot engine with the lowest cost for the whole
	// request, among those that meet the objectives with a margin.
	spot cheapestCandidate
}

// cheapestCandidate is the candidate with the lowest cost for one way to run a
// request.
type cheapestCandidate struct {
	ok       bool
	position int
	cost     float64
}

func (c *cheapestCandidate) keepIfCheaper(position int, cost float64) {
	if !c.ok || cost < c.cost {
		*c = cheapestCandidate{ok: true, position: position, cost: cost}
	}
}

// evaluate computes a candidate's cost for each way to run the request that its
// role allows.
func (r *CacheAware) evaluate(s *scorer, position int, best *cheapestCandidates) {
	c := &r.candidates[position]
	if c.refusal = r.fleet.refusal(s.now, c.index, s.q); c.refusal != usable {
		return
	}
	n := &r.fleet.nodes[c.index]
	r.fleet.estimateRequest(s, c, n)
	bias := r.bias(s, c, n)
	role := n.endpoint.Role()
	if s.q.cfg.Resume {
		r.evaluateResume(s, position, n, bias, best)
		return
	}
	if role == RolePrefill {
		c.cost = c.firstToken() + bias
		best.prefill.keepIfCheaper(position, c.cost)
		return
	}
	c.cost = s.cost(c.firstToken(), c.betweenTokens) + c.interference + bias
	best.single.keepIfCheaper(position, c.cost)
	if r.prefersSpot(s, c, n) {
		best.spot.keepIfCheaper(position, c.cost)
	}
	// Engines with RoleBoth are kept free for whole requests.
	decodeCost := s.decodeCost(&c.estimate, n) + bias
	if role == RoleBoth {
		decodeCost += bothRolePenaltySeconds
	}
	best.decode.keepIfCheaper(position, decodeCost)
}

// evaluateResume computes the cost of continuing an answer on a candidate that
// receives the KV cache.
func (r *CacheAware) evaluateResume(s *scorer, position int, n *node, bias float64, best *cheapestCandidates) {
	if n.endpoint.Role() == RolePrefill {
		return
	}
	c := &r.candidates[position]
	c.prefill, c.cachedTokens, c.interference = 0, s.promptTokens, 0
	c.cost = s.decodeCost(&c.estimate, n) + bias
	best.single.keepIfCheaper(position, c.cost)
	if r.prefersSpot(s, c, n) {
		best.spot.keepIfCheaper(position, c.cost)
	}
}

// bothRolePenaltySeconds is the extra cost of an engine with RoleBoth, against
// a decode engine, for the decode part of a split.
const bothRolePenaltySeconds = 0.05

// bias returns the part of the cost that does not depend on the duration of the
// request.
func (r *CacheAware) bias(s *scorer, c *candidate, n *node) float64 {
	b := r.stagger(s.now, n)
	if s.q.cfg.SpotAllowed && !n.endpoint.Spot() {
		b += onDemandPenaltySeconds
	}
	if c.homeRank > 0 {
		blockSeconds := float64(r.fleet.cfg.BlockTokens) / n.prefillRate
		b -= homeBonusShare * blockSeconds / float64(uint(1)<<(c.homeRank-1))
	}
	return b
}

// chooseCheapest compares running the request on one engine with splitting it
// between two.
func (r *CacheAware) chooseCheapest(s *scorer, best *cheapestCandidates) Choice {
	if !best.single.ok && !best.prefill.ok {
		return Choice{}
	}
	r.planSplit(s, best)
	if best.spot.ok {
		best.single = best.spot
		c := r.singleChoice(s, best)
		c.prefersSpot = true
		return c
	}
	if !r.split.ok || best.single.ok && best.single.cost <= r.split.cost {
		return r.singleChoice(s, best)
	}
	p, d := &r.candidates[r.split.prefill], &r.candidates[r.split.decode]
	c := r.newChoice(s, p, p.firstToken(), d.betweenTokens)
	c.decodeEndpoint = r.fleet.nodes[d.index].endpoint.ID()
	c.cost = r.split.cost
	c.total += toDuration(r.fleet.transferSeconds(s.q))
	return c
}

// planSplit computes the best split between two engines.
func (r *CacheAware) planSplit(s *scorer, best *cheapestCandidates) {
	r.split = split{prefill: best.prefill.position, decode: best.decode.position}
	if !best.prefill.ok || !best.decode.ok || s.q.cfg.OutputTokens < minSplitOutputTokens {
		return
	}
	p, d := &r.candidates[best.prefill.position], &r.candidates[best.decode.position]
	transfer := r.fleet.transferSeconds(s.q)
	penalty := s.cost(p.firstToken(), d.betweenTokens+transfer/s.outputTokens) - p.firstToken() - d.betweenTokens*s.outputTokens - transfer
	r.split.ok = true
	r.split.cost = best.prefill.cost + best.decode.cost + transfer + penalty
}

// minSplitOutputTokens is the smallest expected output for which a split can be
// faster.
const minSplitOutputTokens = 2

// transferSeconds returns the time to move the prompt's KV cache between
// engines.
func (f *Fleet) transferSeconds(q *Query) float64 {
	return f.cfg.TransferOverhead.Seconds() + float64(q.cfg.PromptTokens)/f.cfg.TransferRate
}

func (r *CacheAware) singleChoice(s *scorer, best *cheapestCandidates) Choice {
	if !best.single.ok {
		return Choice{}
	}
	c := &r.candidates[best.single.position]
	choice := r.newChoice(s, c, c.firstToken(), c.betweenTokens)
	choice.cost = best.single.cost
	return choice
}

func (r *CacheAware) newChoice(s *scorer, c *candidate, firstToken, betweenTokens float64) Choice {
	maxWait := r.fleet.cfg.TargetWait.Seconds()
	if s.firstTokenObjective > 0 {
		maxWait = s.firstTokenObjective / 2
	}
	return Choice{
		prefillEndpoint: r.fleet.nodes[c.index].endpoint.ID(),
		cachedTokens:    int(c.cachedTokens),
		firstToken:      toDuration(firstToken),
		interToken:      toDuration(betweenTokens),
		total:           toDuration(firstToken + betweenTokens*s.outputTokens),
		saturated:       c.wait > maxWait,
		epoch:           r.epoch,
	}
}

func toDuration(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
