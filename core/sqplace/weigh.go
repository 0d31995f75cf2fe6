package sqplace

import (
	"math"
	"time"

	"sequoiadock/core/sqattempt"
)

const (
	// orderDoubtPercent is the doubt about the order of eviction, in percent of the memory,
	// and countDoubtPercent that about the tokens used since, in percent of them.
	orderDoubtPercent = 4
	countDoubtPercent = 10
	// minProbability is the probability below which a prefix counts as not held.
	minProbability = 0.02
	// othersRateWeight is the weight of the newest exchange in the rate of tokens that
	// other gateways insert.
	othersRateWeight = 0.1
	// gapTime is the time without an exchange after which updates may have been lost.
	gapTime = 2500 * time.Millisecond
	// sampleTokens is the number of tokens in an update about requests whose prefixes are
	// too short to be reported. One in so many of these tokens is the start of an update.
	sampleTokens = 2048
	// privateShareWeight is the weight of the newest request in the share of prompts that
	// no other request shares.
	privateShareWeight = 0.02
	// minBehind and maxBehind bound how many requests are assumed to wait behind one.
	minBehind = 1.0
	maxBehind = 4.0
	// busyWeight is the weight of the newest placement in the share of busy engines.
	busyWeight = 0.05
)

// residencyModel estimates the probability that engines of a service hold a prefix. It is
// one for all engines of the service: a single gateway sends too few requests to each to
// learn about them apart.
type residencyModel struct {
	// reach is the share of the memory within which prefixes are held.
	reach float64
	// othersRate is how many tokens a second other gateways insert at one engine, as of the
	// last exchange of updates at heardAt.
	othersRate float64
	heardAt    time.Time
	// privateShare is the part of the memory of running requests that no others share.
	privateShare float64
	// busy is the mean share of engines that are prefilling.
	busy float64
}

func newResidencyModel() residencyModel { return residencyModel{reach: initialReach, privateShare: 1} }

// weighs reports whether placement weighs what engines may hold and what they have room for.
func (s *pool) weighs() bool {
	return (s.limitedMemory || s.reportsSpeed) && s.engine != nil && s.engine.KVCapacityTokens > 0
}

// weighsAny reports whether that is so for any service.
func (p *Placer) weighsAny() bool {
	for _, s := range p.services {
		if s.weighs() {
			return true
		}
	}
	return false
}

// unseen returns how many tokens other gateways have inserted at one engine since what they
// reported last.
func (m *residencyModel) unseen(now time.Time) float64 {
	if m.heardAt.IsZero() {
		return 0
	}
	return m.othersRate * now.Sub(m.heardAt).Seconds()
}

// probability returns the probability that the engine holds a prefix of the length, and how
// many tokens would be evicted after it, as a share of the memory.
func (s *pool) probability(n *node, hash prefixHash, length int, unseen float64) (probability, depth float64) {
	since, ok := n.resident.usedSince(hash)
	if !ok {
		return 0, 0
	}
	memory := float64(s.memory())
	running := float64(n.local.MemoryTokens+n.remote.MemoryTokens) * s.residency.privateShare
	ahead := max(float64(since)+unseen, running) + float64(length)
	width := memory*orderDoubtPercent/100 + float64(since)*countDoubtPercent/100 + unseen
	return 1 / (1 + math.Exp((ahead-memory*s.residency.reach)/width)), ahead / memory
}

// weighPrefixes sets how many of the request's tokens each engine is expected to hold.
func (r *request) weighPrefixes(now time.Time, s *pool) {
	r.weighed = true
	if len(s.nodes) == 0 {
		return
	}
	// Over all engines: how many are prefilling, and the memory that requests occupy.
	busy, held := 0, 0
	unseen := s.residency.unseen(now)
	for _, n := range s.nodes {
		n.expectedCached = 0
		held += n.local.MemoryTokens + n.remote.MemoryTokens
		if n.local.PrefillTokens+n.remote.PrefillTokens > 0 {
			busy++
		}
		if n.resident == nil {
			continue
		}
		probability, expected, previous := 1.0, 0.0, 0
		for i, hash := range r.hashes {
			// An engine that holds a prefix holds all shorter ones too.
			each, _ := s.probability(n, hash, r.lengths[i], unseen)
			probability = min(probability, each)
			if probability < minProbability {
				break
			}
			expected += probability * float64(r.lengths[i]-previous)
			previous = r.lengths[i]
		}
		n.expectedCached = int(expected)
		if last := len(r.lengths) - 1; last >= 0 && 2*n.expectedCached >= r.lengths[last] && n.available(now) {
			r.prefixCached = true
		}
	}
	s.occupancy.held = held
	s.residency.busy += busyWeight * (float64(busy)/float64(len(s.nodes)) - s.residency.busy)
}

