package sqplace

import (
	"time"

	"sequoiadock/core/sqspeed"
)

const (
	// maxDraws and minDraws bound how often an explanation repeats a choice with new random
	// numbers, and maxDrawnCosts how many costs that takes: the placer is locked meanwhile.
	maxDraws      = 64
	minDraws      = 8
	maxDrawnCosts = 4096
)

// Exclusion says why an endpoint is no candidate for a request.
type Exclusion string

// Reasons for which an endpoint is no candidate.
const (
	Eligible     Exclusion = ""
	Draining     Exclusion = "draining"
	Leaving      Exclusion = "leaving"
	Refuses      Exclusion = "refuses"
	ListTooOld   Exclusion = "listTooOld"
	OtherVersion Exclusion = "otherVersion"
	Tried        Exclusion = "tried"
	Limited      Exclusion = "limited"
	Suspect      Exclusion = "suspect"
)

// Part is what a candidate would do for the request.
type Part string

// Parts of a request.
const (
	Whole       Part = "whole"
	PrefillPart Part = "prefill"
	DecodePart  Part = "decode"
)

// Explanation says where a request would go and by which figures.
type Explanation struct {
	// Choice is that of the first draw, which the next request gets if nothing changes.
	Choice Choice
	// Draws is how often the choice was made with new random numbers. MinRetryAfter and
	// MaxRetryAfter are the range of Choice.RetryAfter.
	Draws                        int
	MinRetryAfter, MaxRetryAfter time.Duration
	// Transfer is the part of Choice.ExpectedLatency in which a KV cache is transferred.
	Transfer   time.Duration
	Candidates []*Candidate
	Excluded   []Excluded
}

// Excluded is an endpoint that is no candidate.
type Excluded struct {
	Endpoint Endpoint
	Why      Exclusion
	// For is how long that lasts, 0 if it is not known.
	For time.Duration
}

// Candidate holds the figures of one endpoint for one part of the request.
type Candidate struct {
	Endpoint Endpoint
	Part     Part
	// Expected is the time to the first token, or to the whole answer of a plain service. It is
	// the sum of SlotWait, PrefillWait, Prefill, RoomWait and Base; Base is the mean duration
	// at a plain service, and otherwise the time to the first token of a cached prompt.
	Expected, SlotWait, PrefillWait, Prefill, RoomWait, Base time.Duration
	// Penalty, Interference and Connect are added to the expected time for the comparison.
	// Interference is the delay of other requests, and Connect the cost of a new connection.
	Penalty, Interference, Connect time.Duration
	// MinCost and MaxCost are the range of the cost with its random parts, and Chosen in how
	// many draws the endpoint was chosen.
	MinCost, MaxCost time.Duration
	Chosen           int
	// CachedTokens and UncachedTokens divide the prompt. Probability is that of the longest
	// shared prefix being held, or -1 if it is not estimated.
	CachedTokens, UncachedTokens int
	Probability                  float64
	// AssumedCached is set if CachedTokens is not what the engine is known or expected to hold,
	// but what it is assumed to hold as the one that all gateways prefer for the prefix.
	AssumedCached bool
	// Local and Remote are the loads of this gateway and of the others, Running the estimate
	// that was used.
	Local, Remote Load
	Running       int
	// HasReport is set if the endpoint's own load report is used, ReportAge old.
	HasReport bool
	ReportAge time.Duration
	// SpeedPercent is how long work takes in percent of the usual time, 0 if not known. SpeedAge
	// is the age of the newest report, or -1 if it was only measured.
	SpeedPercent float64
	SpeedAge     time.Duration
	// HasIdle is set if the gateway has an idle connection that the request may use, idle for
	// IdleFor.
	HasIdle bool
	IdleFor time.Duration
}

// candidateKey identifies a Candidate.
type candidateKey struct {
	id   string
	part Part
}

// recorder collects the figures of a choice that is explained.
type recorder struct {
	candidates []*Candidate
	index      map[candidateKey]*Candidate
	excluded   []Excluded
	// repeated is set after the first draw. Only costs are recorded then.
	repeated bool
}

// scratch is what a choice changes of the placer's state, apart from its random state.
type scratch struct {
	held  int
	busy  float64
	nodes []nodeScratch
}

type nodeScratch struct {
	speed          sqspeed.Estimate
	slowFactor     float64
	expectedCached int
}

func (s *pool) scratch() scratch {
	c := scratch{held: s.occupancy.held, busy: s.residency.busy}
	for _, n := range s.nodes {
		c.nodes = append(c.nodes, nodeScratch{n.speed, n.slowFactor, n.expectedCached})
	}
	return c
}

func (s *pool) restore(c scratch) {
	s.occupancy.held, s.residency.busy = c.held, c.busy
	for i, n := range s.nodes {
		n.speed, n.slowFactor, n.expectedCached = c.nodes[i].speed, c.nodes[i].slowFactor, c.nodes[i].expectedCached
	}
}

