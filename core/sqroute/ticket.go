package sqroute

import "time"

// DispatchConfig holds the parts of a dispatch.
type DispatchConfig struct {
	Endpoint string
	// Query is the request; its pieces are noted in the cache index.
	Query *Query
	// CachedTokens is the choice's expectation.
	CachedTokens int
	// Imported is true when the KV cache came from another engine, so that
	// nothing is left to prefill.
	Imported bool
}

// Dispatch is one request in flight at one endpoint.
type Dispatch struct {
	number     uint32
	generation uint32
	open       bool
	prefilled  bool
	plain      bool
	imported   bool
	prompt     int
	cached     int
	prefill    int
	decode     int
	// ahead is the prefill work that was in the way when it was sent.
	ahead   int
	crowded bool
	running int
	sentAt  instant
	firstAt instant
}

// StartDispatch notes a dispatch; Done must follow.
func (f *Fleet) StartDispatch(now time.Time, cfg DispatchConfig) Dispatch {
	number, ok := f.byID[cfg.Endpoint]
	if !ok {
		return Dispatch{}
	}
	n := &f.nodes[number]
	sent := at(now)
	before := n.load(sent)
	t := Dispatch{
		number: number, generation: n.generation, open: true, prefilled: cfg.Imported, imported: cfg.Imported,
		prompt: cfg.Query.PromptTokens(), cached: cfg.CachedTokens, decode: cfg.Query.OutputTokens(),
		ahead: before.prefill, running: before.running + 1,
		crowded: float64(before.running) >= n.slots, sentAt: sent,
	}
	t.plain = n.endpoint.Kind() != KindEngine
	switch {
	case t.plain:
		t.prefilled, t.firstAt, t.decode = true, sent, 1
	case cfg.Imported:
		t.firstAt = sent
	default:
		t.prefill = max(0, t.prompt-t.cached)
	}
	if n.endpoint.Role() == RolePrefill {
		t.decode = 1
	}
	n.own.running++
	n.own.prefill += t.prefill
	n.own.decode += t.decode
	n.remember(sent)
	f.cache.RecordDispatch(now, number, cfg.Query.Blocks())
	return t
}

// RecordFirstToken notes that the prompt was computed.
func (f *Fleet) RecordFirstToken(now time.Time, t *Dispatch) {
	if !t.open || t.prefilled {
		return
	}
	t.prefilled = true
	t.firstAt = at(now)
	if n := f.node(t); n != nil {
		n.signAt = t.firstAt
		n.own.prefill -= t.prefill
		n.remember(t.firstAt)
		n.learnRate(t)
	}
}

// DispatchResult says how a dispatch ended.
type DispatchResult struct {
	// Failed is true when the endpoint broke its word; a caller that left or a
	// refusal by an endpoint that is changing is no failure.
	Failed       bool
	OutputTokens int
	// CachedTokens is the engine's count; it is used when Complete is set.
	CachedTokens int
	Complete     bool
}

// FinishDispatch notes the end of a dispatch and learns from it.
func (f *Fleet) FinishDispatch(now time.Time, t *Dispatch, r DispatchResult) {
	if !t.open {
		return
	}
	t.open = false
	n := f.node(t)
	if n == nil {
		return
	}
	n.own.running--
	n.own.decode -= t.decode
	if !t.prefilled {
		n.own.prefill -= t.prefill
	}
	ended := at(now)
	n.remember(ended)
	if r.Failed {
		n.failed(ended)
		return
	}
	if t.prefilled {
		n.succeeded(ended)
	}
	if r.Complete {
		f.learn(ended, n, t, r)
	}
}

// node returns the ticket's endpoint, or nil when it is gone.
func (f *Fleet) node(t *Dispatch) *node {
	n := &f.nodes[t.number]
	if n.generation != t.generation || !n.present {
		return nil
	}
	return n
}

// minLearnTokens is the least work that says something about a speed.
const (
	minLearnTokens = 200
	minLearnSteps  = 8
)

func (f *Fleet) learn(now instant, n *node, t *Dispatch, r DispatchResult) {
	if t.cached > 0 && !t.imported {
		// The expectation was made with the truth of then, which was about the
		// same.
		truth := n.truth * float64(r.CachedTokens) / float64(t.cached)
		n.truth += learnTruth * (clamp(truth, minTruth, maxTruth) - n.truth)
	}
	steps := r.OutputTokens - 1
	if t.plain {
		steps = 1
	} else if steps < minLearnSteps {
		return
	}
	each := now.since(t.firstAt).Seconds() / float64(steps)
	alone := each / crowding(float64(t.running))
	guess := f.cfg.StepTime.Seconds()
	n.stepTime += learnSteps * (clamp(alone, guess/fastest, guess*fastest) - n.stepTime)
}

// learnRate learns how fast the engine prefills from the time to the first
// token and the work that stood before it.
func (n *node) learnRate(t *Dispatch) {
	work := float64(t.ahead + t.prefill)
	took := t.firstAt.since(t.sentAt).Seconds()
	if t.crowded || work < minLearnTokens || took <= 0 {
		return
	}
	rate := clamp(work/took, n.prefillGuess/fastest, n.prefillGuess*fastest)
	n.prefillRate += learnRate * (rate - n.prefillRate)
}