// waitingBehind returns how many requests wait for one more prompt at an engine: the mean
// length of a queue whose server is busy for this share of the time.
func (m *residencyModel) waitingBehind() float64 {
	return min(max(m.busy/max(1-m.busy, 1/maxBehind), minBehind), maxBehind)
}

// residentAt returns the record of the engine's uses.
func (n *node) residentAt() *residency {
	if n.resident == nil {
		n.resident = newResidency()
	}
	return n.resident
}

// recordUses records that the engine processes a prompt, and queues the updates for other
// gateways. Of requests with short prefixes, a random sample is reported that stands for all
// of them, since they are many and fill the memory as well.
func (p *Placer) recordUses(s *pool, n *node, prompt *sqattempt.Prompt) {
	// The numbers are the caller's: none counts for more than the whole memory.
	memory := s.memory()
	hashes, lengths := prefixHashes(prompt)
	c, reported, shared := n.residentAt(), -1, 0
	for i, hash := range hashes {
		tokens := min(prompt.Parts[i].Tokens, memory)
		c.use(hash, tokens, memory)
		shared = min(shared+tokens, memory)
		if lengths[i] >= minPreferredPrefixTokens && len(p.cacheUpdates) < maxCacheUpdates {
			reported = len(p.cacheUpdates)
			p.cacheUpdates = append(p.cacheUpdates, CacheUpdate{Endpoint: n.endpoint.ID(), PrefixHash: uint64(hash), Tokens: tokens})
		}
	}
	total := s.occupiedTokens(prompt)
	own := max(0, total-shared)
	c.insert(own, memory)
	if total > 0 {
		s.residency.privateShare += privateShareWeight * (float64(own)/float64(total) - s.residency.privateShare)
	}
	if reported >= 0 {
		p.cacheUpdates[reported].SuffixTokens = own
		return
	}
	if p.nextRandom()>>33%sampleTokens < uint64(own) && len(p.cacheUpdates) < maxCacheUpdates {
		p.cacheUpdates = append(p.cacheUpdates, CacheUpdate{Endpoint: n.endpoint.ID(), SuffixTokens: max(own, sampleTokens)})
	}
}

// applyUses records what other gateways sent to engines.
func (p *Placer) applyUses(now time.Time, updates []CacheUpdate) {
	if !p.weighsAny() {
		return
	}
	received := map[*pool]int{}
	for _, u := range updates {
		n := p.nodes[u.Endpoint]
		if n == nil {
			continue
		}
		s := p.pool(n.endpoint.Service())
		if !s.weighs() {
			continue
		}
		c, memory := n.residentAt(), s.memory()
		if u.PrefixHash != 0 {
			c.use(prefixHash(u.PrefixHash), min(u.Tokens, memory), memory)
		}
		suffix := min(u.SuffixTokens, memory)
		c.insert(suffix, memory)
		received[s] += suffix
	}
	for _, s := range p.services {
		if s.weighs() {
			s.recordExchange(now, received[s])
		}
	}
}

// recordExchange records that other gateways have reported so many new tokens. After a gap
// in the exchange, what they would have reported at the usual rate counts as used, since
// their updates may be lost.
func (s *pool) recordExchange(now time.Time, received int) {
	m := &s.residency
	elapsed := now.Sub(m.heardAt)
	if m.heardAt.IsZero() || elapsed <= 0 || len(s.nodes) == 0 {
		m.heardAt = now
		return
	}
	m.heardAt = now
	each := float64(received) / float64(len(s.nodes))
	if missing := m.othersRate*elapsed.Seconds() - each; elapsed > gapTime && missing > 0 {
		for _, n := range s.nodes {
			n.residentAt().insert(int(missing), s.memory())
		}
		return
	}
	m.othersRate += othersRateWeight * (each/elapsed.Seconds() - m.othersRate)
}
