package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
)

// Dispatch tracks one request that was sent to an endpoint.
type Dispatch struct {
	node            *node
	pool            *pool
	startedAt       time.Time
	prefillTokens   int
	expectedLatency time.Duration
	hasFirstToken   bool
	firstTokenAt    time.Time
	ended           bool
	// speedFactor is how much longer than usual work took at the endpoint as estimated at the
	// start.
	speedFactor float64
	expectation prefixExpectation
	reservation reservation
}

// StartDispatch records that a request is being sent to the endpoint. The endpoint has to
// prefill the uncached tokens; expected is the time to the first token.
func (p *Placer) StartDispatch(now time.Time, e *Endpoint, q *Query, uncached int, expected time.Duration) *Dispatch {
	n := p.nodes[e.ID()]
	if n == nil {
		n = newNode(p.list)
	}
	s := p.pool(q.Service)
	uncached = min(uncached, maxMemoryTokens)
	if n.local.PrefillTokens+n.remote.PrefillTokens > 0 || s.slotWait(now, n) > 0 || p.roomWait(s, &request{Query: q}, n) > 0 {
		// A wait for other requests says nothing about the engine's speed.
		expected = 0
	}
	n.local.Running++
	n.local.PrefillTokens += uncached
	d := &Dispatch{node: n, pool: s, startedAt: now, prefillTokens: uncached, expectedLatency: expected, speedFactor: n.speed.Factor(now), reservation: s.reserve(n, q)}
	if s.weighs() && expected > 0 {
		d.expectation = s.expectPrefix(now, n, &q.Prompt)
	}
	p.recordPrefixes(now, s, n, &q.Prompt)
	return d
}

// recordPrefixes records that the endpoint will cache the prefixes of a prompt, and
// queues the updates for other gateways.
func (p *Placer) recordPrefixes(now time.Time, s *pool, n *node, prompt *sqattempt.Prompt) {
	if s.engine == nil {
		return
	}
	if s.weighs() {
		p.recordUses(s, n, prompt)
		return
	}
	hashes, lengths := prefixHashes(prompt)
	longestUpdate := -1
	for i, hash := range hashes {
		n.cache.touch(now, hash, prompt.Parts[i].Tokens, s.cacheCapacity())
		if lengths[i] >= minPreferredPrefixTokens && len(p.cacheUpdates) < maxCacheUpdates {
			longestUpdate = len(p.cacheUpdates)
			p.cacheUpdates = append(p.cacheUpdates, CacheUpdate{Endpoint: n.endpoint.ID(), PrefixHash: uint64(hash), Tokens: prompt.Parts[i].Tokens})
		}
	}
	if longestUpdate >= 0 {
		suffixTokens := prompt.Parts[len(prompt.Parts)-1].Tokens
		p.cacheUpdates[longestUpdate].SuffixTokens = suffixTokens
		p.touchSuffix(now, n, suffixTokens, s.cacheCapacity())
	}
}

// RecordFirstToken records that the first token arrived at now.
func (r *Dispatch) RecordFirstToken(now time.Time) {
	if r.hasFirstToken || r.ended {
		return
	}
	r.hasFirstToken, r.firstTokenAt = true, now
	r.node.local.PrefillTokens -= r.prefillTokens
	if r.expectation.held > 0 {
		r.expectedLatency = r.pool.correctReach(r.expectation, now.Sub(r.startedAt))
	}
	r.learn(now)
}

// Finish records the end of the request. Reached is false if no connection to the
// endpoint could be made.
func (r *Dispatch) Finish(now time.Time, ok, reached bool) {
	if r.ended {
		return
	}
	r.giveBack()
	r.node.recordOutcome(now, ok, reached)
	if ok {
		r.pool.updateMeanDuration(r.node.usual(now, now.Sub(r.startedAt)))
		r.pool.occupancy.record(r.reservation, now.Sub(r.startedAt))
	}
}

// Abandon records that the caller disconnected before the end. It leaves the
// endpoint's failure rate alone, since the caller's choice says nothing about the
// endpoint.
func (r *Dispatch) Abandon() {
	if r.ended {
		return
	}
	r.giveBack()
}

// giveBack subtracts what the request has occupied from the endpoint's load, at its end.
func (r *Dispatch) giveBack() {
	if !r.hasFirstToken {
		r.node.local.PrefillTokens -= r.prefillTokens
	}
	r.ended = true
	r.node.local.Running--
	r.reservation.release(r.node)
}

// DecodeTime returns the time from the first token to now, or 0 before the first
// token and after the end.
func (r *Dispatch) DecodeTime(now time.Time) time.Duration {
	if !r.hasFirstToken || r.ended {
		return 0
	}
	return now.Sub(r.firstTokenAt)
}
