package sqplace

import (
	"math"
	"time"

	"sequoiadock/core/sqattempt"
)

const (
	// initialReach is the share of an engine's memory within which prefixes are assumed to be
	// held, before observed times to the first token correct it to between minReach and
	// maxReach.
	initialReach = 0.9
	minReach     = 0.05
	maxReach     = 1.2
	// reachStep is how far one certain observation moves the reach towards the place in the
	// memory that it contradicts the reach at, and reachReturn how far the reach returns to
	// its initial value with each, so that the faults of a time do not stay.
	reachStep   = 0.5
	reachReturn = 0.005
	// maxCertainty bounds the probability that observations start from, so that they can
	// correct a wrong reach.
	maxCertainty = 0.9
	// firstTokenDeviation is the standard deviation of the logarithm of the time to the first
	// token about its expectation, and minRatio by how much the expectations with and
	// without the prefix differ at least if an observation can tell them apart.
	firstTokenDeviation = 0.4
	minRatio            = 1.5
	// minDelayLikelihood bounds the likelihood of any time above the expected one from below,
	// relative to that of the expected one.
	minDelayLikelihood = 0.1
)

// prefixExpectation is what was expected of the first token of one request.
type prefixExpectation struct {
	probability, depth float64
	// held and evicted are the times to the first token with and without the prefix. Both
	// are 0 if an observation cannot tell them apart.
	held, evicted time.Duration
}

// expectPrefix returns what is expected of the request's first token at the node.
func (s *pool) expectPrefix(now time.Time, n *node, prompt *sqattempt.Prompt) prefixExpectation {
	hashes, lengths := prefixHashes(prompt)
	last := len(hashes) - 1
	if last < 0 || n.resident == nil {
		return prefixExpectation{}
	}
	e := prefixExpectation{}
	e.probability, e.depth = s.probability(n, hashes[last], lengths[last], s.residency.unseen(now))
	if e.depth == 0 {
		return prefixExpectation{}
	}
	stage := n.endpoint.Stage()
	e.held = firstTokenOverhead + n.slowed(s.prefillTime(prompt.Tokens-lengths[last], stage))
	e.evicted = firstTokenOverhead + n.slowed(s.prefillTime(prompt.Tokens, stage))
	if float64(e.evicted) < minRatio*float64(e.held) {
		return prefixExpectation{}
	}
	return e
}

// correctReach corrects the reach by an observed time to the first token, and returns which
// of the two expected times it confirms.
func (s *pool) correctReach(e prefixExpectation, observed time.Duration) time.Duration {
	prior := min(max(e.probability, 1-maxCertainty), maxCertainty)
	m := &s.residency
	held := m.likelihood(observed, e.held) * prior
	posterior := held / (held + m.likelihood(observed, e.evicted)*(1-prior) + math.SmallestNonzeroFloat64)
	switch {
	case e.depth < m.reach && posterior < prior:
		m.reach += reachStep * (prior - posterior) * (e.depth - m.reach)
	case e.depth > m.reach && posterior > prior:
		m.reach += reachStep * (posterior - prior) * (e.depth - m.reach)
	}
	m.reach += reachReturn * (initialReach - m.reach)
	m.reach = min(max(m.reach, minReach), maxReach)
	if posterior >= 0.5 {
		return e.held
	}
	return e.evicted
}

// likelihood returns how likely an observed time is if another was expected, up to a factor
// that does not depend on the expected one. Requests of other gateways that this one does not
// know of yet delay a first token as a missing prefix does, the more often the busier engines
// are.
func (m *residencyModel) likelihood(observed, expected time.Duration) float64 {
	d := math.Log(float64(max(observed, 1))/float64(expected)) / firstTokenDeviation
	if d > 0 {
		delay := max(m.busy, minDelayLikelihood)
		return delay + (1-delay)*math.Exp(-d*d/2)
	}
	return math.Exp(-d * d / 2)
}
