package sqcache

import "time"

// Hit is an endpoint that probably holds the first pieces of a prompt.
type Hit struct {
	endpoint uint32
	depth    int
	trust    float64
	pieces   float64
}

// Endpoint returns the endpoint's number.
func (h Hit) Endpoint() uint32 { return h.endpoint }

// Depth returns how many pieces from the first on it may hold.
func (h Hit) Depth() int { return h.depth }

// Blocks returns the number of pieces that it is expected to hold, each counted
// by the trust in it.
func (h Hit) Blocks() float64 { return h.pieces }

// Lookup returns the endpoints that may hold the first of the pieces. The
// result is valid until the next call. Each piece is looked up once for all
// endpoints: a look-up per endpoint would cost too much with long prompts.
func (x *Index) Lookup(now time.Time, pieces []uint64) []Hit {
	x.hits = x.hits[:0]
	step := x.steps(now)
	for depth, name := range pieces {
		slot, ok := x.slots[name]
		if !ok || !x.extend(step, &x.pieces[slot], depth) {
			break
		}
	}
	for _, h := range x.hits {
		x.place[h.endpoint] = 0
	}
	return x.hits
}

// extend counts the piece at depth for each endpoint that holds all before it.
func (x *Index) extend(step uint32, p *piece, depth int) bool {
	p.used = true
	extended := false
	for i := range p.holders[:p.count] {
		h := &p.holders[i]
		t := x.trust(step, h)
		if t <= 0 {
			continue
		}
		if depth == 0 {
			x.hits = append(x.hits, Hit{endpoint: uint32(h.endpoint), depth: 1, trust: t, pieces: t})
			x.place[h.endpoint] = uint8(len(x.hits))
			extended = true
			continue
		}
		at := x.place[h.endpoint]
		if at == 0 || x.hits[at-1].depth != depth {
			continue
		}
		hit := &x.hits[at-1]
		hit.depth++
		hit.trust = min(hit.trust, t)
		hit.pieces += hit.trust
		extended = true
	}
	return extended
}

// trust returns how likely the copy is still there, from 0 to 1. Age counts by
// a hyperbola, which needs no exponential on the way of each request.
func (x *Index) trust(step uint32, h *holder) float64 {
	t := trustAfter(x.sources[h.endpoint].doubt - h.doubt)
	if h.guessed {
		t *= x.cfg.UnconfirmedConfidence
	}
	half := float64(x.cfg.HalfLife / seenStep)
	return t * half / (half + float64(step-h.seen))
}
