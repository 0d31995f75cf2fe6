package sqcache

import "time"

// Hit is an endpoint that probably holds the first blocks of a prompt.
type Hit struct {
	endpoint   uint32
	depth      int
	confidence float64
	blocks     float64
}

// Endpoint returns the endpoint's number.
func (h Hit) Endpoint() uint32 { return h.endpoint }

// Depth returns the number of consecutive blocks, from the first, that the
// endpoint may hold.
func (h Hit) Depth() int { return h.depth }

// Blocks returns the expected number of blocks that the endpoint holds: the sum
// of the confidence in each.
func (h Hit) Blocks() float64 { return h.blocks }

// Lookup returns the endpoints that may hold the first blocks of a prompt. The
// result is valid until the next call. Each block is looked up once for all
// endpoints: a lookup per endpoint would be too slow for long prompts.
func (x *Index) Lookup(now time.Time, blocks []uint64) []Hit {
	x.hits = x.hits[:0]
	nowSteps := x.ageSteps(now)
	for depth, hash := range blocks {
		position, ok := x.positions[hash]
		if !ok || !x.extendHits(nowSteps, &x.blocks[position], depth) {
			break
		}
	}
	for _, h := range x.hits {
		x.hitPositions[h.endpoint] = 0
	}
	return x.hits
}

// extendHits adds the block at depth to the hit of each endpoint that holds all
// blocks before it. It returns false if no endpoint holds the block.
func (x *Index) extendHits(nowSteps uint32, b *block, depth int) bool {
	b.referenced = true
	extended := false
	for i := range b.copies[:b.count] {
		c := &b.copies[i]
		confidence := x.confidence(nowSteps, c)
		if confidence <= 0 {
			continue
		}
		if depth == 0 {
			x.hits = append(x.hits, Hit{endpoint: uint32(c.endpoint), depth: 1, confidence: confidence, blocks: confidence})
			x.hitPositions[c.endpoint] = uint8(len(x.hits))
			extended = true
			continue
		}
		position := x.hitPositions[c.endpoint]
		if position == 0 || x.hits[position-1].depth != depth {
			continue
		}
		hit := &x.hits[position-1]
		hit.depth++
		hit.confidence = min(hit.confidence, confidence)
		hit.blocks += hit.confidence
		extended = true
	}
	return extended
}

// confidence returns the probability that the copy still exists, from 0 to 1.
// The decline with age is hyperbolic, which avoids computing an exponential in
// each routing decision.
func (x *Index) confidence(nowSteps uint32, c *blockCopy) float64 {
	confidence := confidenceAfter(x.endpoints[c.endpoint].decay - c.decay)
	if c.unconfirmed {
		confidence *= x.cfg.UnconfirmedConfidence
	}
	halfLife := float64(x.cfg.HalfLife / ageStep)
	return confidence * halfLife / (halfLife + float64(nowSteps-c.recordedAt))
}
