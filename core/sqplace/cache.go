package sqplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqattempt"
)

const (
	// cacheUsePercent is the part of an engine's memory that cached parts are
	// taken to have; the rest is for running requests.
	cacheUsePercent = 75
	// homeMinTokens is the least length of a shared beginning that has a home.
	homeMinTokens = 512
	// homeUnreadPercent is the part of a shared beginning that its home engine is
	// taken to lack as long as no engine is known to have it: another gateway may
	// just have sent it there.
	homeUnreadPercent = 50
)

// chain names the beginning of a prompt up to and including one part.
type chain uint64

// chains returns the name of each beginning of the prompt but the whole, with
// its length in tokens. The last part belongs to the request alone.
func chains(p *sqattempt.Prompt) ([]chain, []int) {
	if len(p.Parts) < 2 {
		return nil, nil
	}
	shared := p.Parts[:len(p.Parts)-1]
	names, lengths := make([]chain, 0, len(shared)), make([]int, 0, len(shared))
	h := xxhash.New()
	_, _ = h.WriteString(p.Model)
	length := 0
	for _, part := range shared {
		// A hash never gives an error; the zero byte ends the string.
		_, _ = h.WriteString(part.ID)
		_, _ = h.Write([]byte{0})
		length += part.Tokens
		names = append(names, chain(h.Sum64()))
		lengths = append(lengths, length)
	}
	return names, lengths
}

// cache is what an engine is believed to keep, by time of last use.
type cache struct {
	entries map[chain]cached
	tokens  int
}

type cached struct {
	tokens int
	usedAt time.Time
}

func newCache() *cache { return &cache{entries: map[chain]cached{}} }

// touch notes that the engine has a beginning from now on; tokens are those of
// its last part.
func (c *cache) touch(now time.Time, name chain, tokens, capacity int) {
	if old, ok := c.entries[name]; ok {
		c.tokens -= old.tokens
	}
	c.entries[name] = cached{tokens: tokens, usedAt: now}
	c.tokens += tokens
	for capacity > 0 && c.tokens > capacity && len(c.entries) > 1 {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	var oldest chain
	var at time.Time
	for name, e := range c.entries {
		if at.IsZero() || e.usedAt.Before(at) {
			oldest, at = name, e.usedAt
		}
	}
	c.tokens -= c.entries[oldest].tokens
	delete(c.entries, oldest)
}

// known returns how many tokens of the beginnings the engine is known to have.
func (c *cache) known(names []chain, lengths []int) int {
	have := 0
	for i, name := range names {
		if _, ok := c.entries[name]; !ok {
			break
		}
		have = lengths[i]
	}
	return have
}

// homeScore orders engines for a beginning: the one with the highest score is
// its home. All gateways agree on it without a message.
func homeScore(name chain, endpoint string) uint64 {
	h := xxhash.New()
	var b [8]byte
	for i := range b {
		b[i] = byte(name >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(endpoint)
	return h.Sum64()
}

// CacheUpdate says that an engine was given a shared beginning of prompts to read.
type CacheUpdate struct {
	Endpoint   string
	PrefixHash uint64
	// Tokens is the length of the beginning's last part.
	Tokens int
	// SuffixTokens is the length of what followed the beginning in the prompt: it takes memory
	// too, though nobody asks for it again.
	SuffixTokens int
}

// maxReads bounds the reads that wait to be told to others.
const maxReads = 512

// TakeCacheUpdates returns what engines were given to read since the last call.
func (p *Placer) TakeCacheUpdates() []CacheUpdate {
	reads := p.reads
	p.reads = nil
	return reads
}

// ApplyCacheUpdates takes what other gateways gave to engines to read.
func (p *Placer) ApplyCacheUpdates(now time.Time, reads []CacheUpdate) {
	for _, r := range reads {
		if n := p.nodes[r.Endpoint]; n != nil {
			capacity := p.pool(n.endpoint.Service()).cacheTokens()
			n.cache.touch(now, chain(r.PrefixHash), r.Tokens, capacity)
			p.touchOwn(now, n, r.SuffixTokens, capacity)
		}
	}
}

// touchOwn notes the part of a prompt that no other request shares.
func (p *Placer) touchOwn(now time.Time, n *node, tokens, capacity int) {
	if tokens > 0 {
		n.cache.touch(now, chain(p.draw()), tokens, capacity)
	}
}

// cacheTokens returns how much an engine of the service keeps of prompts.
func (s *pool) cacheTokens() int {
	if s.engine == nil {
		return 0
	}
	return s.engine.KVCapacityTokens * cacheUsePercent / 100
}

// home returns the home of the longest shared beginning among the nodes, or nil
// if it is too short to have one.
func home(names []chain, lengths []int, nodes []*node) *node {
	last := len(names) - 1
	if last < 0 || lengths[last] < homeMinTokens {
		return nil
	}
	var best *node
	var most uint64
	for _, n := range nodes {
		if s := homeScore(names[last], n.endpoint.ID()); best == nil || s > most {
			best, most = n, s
		}
	}
	return best
}