// Explain says what Choose would return for the request, and why. It changes nothing.
func (p *Placer) Explain(now time.Time, q *Query) Explanation {
	s := p.services[q.Service]
	if s == nil {
		s = &pool{}
	}
	state, saved := p.randomState, s.scratch()
	rec := &recorder{index: map[candidateKey]*Candidate{}}
	query := *q
	query.recorder = rec
	e := Explanation{Draws: min(max(maxDrawnCosts/max(1, len(s.nodes)), minDraws), maxDraws)}
	for i := range e.Draws {
		c := p.Choose(now, &query)
		s.restore(saved)
		if i == 0 {
			e.Choice, e.MinRetryAfter, e.MaxRetryAfter = c, c.RetryAfter, c.RetryAfter
		}
		e.MinRetryAfter, e.MaxRetryAfter = min(e.MinRetryAfter, c.RetryAfter), max(e.MaxRetryAfter, c.RetryAfter)
		rec.count(&c)
	}
	p.randomState = state
	if e.Choice.PrefillEndpoint != nil {
		e.Transfer = s.transferTime(&q.Prompt)
	}
	e.Candidates, e.Excluded = rec.candidates, rec.excluded
	return e
}

// count records which candidates a draw has chosen.
func (rec *recorder) count(c *Choice) {
	rec.repeated = true
	switch {
	case c.Endpoint == nil:
	case c.PrefillEndpoint == nil:
		rec.index[candidateKey{c.Endpoint.ID(), Whole}].Chosen++
	default:
		rec.index[candidateKey{c.PrefillEndpoint.ID(), PrefillPart}].Chosen++
		rec.index[candidateKey{c.Endpoint.ID(), DecodePart}].Chosen++
	}
}

// exclude records an endpoint that is no candidate.
func (rec *recorder) exclude(now time.Time, n *node, why Exclusion) {
	if rec.repeated {
		return
	}
	x := Excluded{Endpoint: n.endpoint, Why: why}
	switch why {
	case Refuses:
		x.For = n.refusesUntil.Sub(now)
	case Suspect:
		x.For = n.suspectUntil.Sub(now)
	}
	rec.excluded = append(rec.excluded, x)
}

// estimate is what placement has computed of an endpoint for one part of a request.
type estimate struct {
	part                Part
	uncached            int
	room, latency, cost time.Duration
}

// add records the figures of a candidate.
func (rec *recorder) add(p *Placer, now time.Time, s *pool, r *request, n *node, e estimate) {
	key := candidateKey{n.endpoint.ID(), e.part}
	if c := rec.index[key]; c != nil {
		c.MinCost, c.MaxCost = min(c.MinCost, e.cost), max(c.MaxCost, e.cost)
		return
	}
	c := &Candidate{
		Endpoint: n.endpoint, Part: e.part, Expected: e.latency, SlotWait: s.slotWait(now, n), RoomWait: e.room, Penalty: p.penalty(now, n),
		MinCost: e.cost, MaxCost: e.cost, Probability: -1, Local: n.local, Remote: n.remote, Running: n.running(now),
		HasReport: !now.After(n.reportedUntil), ReportAge: now.Sub(n.reportedUntil.Add(-reportMaxAge)), SpeedAge: -1,
		HasIdle: n.connection.usable(now, r.MaxIdle), IdleFor: now.Sub(n.connection.IdleSince),
	}
	if s.engine != nil {
		c.PrefillWait = n.slowed(s.prefillWait(r, n))
	}
	switch {
	case s.engine == nil:
	case e.part == DecodePart:
		c.PrefillWait, c.Interference = e.latency-c.SlotWait-e.room, n.decodeLoad(now)-costPerDecode
	default:
		c.Prefill, c.Interference = n.slowed(s.prefillTime(e.uncached, n.endpoint.Stage())), s.interference(now, n, e.uncached)
		c.UncachedTokens, c.CachedTokens = e.uncached, r.Prompt.Tokens-e.uncached
		c.AssumedCached = c.CachedTokens > r.knownCached(n)
		if last := len(r.hashes) - 1; r.weighed && last >= 0 && n.resident != nil {
			c.Probability, _ = s.probability(n, r.hashes[last], r.lengths[last], s.residency.unseen(now))
		}
	}
	c.Base = e.latency - c.SlotWait - c.PrefillWait - c.Prefill - c.RoomWait
	if r.CountConnections && !c.HasIdle {
		c.Connect = s.connectTime + acceptCost
	}
	if n.speed.Known() && s.speeds.inUse {
		c.SpeedPercent = n.speed.Percent(now)
		if at := n.speed.ReportedAt(); !at.IsZero() {
			c.SpeedAge = now.Sub(at)
		}
	}
	rec.index[key] = c
	rec.candidates = append(rec.candidates, c)
}
