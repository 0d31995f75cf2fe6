package sqroute

import "time"

// CacheAware chooses by the estimated time of the whole answer, with the prompt
// pieces that each engine probably holds. It is not safe for concurrent use.
type CacheAware struct {
	fleet *Fleet
	// state is that of the random numbers.
	state      uint64
	candidates []candidate
	// marks holds, for each endpoint, the epoch in which it became a candidate
	// and its place among them.
	marks []uint64
	epoch uint64
	// split is the best split of the last request, for Explain.
	split split
}

// split is a request over two engines.
type split struct {
	ok              bool
	prefill, decode int
	cost            float64
}

// NewCacheAware returns the router for a fleet.
func NewCacheAware(f *Fleet) *CacheAware {
	return &CacheAware{fleet: f, state: f.cfg.Seed}
}

// Route returns where the request goes.
func (r *CacheAware) Route(now time.Time, q *Query) Choice {
	g := r.fleet.group(q)
	if g == nil {
		return Choice{}
	}
	r.collect(now, g, q)
	s := newScorer(now, q)
	var o options
	for i := range r.candidates {
		r.weigh(&s, i, &o)
	}
	return r.settle(&s, &o)
}

// options are the best candidates, as places, for the ways to run a request.
type options struct {
	whole, prefill, decode option
	// cheap is the best cheap engine for the whole request that has time to
	// spare.
	cheap option
}

// option is the best candidate for one way.
type option struct {
	ok   bool
	at   int
	cost float64
}

func (o *option) offer(at int, cost float64) {
	if !o.ok || cost < o.cost {
		*o = option{ok: true, at: at, cost: cost}
	}
}

// weigh works out a candidate's cost for each way that its role allows.
func (r *CacheAware) weigh(s *scorer, at int, o *options) {
	c := &r.candidates[at]
	if c.refusal = r.fleet.refusal(s.now, c.number, s.q); c.refusal != usable {
		return
	}
	n := &r.fleet.nodes[c.number]
	r.fleet.expect(s, c, n)
	bias := r.bias(s, c, n)
	role := n.endpoint.Role()
	if s.q.cfg.Resume {
		r.weighRest(s, at, n, bias, o)
		return
	}
	if role == RolePrefill {
		c.cost = c.firstToken() + bias
		o.prefill.offer(at, c.cost)
		return
	}
	c.cost = s.cost(c.firstToken(), c.between) + c.harm + bias
	o.whole.offer(at, c.cost)
	if r.sparesDear(s, c, n) {
		o.cheap.offer(at, c.cost)
	}
	// An engine that does both is spared for whole requests.
	rest := s.decodeCost(&c.estimate, n) + bias
	if role == RoleBoth {
		rest += bothPenalty
	}
	o.decode.offer(at, rest)
}

// weighRest works out the cost of going on with an answer.
func (r *CacheAware) weighRest(s *scorer, at int, n *node, bias float64, o *options) {
	if n.endpoint.Role() == RolePrefill {
		return
	}
	c := &r.candidates[at]
	c.prefill, c.cached, c.harm = 0, s.prompt, 0
	c.cost = s.decodeCost(&c.estimate, n) + bias
	o.whole.offer(at, c.cost)
	if r.sparesDear(s, c, n) {
		o.cheap.offer(at, c.cost)
	}
}

// bothPenalty is what an engine that does both costs against a decode engine as
// the second half of a split, in seconds.
const bothPenalty = 0.05

// bias is what counts beside the time of the request itself.
func (r *CacheAware) bias(s *scorer, c *candidate, n *node) float64 {
	b := r.spread(s.now, n)
	if s.q.cfg.CheapAllowed && !n.endpoint.Cheap() {
		b += dearPenalty
	}
	if c.home > 0 {
		piece := float64(r.fleet.cfg.BlockTokens) / n.prefillRate
		b -= homeBonus * piece / float64(uint(1)<<(c.home-1))
	}
	return b
}

// settle compares running the request at one engine with splitting it between
// two.
func (r *CacheAware) settle(s *scorer, o *options) Choice {
	if !o.whole.ok && !o.prefill.ok {
		return Choice{}
	}
	r.join(s, o)
	if o.cheap.ok {
		o.whole = o.cheap
		c := r.atOne(s, o)
		c.sparesDear = true
		return c
	}
	if !r.split.ok || o.whole.ok && o.whole.cost <= r.split.cost {
		return r.atOne(s, o)
	}
	p, d := &r.candidates[r.split.prefill], &r.candidates[r.split.decode]
	c := r.choice(s, p, p.firstToken(), d.between)
	c.decode = r.fleet.nodes[d.number].endpoint.ID()
	c.cost = r.split.cost
	c.total += seconds(r.fleet.transfer(s.q))
	return c
}

// join works out the best split over two engines.
func (r *CacheAware) join(s *scorer, o *options) {
	r.split = split{prefill: o.prefill.at, decode: o.decode.at}
	if !o.prefill.ok || !o.decode.ok || s.q.cfg.OutputTokens < minSplitOutput {
		return
	}
	p, d := &r.candidates[o.prefill.at], &r.candidates[o.decode.at]
	moved := r.fleet.transfer(s.q)
	late := s.cost(p.firstToken(), d.between+moved/s.output) - p.firstToken() - d.between*s.output - moved
	r.split.ok = true
	r.split.cost = o.prefill.cost + o.decode.cost + moved + late
}

// minSplitOutput is the least expected output for which a split can pay.
const minSplitOutput = 2

// transfer returns the time to move the prompt's KV cache between engines.
func (f *Fleet) transfer(q *Query) float64 {
	return f.cfg.TransferOverhead.Seconds() + float64(q.cfg.PromptTokens)/f.cfg.TransferRate
}

func (r *CacheAware) atOne(s *scorer, o *options) Choice {
	if !o.whole.ok {
		return Choice{}
	}
	c := &r.candidates[o.whole.at]
	choice := r.choice(s, c, c.firstToken(), c.between)
	choice.cost = o.whole.cost
	return choice
}

func (r *CacheAware) choice(s *scorer, c *candidate, firstToken, between float64) Choice {
	limit := r.fleet.cfg.TargetWait.Seconds()
	if s.first > 0 {
		limit = s.first / 2
	}
	return Choice{
		prefill:      r.fleet.nodes[c.number].endpoint.ID(),
		cachedTokens: int(c.cached),
		firstToken:   seconds(firstToken),
		between:      seconds(between),
		total:        seconds(firstToken + between*s.output),
		saturated:    c.wait > limit,
		epoch:        r.epoch,
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
