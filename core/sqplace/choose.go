package sqplace

import (
	"slices"
	"time"
)

const (
	// stagedMinTokens is the least unread length that is worth a KV transfer.
	stagedMinTokens = 64
	// stagedCost stands for the price of a KV transfer.
	stagedCost = 15 * time.Millisecond
	// servablePercent is the part of the time left in which the first token must
	// be expected, or the request is refused at once.
	servablePercent = 85
	// jitterPercent spreads gateways that see the same figures.
	jitterPercent = 15
	// shortestRetry and longestRetry bound when a refused request may come back.
	shortestRetry = 200 * time.Millisecond
	longestRetry  = 3 * time.Second
)

// Choose returns where the request goes at now.
func (p *Placer) Choose(now time.Time, q *Query) Choice {
	s := p.services[q.Service]
	if s == nil || len(s.nodes) == 0 {
		return Choice{RetryAfter: longestRetry / 3, Reason: "no endpoint is listed for the service"}
	}
	r := newRequest(q, s)
	open := p.open(now, s, r)
	best := p.bestDirect(now, s, r, open)
	if staged, ok := p.bestStaged(now, s, r, open); ok {
		if best.choice.Endpoint == nil || staged.cost < best.cost {
			best = staged
		}
	}
	c := best.choice
	if c.Endpoint == nil {
		return Choice{RetryAfter: longestRetry / 3, Reason: "no endpoint can be reached"}
	}
	if servable := q.TimeLeft * servablePercent / 100; c.ExpectedLatency > servable {
		wait := min(max(c.ExpectedLatency-servable, shortestRetry), longestRetry)
		return Choice{ExpectedLatency: c.ExpectedLatency, RetryAfter: wait, Reason: "the deadline cannot be met"}
	}
	return c
}

// ChooseDecode returns the engine that makes the tokens of a request whose prompt
// another engine has read.
func (p *Placer) ChooseDecode(now time.Time, q *Query) Choice {
	s := p.services[q.Service]
	if s == nil {
		return Choice{Reason: "no endpoint is listed for the service"}
	}
	r := newRequest(q, s)
	c := p.leastWait(now, s, r, withoutStage(p.open(now, s, r), Prefill)).choice
	if c.Endpoint == nil {
		c.Reason = "no engine can make the tokens"
	}
	return c
}

// open returns the endpoints that may get the request: if all of them are
// suspect, those too.
func (p *Placer) open(now time.Time, s *pool, r *request) []*node {
	var sound, all []*node
	for _, n := range s.nodes {
		if n.endpoint.Draining() || slices.Contains(r.Tried, n.endpoint.ID()) {
			continue
		}
		all = append(all, n)
		if !n.suspect(now) {
			sound = append(sound, n)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// option is a choice with what it costs in the comparison.
type option struct {
	choice Choice
	cost   time.Duration
}

// bestDirect returns the cheapest endpoint that reads the prompt itself.
func (p *Placer) bestDirect(now time.Time, s *pool, r *request, open []*node) option {
	nodes := withoutStage(open, Prefill)
	h := home(r.names, r.lengths, nodes)
	var best option
	for _, n := range nodes {
		unread := r.unread(n, h)
		expected := s.direct(now, r, n, unread)
		cost := p.jitter(expected+p.penalty(n)) + s.harm(now, n, unread)
		if best.choice.Endpoint == nil || cost < best.cost {
			best = option{cost: cost, choice: Choice{
				Endpoint: n.listed(), ExpectedLatency: expected, UncachedTokens: unread, Reason: "shortest expected time",
			}}
		}
	}
	return best
}

// harm returns what other requests lose if an engine reads a prompt: at a prefill
// engine those that wait behind it, at a decode engine each one that runs.
func (s *pool) harm(now time.Time, n *node, unread int) time.Duration {
	if s.engine == nil {
		return 0
	}
	percent := time.Duration(harmPercent)
	if n.endpoint.Stage() == Decode {
		percent += time.Duration(min(n.running(now), n.slots()) * harmPercentEach)
	}
	return s.readTime(unread, n.endpoint.Stage()) * percent / 100
}

// bestStaged returns the cheapest pair of a prefill engine that reads the prompt
// and a decode engine that fetches its KV cache.
func (p *Placer) bestStaged(now time.Time, s *pool, r *request, open []*node) (option, bool) {
	if s.engine == nil || r.NoRemotePrefill || r.Prompt.Tokens < stagedMinTokens {
		return option{}, false
	}
	readers := withoutStage(open, Decode)
	h := home(r.names, r.lengths, readers)
	var reader *node
	var readCost, readExpected time.Duration
	unread := 0
	for _, n := range readers {
		u := r.unread(n, h)
		expected := s.direct(now, r, n, u)
		if cost := p.jitter(expected+p.penalty(n)) + s.harm(now, n, u); reader == nil || cost < readCost {
			reader, readCost, readExpected, unread = n, cost, expected, u
		}
	}
	if reader == nil {
		return option{}, false
	}
	best := p.leastWait(now, s, r, withoutStage(open, Prefill))
	if best.choice.Endpoint == nil {
		return option{}, false
	}
	best.choice.Prefill, best.choice.PrefillUncachedTokens = reader.listed(), unread
	best.choice.PrefillLatency = readExpected
	best.choice.ExpectedLatency += readExpected + s.transfer(&r.Prompt)
	best.choice.Reason = "a prefill engine reads the prompt sooner"
	best.cost += readCost + s.transfer(&r.Prompt) + stagedCost
	return best, true
}

// leastWait returns the decode engine at which a request without anything to
// read starts soonest.
func (p *Placer) leastWait(now time.Time, s *pool, r *request, nodes []*node) option {
	var best option
	for _, n := range nodes {
		expected := s.slotWait(now, n) + s.readWait(r, n)/4
		cost := p.jitter(expected + p.penalty(n) + time.Duration(n.running(now))*time.Millisecond)
		if best.choice.Endpoint == nil || cost < best.cost {
			best = option{cost: cost, choice: Choice{Endpoint: n.listed(), ExpectedLatency: expected}}
		}
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

// jitter lengthens a cost a little, by a draw of its own.
func (p *Placer) jitter(d time.Duration) time.Duration {
	return d + d*time.Duration(p.draw()>>33%jitterPercent)/100
}

// draw returns the next state of a linear congruential generator (Knuth, MMIX); its
// high bits are the random ones.
func (p *Placer) draw() uint64 {
	p.draws = p.draws*6364136223846793005 + 1442695040888963407
	return p.draws
}
