package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
)

const (
	// initialDuration is taken for a request's time until one was seen.
	initialDuration = 100 * time.Millisecond
	durationWeight  = 0.05
	// paceWeight, minPace and maxPace bound how fast and how far the observed
	// times to a first token correct the estimate.
	paceWeight = 0.05
	minPace    = 0.3
	maxPace    = 3.0
	// prefillTokensPerMilli is how many prompt tokens a prefill engine reads in a
	// millisecond before the pace corrects it; a decode engine reads
	// between the tokens of others and in shorter pieces.
	prefillTokensPerMilli = 40.0
	decodeTokensPerMilli  = 16.0
	// firstTokenBase is the time to a first token with nothing to read.
	firstTokenBase = 15 * time.Millisecond
	// transferBase is the time to begin a KV transfer.
	transferBase = 6 * time.Millisecond
	// failureCost is what an endpoint that fails every request is taken to be
	// slower by.
	failureCost = 600 * time.Millisecond
	// zoneCost stands for the bytes that another availability zone costs.
	zoneCost = 4 * time.Millisecond
	// harmPercent of the time that an engine reads is what other requests lose by
	// it. It keeps prompts at the engines that have their shared parts.
	harmPercent = 100
	// harmPercentEach is what a request that makes tokens loses of the time in which
	// its engine reads.
	harmPercentEach = 8
	// coldDivisor is the part of the time that an endpoint is still slow for that
	// a request is taken to lose.
	coldDivisor = 8
	// urgentReadPercent is the part of the tokens in front of an urgent request
	// that it waits for: the engine reads it before what is less urgent.
	urgentReadPercent = 40
)

// request is a query with what all estimates of it share.
type request struct {
	*Query
	names   []chain
	lengths []int
	// kept is set if an engine is known to have the whole shared beginning.
	kept bool
}

func newRequest(q *Query, s *pool) *request {
	names, lengths := chains(&q.Prompt)
	r := &request{Query: q, names: names, lengths: lengths}
	for _, n := range s.nodes {
		if last := len(lengths) - 1; last >= 0 && !n.endpoint.Draining() && n.cache.known(names, lengths) == lengths[last] {
			r.kept = true
		}
	}
	return r
}

// unread returns how many prompt tokens the endpoint has to read.
func (r *request) unread(n, home *node) int {
	have := n.cache.known(r.names, r.lengths)
	if last := len(r.lengths) - 1; n == home && !r.kept && have < r.lengths[last] {
		have = max(have, r.lengths[last]*(100-homeUnreadPercent)/100)
	}
	return max(0, r.Prompt.Tokens-have)
}

func tokensPerMilli(s Stage) float64 {
	if s == Prefill {
		return prefillTokensPerMilli
	}
	return decodeTokensPerMilli
}

// readTime returns how long an engine of the stage takes to read tokens.
func (s *pool) readTime(tokens int, stage Stage) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMilli(stage) * s.pace[stage] * float64(time.Millisecond))
}

// slotWait returns how long a request waits until it may run.
func (s *pool) slotWait(now time.Time, n *node) time.Duration {
	over := n.running(now) - n.slots() + 1
	if over <= 0 {
		return 0
	}
	return s.duration * time.Duration(over) / time.Duration(n.slots())
}

// readWait returns how long the prompts in front of a request take.
func (s *pool) readWait(r *request, n *node) time.Duration {
	tokens := n.own.PendingPrefillTokens + n.others.PendingPrefillTokens
	if r.Urgent {
		tokens = tokens * urgentReadPercent / 100
	}
	return s.readTime(tokens, n.endpoint.cfg.Stage)
}

// direct returns the time to the first token if the endpoint reads the prompt
// itself; for a plain service, to the answer.
func (s *pool) direct(now time.Time, r *request, n *node, unread int) time.Duration {
	if s.engine == nil {
		return s.duration + s.slotWait(now, n)
	}
	return firstTokenBase + s.slotWait(now, n) + s.readWait(r, n) + s.readTime(unread, n.endpoint.cfg.Stage)
}

// transfer returns the time to move the KV cache of a whole prompt.
func (s *pool) transfer(p *sqattempt.Prompt) time.Duration {
	const bitsPerByte, mega = 8, 1e6
	if s.engine.LinkMbps <= 0 {
		return transferBase
	}
	seconds := float64(p.Tokens) * float64(s.engine.KVBytesPerToken) * bitsPerByte / (s.engine.LinkMbps * mega)
	return transferBase + time.Duration(seconds*float64(time.Second))
}

// penalty returns what is added to an endpoint's time in the comparison with
// others, though the request itself does not wait for it.
func (p *Placer) penalty(n *node) time.Duration {
	cost := time.Duration(n.failures*float64(failureCost)) + n.endpoint.cfg.ColdRemaining/coldDivisor
	if n.endpoint.cfg.Zone != p.cfg.Zone {
		cost += zoneCost
	}
	return cost
}

// learnPace corrects the estimate by an observed time to a first token.
func (s *pool) learnPace(stage Stage, expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := s.pace[stage] * float64(observed) / float64(expected)
	s.pace[stage] += paceWeight * (min(max(ratio, minPace), maxPace) - s.pace[stage])
}

func (s *pool) learnDuration(d time.Duration) {
	s.duration += time.Duration(durationWeight * float64(d-s.duration))
}
