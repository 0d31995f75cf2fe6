package sqplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqattempt"
)

const (
	// prefixCachePercent is the share of an engine's KV cache memory assumed to hold
	// cached prefixes; the rest is for running requests.
	prefixCachePercent = 75
	// minPreferredPrefixTokens is the minimum length of a shared prefix that has a
	// preferred engine.
	minPreferredPrefixTokens = 512
	// preferredUncachedPercent is the share of a prefix assumed uncached at its
	// preferred engine while no engine is known to hold the prefix: another gateway
	// may just have sent it there.
	preferredUncachedPercent = 50
)

// prefixHash identifies a model and a prompt prefix that ends after one part.
type prefixHash uint64

// prefixHashes returns the hash of each prefix that ends after a part of the
// prompt, and its length in tokens. The whole prompt is left out, since its last
// part belongs to the request alone.
func prefixHashes(p *sqattempt.Prompt) ([]prefixHash, []int) {
	if len(p.Parts) < 2 {
		return nil, nil
	}
	shared := p.Parts[:len(p.Parts)-1]
	hashes, lengths := make([]prefixHash, 0, len(shared)), make([]int, 0, len(shared))
	h := xxhash.New()
	_, _ = h.WriteString(p.Model)
	length := 0
	for _, part := range shared {
		// xxhash writes never return an error; the zero byte terminates the string.
		_, _ = h.WriteString(part.ID)
		_, _ = h.Write([]byte{0})
		length += part.Tokens
		hashes = append(hashes, prefixHash(h.Sum64()))
		lengths = append(lengths, length)
	}
	return hashes, lengths
}

// prefixCache models the prefixes that an engine holds in its KV cache, with
// eviction of the least recently used.
type prefixCache struct {
	entries map[prefixHash]cacheEntry
	tokens  int
}

type cacheEntry struct {
	tokens int
	usedAt time.Time
}

func newPrefixCache() *prefixCache { return &prefixCache{entries: map[prefixHash]cacheEntry{}} }

// touch records a use of the prefix at now; tokens is the length of the prefix's
// last part. Above capacity, the least recently used prefixes are evicted; a
// capacity of 0 is unlimited.
func (c *prefixCache) touch(now time.Time, hash prefixHash, tokens, capacity int) {
	if old, ok := c.entries[hash]; ok {
		c.tokens -= old.tokens
	}
	c.entries[hash] = cacheEntry{tokens: tokens, usedAt: now}
	c.tokens += tokens
	for capacity > 0 && c.tokens > capacity && len(c.entries) > 1 {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest prefixHash
	var oldestUse time.Time
	for hash, e := range c.entries {
		if oldestUse.IsZero() || e.usedAt.Before(oldestUse) {
			oldest, oldestUse = hash, e.usedAt
		}
	}
	c.tokens -= c.entries[oldest].tokens
	delete(c.entries, oldest)
}

// cachedTokens returns the length of the longest of a prompt's prefixes that the
// engine is known to hold, in tokens.
func (c *prefixCache) cachedTokens(hashes []prefixHash, lengths []int) int {
	tokens := 0
	for i, hash := range hashes {
		if _, ok := c.entries[hash]; !ok {
			break
		}
		tokens = lengths[i]
	}
	return tokens
}

// rendezvousScore ranks the engines for a prefix by rendezvous hashing: the engine
// with the highest score is preferred. All gateways compute the same ranking, so
// they agree without a message.
func rendezvousScore(hash prefixHash, endpoint string) uint64 {
	h := xxhash.New()
	var b [8]byte
	for i := range b {
		b[i] = byte(hash >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(endpoint)
	return h.Sum64()
}

// CacheUpdate reports that an engine was sent a shared prompt prefix to prefill.
type CacheUpdate struct {
	Endpoint   string
	PrefixHash uint64
	// Tokens is the length of the prefix's last part.
	Tokens int
	// SuffixTokens is the length of the rest of the prompt after the prefix. The rest
	// takes cache memory too, though no other request shares it.
	SuffixTokens int
}

// maxCacheUpdates bounds the updates that were not sent to other gateways yet.
const maxCacheUpdates = 512

// TakeCacheUpdates returns and clears the updates since the last call.
func (p *Placer) TakeCacheUpdates() []CacheUpdate {
	updates := p.cacheUpdates
	p.cacheUpdates = nil
	return updates
}

// ApplyCacheUpdates records the prefixes that other gateways sent to engines.
func (p *Placer) ApplyCacheUpdates(now time.Time, updates []CacheUpdate) {
	p.applyUses(now, updates)
	for _, u := range updates {
		n := p.nodes[u.Endpoint]
		if n == nil {
			continue
		}
		if s := p.pool(n.endpoint.Service()); !s.weighs() {
			capacity := s.cacheCapacity()
			n.cache.touch(now, prefixHash(u.PrefixHash), u.Tokens, capacity)
			p.touchSuffix(now, n, u.SuffixTokens, capacity)
		}
	}
}

// touchSuffix records the part of a prompt that no other request shares, under a
// random hash, so that it takes up cache capacity but is never found.
func (p *Placer) touchSuffix(now time.Time, n *node, tokens, capacity int) {
	if tokens > 0 {
		n.cache.touch(now, prefixHash(p.nextRandom()), tokens, capacity)
	}
}

// cacheCapacity returns how many prompt tokens an engine of the service caches, or 0
// if the service has no engine parameters.
func (s *pool) cacheCapacity() int {
	if s.engine == nil {
		return 0
	}
	return s.engine.KVCapacityTokens * prefixCachePercent / 100
}

// preferredNode returns the node with the highest rendezvous score for the prompt's
// longest shared prefix, or nil if the prefix is shorter than
// minPreferredPrefixTokens.
func preferredNode(hashes []prefixHash, lengths []int, nodes []*node) *node {
	last := len(hashes) - 1
	if last < 0 || lengths[last] < minPreferredPrefixTokens {
		return nil
	}
	var best *node
	var bestScore uint64
	for _, n := range nodes {
		if score := rendezvousScore(hashes[last], n.endpoint.ID()); best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}
