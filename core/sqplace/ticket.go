package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
)

// InFlightRequest is a request in flight at an endpoint.
type InFlightRequest struct {
	node     *node
	pool     *pool
	begun    time.Time
	unread   int
	expected time.Duration
	first    bool
	firstAt  time.Time
	ended    bool
}

// Begin notes that a request is being sent to the endpoint, which has unread
// tokens of its prompt to read; expected is the time to its first token.
func (p *Placer) Begin(now time.Time, e *Endpoint, q *Query, unread int, expected time.Duration) *InFlightRequest {
	n := p.nodes[e.ID()]
	if n == nil {
		n = newNode()
	}
	s := p.pool(q.Service)
	if n.own.PendingPrefillTokens+n.others.PendingPrefillTokens > 0 || s.slotWait(now, n) > 0 {
		// What it waits for others says nothing about the engine.
		expected = 0
	}
	n.own.Running++
	n.own.PendingPrefillTokens += unread
	p.noteParts(now, s, n, &q.Prompt)
	return &InFlightRequest{node: n, pool: s, begun: now, unread: unread, expected: expected}
}

// noteParts notes that the endpoint will have the shared parts of a prompt.
func (p *Placer) noteParts(now time.Time, s *pool, n *node, prompt *sqattempt.Prompt) {
	if s.engine == nil {
		return
	}
	names, lengths := chains(prompt)
	told := -1
	for i, name := range names {
		n.cache.touch(now, name, prompt.Parts[i].Tokens, s.cacheTokens())
		if lengths[i] >= homeMinTokens && len(p.reads) < maxReads {
			told = len(p.reads)
			p.reads = append(p.reads, CacheUpdate{Endpoint: n.endpoint.ID(), PrefixHash: uint64(name), Tokens: prompt.Parts[i].Tokens})
		}
	}
	if told >= 0 {
		own := prompt.Parts[len(prompt.Parts)-1].Tokens
		p.reads[told].SuffixTokens = own
		p.touchOwn(now, n, own, s.cacheTokens())
	}
}

// RecordFirstToken notes the first token.
func (t *InFlightRequest) RecordFirstToken(now time.Time) {
	if t.first || t.ended {
		return
	}
	t.first, t.firstAt = true, now
	t.node.own.PendingPrefillTokens -= t.unread
	t.pool.learnPace(t.node.endpoint.Stage(), t.expected, now.Sub(t.begun))
}

// End notes the end of the request. Reached is false if no connection to the
// endpoint could be made.
func (t *InFlightRequest) End(now time.Time, ok, reached bool) {
	if t.ended {
		return
	}
	if !t.first {
		t.node.own.PendingPrefillTokens -= t.unread
	}
	t.ended = true
	t.node.own.Running--
	t.node.noteOutcome(now, ok, reached)
	if ok {
		t.pool.learnDuration(now.Sub(t.begun))
	}
}

// Abandon notes that the caller left before the end; it says nothing about the
// endpoint.
func (t *InFlightRequest) Abandon() {
	if t.ended {
		return
	}
	if !t.first {
		t.node.own.PendingPrefillTokens -= t.unread
	}
	t.ended = true
	t.node.own.Running--
}

// DecodeTime returns the time from the first token to now, 0 before the first.
func (t *InFlightRequest) DecodeTime(now time.Time) time.Duration {
	if !t.first || t.ended {
		return 0
	}
	return now.Sub(t.firstAt)
}
