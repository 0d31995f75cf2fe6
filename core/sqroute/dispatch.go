package sqroute

import "time"

// DispatchConfig holds the parts of a Dispatch.
type DispatchConfig struct {
	Endpoint string
	// Query is the request; its blocks are recorded in the cache index.
	Query *Query
	// CachedTokens is Choice.CachedTokens, the expected number of cached prompt
	// tokens.
	CachedTokens int
	// Imported is true when the KV cache came from another engine, so that no
	// prefill is left.
	Imported bool
}

// Dispatch is one request in flight at one endpoint.
type Dispatch struct {
	index         uint32
	generation    uint32
	open          bool
	prefilled     bool
	plain         bool
	imported      bool
	promptTokens  int
	cachedTokens  int
	prefillTokens int
	decodeTokens  int
	// queuedPrefill is the number of prompt tokens that were waiting for
	// prefill at the endpoint when the request was sent.
	queuedPrefill int
	batchFull     bool
	batchSize     int
	sentAt        instant
	firstTokenAt  instant
}

// StartDispatch records that a request was sent to an endpoint. The caller must
// call FinishDispatch when the request ends. A dispatch to an unknown endpoint
// is zero, and the other methods ignore it.
func (f *Fleet) StartDispatch(now time.Time, cfg DispatchConfig) Dispatch {
	index, ok := f.indexByID[cfg.Endpoint]
	if !ok {
		return Dispatch{}
	}
	n := &f.nodes[index]
	sent := toInstant(now)
	loadBefore := n.load(sent)
	d := Dispatch{
		index: index, generation: n.generation, open: true, prefilled: cfg.Imported, imported: cfg.Imported,
		promptTokens: cfg.Query.PromptTokens(), cachedTokens: cfg.CachedTokens, decodeTokens: cfg.Query.OutputTokens(),
		queuedPrefill: loadBefore.prefillTokens, batchSize: loadBefore.running + 1,
		batchFull: float64(loadBefore.running) >= n.slots, sentAt: sent,
	}
	d.plain = n.endpoint.Kind() != KindEngine
	switch {
	case d.plain:
		d.prefilled, d.firstTokenAt, d.decodeTokens = true, sent, 1
	case cfg.Imported:
		d.firstTokenAt = sent
	default:
		d.prefillTokens = max(0, d.promptTokens-d.cachedTokens)
	}
	if n.endpoint.Role() == RolePrefill {
		d.decodeTokens = 1
	}
	n.own.running++
	n.own.prefillTokens += d.prefillTokens
	n.own.decodeTokens += d.decodeTokens
	n.recordOwnLoad(sent)
	f.cache.RecordDispatch(now, index, cfg.Query.Blocks())
	return d
}

// RecordFirstToken records that the prefill has finished and the first token
// has arrived.
func (f *Fleet) RecordFirstToken(now time.Time, d *Dispatch) {
	if !d.open || d.prefilled {
		return
	}
	d.prefilled = true
	d.firstTokenAt = toInstant(now)
	if n := f.node(d); n != nil {
		n.lastActivityAt = d.firstTokenAt
		n.own.prefillTokens -= d.prefillTokens
		n.recordOwnLoad(d.firstTokenAt)
		n.learnPrefillRate(d)
	}
}

// DispatchResult is the outcome of a dispatch.
type DispatchResult struct {
	// Failed is true when the endpoint failed to serve the request. A caller
	// that disconnected, or a refusal by an endpoint that is changing its role,
	// is not a failure.
	Failed       bool
	OutputTokens int
	// CachedTokens is the engine's count of cached prompt tokens; it is used
	// only if Complete is set.
	CachedTokens int
	Complete     bool
}

// FinishDispatch records the end of a dispatch and updates the learned speeds
// and cache correction.
func (f *Fleet) FinishDispatch(now time.Time, d *Dispatch, r DispatchResult) {
	if !d.open {
		return
	}
	d.open = false
	n := f.node(d)
	if n == nil {
		return
	}
	n.own.running--
	n.own.decodeTokens -= d.decodeTokens
	if !d.prefilled {
		n.own.prefillTokens -= d.prefillTokens
	}
	ended := toInstant(now)
	n.recordOwnLoad(ended)
	if r.Failed {
		n.recordFailure(ended)
		return
	}
	if d.prefilled {
		n.recordSuccess(ended)
	}
	if r.Complete {
		f.learnFrom(ended, n, d, r)
	}
}

// node returns the dispatch's endpoint, or nil if it has left the fleet.
func (f *Fleet) node(d *Dispatch) *node {
	n := &f.nodes[d.index]
	if n.generation != d.generation || !n.present {
		return nil
	}
	return n
}

// Minimum prompt tokens and decode steps of a request from which a speed is
// learned.
const (
	minLearnTokens = 200
	minLearnSteps  = 8
)

func (f *Fleet) learnFrom(now instant, n *node, d *Dispatch, r DispatchResult) {
	if d.cachedTokens > 0 && !d.imported {
		// The expected count includes the correction at the time of the
		// dispatch, which was about the same as the current one.
		correction := n.cacheCorrection * float64(r.CachedTokens) / float64(d.cachedTokens)
		n.cacheCorrection += cacheLearnWeight * (clamp(correction, minCacheCorrection, maxCacheCorrection) - n.cacheCorrection)
	}
	steps := r.OutputTokens - 1
	if d.plain {
		steps = 1
	} else if steps < minLearnSteps {
		return
	}
	stepTime := now.since(d.firstTokenAt).Seconds() / float64(steps)
	unbatchedStepTime := stepTime / batchSlowdown(float64(d.batchSize))
	initial := f.cfg.StepTime.Seconds()
	n.stepTime += batchLearnWeight * (clamp(unbatchedStepTime, initial/maxSpeedFactor, initial*maxSpeedFactor) - n.stepTime)
}

// learnPrefillRate updates the prefill rate from the time to the first token
// and the number of tokens prefilled until then: those of the prompt and those
// queued before it.
func (n *node) learnPrefillRate(d *Dispatch) {
	tokens := float64(d.queuedPrefill + d.prefillTokens)
	elapsed := d.firstTokenAt.since(d.sentAt).Seconds()
	if d.batchFull || tokens < minLearnTokens || elapsed <= 0 {
		return
	}
	rate := clamp(tokens/elapsed, n.initialPrefillRate/maxSpeedFactor, n.initialPrefillRate*maxSpeedFactor)
	n.prefillRate += prefillLearnWeight * (rate - n.prefillRate)
}
