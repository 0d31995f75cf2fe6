package sqplace

const (
	// segmentsPerMemory is how finely the order of uses is recorded: a segment holds the
	// tokens of this part of an engine's memory.
	segmentsPerMemory = 24
	// residencySegments is how many segments are kept. Unless prefixes are very short, they cover more tokens than fit into
	// the memory, since the engine may evict in another order.
	residencySegments = 36
	// sweepSegments is after how many segments the uses that are not covered any more are
	// forgotten.
	sweepSegments = 8
	// maxSegmentUses is after how many uses a segment ends that holds too few tokens, so that
	// the record of prefixes of few tokens is bounded.
	maxSegmentUses = 200
)

// residency records the order in which an engine last used the tokens in its KV cache. It
// does not decide which prefixes are evicted: it tells how many tokens were used since a
// prefix was, from which residencyModel estimates the probability that the engine still
// holds it. The order is kept by segments, so that neither a use nor a question depends on
// the number of prefixes.
type residency struct {
	uses map[prefixHash]prefixUse
	// tokens counts, for each segment, the tokens that were last used in it. Segment i is
	// at index i % residencySegments.
	tokens [residencySegments]int
	// current is the segment of the newest uses, filled the tokens used in it, and prefixes
	// how many uses of prefixes it has.
	current  uint64
	filled   int
	prefixes int
}

// prefixUse is the last use of a prefix.
type prefixUse struct {
	// tokens is the length of the prefix's last part.
	tokens  int
	segment uint64
}

func newResidency() *residency { return &residency{uses: map[prefixHash]prefixUse{}} }

// covers reports whether the segment is kept.
func (c *residency) covers(segment uint64) bool { return segment+residencySegments > c.current }

// use records that a prompt with the prefix is being processed; tokens is the length of the
// prefix's last part, memory that of the engine's memory in tokens.
func (c *residency) use(hash prefixHash, tokens, memory int) {
	if old, ok := c.uses[hash]; ok && c.covers(old.segment) {
		c.tokens[old.segment%residencySegments] -= old.tokens
	}
	c.uses[hash] = prefixUse{tokens: tokens, segment: c.current}
	c.prefixes++
	c.insert(tokens, memory)
}

// insert records tokens that no other request shares.
func (c *residency) insert(tokens, memory int) {
	c.tokens[c.current%residencySegments] += tokens
	c.filled += tokens
	if c.filled >= max(1, memory/segmentsPerMemory) || c.prefixes >= maxSegmentUses {
		c.startSegment()
	}
}

func (c *residency) startSegment() {
	c.current++
	c.filled, c.prefixes = 0, 0
	c.tokens[c.current%residencySegments] = 0
	if c.current%sweepSegments != 0 {
		return
	}
	for hash, u := range c.uses {
		if !c.covers(u.segment) {
			delete(c.uses, hash)
		}
	}
}

// usedSince returns how many tokens were used since the prefix was, or false if its last use
// is not known.
func (c *residency) usedSince(hash prefixHash) (int, bool) {
	u, ok := c.uses[hash]
	if !ok || !c.covers(u.segment) {
		return 0, false
	}
	// The uses of the same segment came half before and half after on average.
	tokens := max(0, c.tokens[u.segment%residencySegments]-u.tokens) / 2
	for i := u.segment + 1; i <= c.current; i++ {
		tokens += c.tokens[i%residencySegments]
	}
	return tokens, true
}
