package sqroute

import "time"

// slowdownPerRequest is the relative increase of the time between tokens for
// each further request in the batch.
const slowdownPerRequest = 0.03

// latenessWeight is the extra cost of each second by which an objective or the
// deadline is missed.
const latenessWeight = 3

// interferenceWeight is the cost of a second of prefill for each request that
// it delays in the same batch.
const interferenceWeight = 0.05

// onDemandPenaltySeconds is the extra cost of an on-demand endpoint for
// requests that may run on spot ones. It keeps on-demand endpoints free
// for requests that may not.
const onDemandPenaltySeconds = 0.2

// homeBonusShare is the share of a block's prefill time by which the first home
// of a prefix is preferred; each further home gets half of the previous one's
// bonus.
const homeBonusShare = 0.5

// staggerPerSecond is the amount of stagger, in seconds, for each second of age
// of the last report. It keeps entries that have the same delayed reports from
// all choosing the same endpoint.
const staggerPerSecond = 0.25

// minStaggerSeconds breaks ties between endpoints of equal cost.
const minStaggerSeconds = 0.0005

// entryRankShare is the share of the stagger that depends on the entry's rank
// at the endpoint; the rest is random.
const entryRankShare = 0.7

// batchSlowdown returns the time between tokens in a batch of running requests,
// relative to a batch of 1.
func batchSlowdown(running float64) float64 { return 1 + slowdownPerRequest*max(0, running-1) }

// estimate is the expected performance of a request at one endpoint. Times are
// in seconds.
type estimate struct {
	cachedTokens  float64
	network       float64
	wait          float64
	prefill       float64
	betweenTokens float64
	// interference is the cost of the prefill to the requests that already run
	// there.
	interference float64
	load         backlog
}

func (e *estimate) firstToken() float64 { return e.network + e.wait + e.prefill + e.betweenTokens }

// scorer holds the parts of a query that every estimate needs. Times are in
// seconds; an objective or deadline of 0 means none.
type scorer struct {
	now                 instant
	q                   *Query
	promptTokens        float64
	outputTokens        float64
	firstTokenObjective float64
	interTokenObjective float64
	deadline            float64
}

func newScorer(now time.Time, q *Query) scorer {
	s := scorer{
		now: toInstant(now), q: q, promptTokens: float64(q.cfg.PromptTokens), outputTokens: float64(max(1, q.cfg.OutputTokens)),
		firstTokenObjective: q.cfg.FirstTokenObjective.Seconds(), interTokenObjective: q.cfg.InterTokenObjective.Seconds(),
	}
	if !q.cfg.Deadline.IsZero() {
		s.deadline = max(q.cfg.Deadline.Sub(now).Seconds(), 0.001)
	}
	return s
}

// estimateRequest fills in the candidate's estimate for the request.
func (f *Fleet) estimateRequest(s *scorer, c *candidate, n *node) {
	e := &c.estimate
	e.load = n.load(s.now)
	e.cachedTokens = min(min(c.cachedBlocks*n.cacheCorrection, float64(c.maxCachedBlocks))*f.blockTokens, s.promptTokens)
	e.network = 0
	if n.otherZone {
		e.network = f.crossZoneSeconds
	}
	rate := n.prefillRate * f.slowStartFactor(s.now, n)
	e.wait = float64(e.load.prefillTokens)/rate + n.slotWait(&e.load) + n.excessSilence(s.now).Seconds()
	e.prefill = (s.promptTokens - e.cachedTokens) / rate
	e.betweenTokens = n.stepTime * batchSlowdown(min(float64(e.load.running)+1, n.slots))
	e.interference = 0
	if n.endpoint.Role() != RolePrefill {
		e.interference = interferenceWeight * e.prefill * min(float64(e.load.running), n.slots)
	}
}

// slotWait returns the time until the batch has a free slot, in seconds.
func (n *node) slotWait(load *backlog) float64 {
	excess := float64(load.running) + 1 - n.slots
	if excess <= 0 || load.running == 0 {
		return 0
	}
	remaining := float64(load.decodeTokens) / float64(load.running)
	return excess / n.slots * remaining * n.stepTime * batchSlowdown(n.slots)
}

// minSlowStartFactor is the share of its speed that a new endpoint is assumed
// to have at first.
const minSlowStartFactor = 0.25

// slowStartFactor rises from minSlowStartFactor to 1 during the slow start.
func (f *Fleet) slowStartFactor(now instant, n *node) float64 {
	age := now.since(n.slowStartAt)
	if age >= f.cfg.SlowStart {
		return 1
	}
	return max(minSlowStartFactor, float64(age)/float64(f.cfg.SlowStart))
}

// cost returns the time to the whole answer, plus latenessWeight for each
// second by which an objective or the deadline is missed.
func (s *scorer) cost(firstToken, betweenTokens float64) float64 {
	total := firstToken + betweenTokens*s.outputTokens
	c := total
	if s.firstTokenObjective > 0 && firstToken > s.firstTokenObjective {
		c += latenessWeight * (firstToken - s.firstTokenObjective)
	}
	if s.interTokenObjective > 0 && betweenTokens > s.interTokenObjective {
		c += latenessWeight * (betweenTokens - s.interTokenObjective) * s.outputTokens
	}
	if s.deadline > 0 && total > s.deadline {
		c += latenessWeight * (total - s.deadline)
	}
	return c
}

// decodeCost returns the time for the part of the answer after the first token.
func (s *scorer) decodeCost(e *estimate, n *node) float64 {
	return e.network + n.slotWait(&e.load) + n.excessSilence(s.now).Seconds() + e.betweenTokens*s.outputTokens
}

// stagger returns an extra cost that steers the entry away from endpoints at
// which other entries have a lower rank. It grows with the age of the
// endpoint's last report, up to one second.
func (r *CacheAware) stagger(now instant, n *node) float64 {
	age := min(now.since(n.measuredAt).Seconds(), 1)
	fraction := r.random()
	if n.entryRank >= 0 {
		fraction = entryRankShare*n.entryRank + (1-entryRankShare)*fraction
	}
	return fraction * (minStaggerSeconds + staggerPerSecond*age)
}

// random returns a number in [0, 1), generated by splitmix64.
func (r *CacheAware) random() float64 {
	r.rngState += 0x9e3779b97f4a7c15
	z := r.rngState
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}

// spotObjectiveShare is the share of each objective within which the answer
// must be expected at a spot endpoint for that endpoint to be chosen
// regardless of the on-demand ones. The rest is a margin: estimates lag, and
// other requests in the batch need time.
const spotObjectiveShare = 0.5

// prefersSpot returns whether the request may run on spot endpoints,
// this endpoint is one, and the estimate meets the objectives with a margin. By
// cost alone, idle on-demand endpoints would take requests that a spot one
// could serve within the objectives, because they answer a little sooner.
func (r *CacheAware) prefersSpot(s *scorer, c *candidate, n *node) bool {
	if !s.q.cfg.SpotAllowed || !n.endpoint.Spot() || s.firstTokenObjective <= 0 && s.deadline <= 0 {
		return false
	}
	firstToken := c.firstToken()
	if s.firstTokenObjective > 0 && !s.q.cfg.Resume && firstToken > spotObjectiveShare*s.firstTokenObjective {
		return false
	}
	if s.interTokenObjective > 0 && c.betweenTokens > spotObjectiveShare*s.interTokenObjective {
		return false
	}
	return s.deadline <= 0 || firstToken+c.betweenTokens*s.outputTokens <= spotObjectiveShare*s.deadline
}
