package sqentry

import (
	"sync"

	"sequoiadock/io/sqrpc"
)

// modelDemand sums up the work for each model, from which the holder plans
// engine roles and endpoint counts. Refused requests count as arrived, because
// they are demand as well.
type modelDemand struct {
	mu     sync.Mutex
	models map[string]*sqrpc.ModelDemand
}

func newModelDemand() *modelDemand {
	return &modelDemand{models: make(map[string]*sqrpc.ModelDemand)}
}

// pendingWork is the part of one request's work that is not done yet.
type pendingWork struct {
	totals                      *modelDemand
	model                       string
	prefillTokens, decodeTokens uint64
}

// add records a request with its expected uncached prompt tokens and output
// tokens. The caller must call finish on the result.
func (m *modelDemand) add(model string, prefill, decode int, spotAllowed bool) *pendingWork {
	w := &pendingWork{totals: m, model: model, prefillTokens: uint64(max(0, prefill)), decodeTokens: uint64(max(0, decode))}
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.models[model]
	if d == nil {
		d = &sqrpc.ModelDemand{Model: model}
		m.models[model] = d
	}
	d.PrefillArrived += w.prefillTokens
	d.DecodeArrived += w.decodeTokens
	d.PrefillOpen += w.prefillTokens
	d.DecodeOpen += w.decodeTokens
	if !spotAllowed {
		d.DearArrived += w.prefillTokens + w.decodeTokens
	}
	return w
}

// prefillDone removes the request's prefill work. It is idempotent.
func (w *pendingWork) prefillDone() {
	if w == nil {
		return
	}
	w.totals.mu.Lock()
	defer w.totals.mu.Unlock()
	w.totals.models[w.model].PrefillOpen -= w.prefillTokens
	w.prefillTokens = 0
}

// finish removes all remaining work of the request.
func (w *pendingWork) finish() {
	w.prefillDone()
	w.totals.mu.Lock()
	defer w.totals.mu.Unlock()
	w.totals.models[w.model].DecodeOpen -= w.decodeTokens
	w.decodeTokens = 0
}

// snapshot returns a copy of the demand of each model.
func (m *modelDemand) snapshot() []*sqrpc.ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*sqrpc.ModelDemand, 0, len(m.models))
	for _, d := range m.models {
		list = append(list, &sqrpc.ModelDemand{
			Model: d.Model, PrefillArrived: d.PrefillArrived, DecodeArrived: d.DecodeArrived,
			PrefillOpen: d.PrefillOpen, DecodeOpen: d.DecodeOpen, DearArrived: d.DearArrived,
		})
	}
	return list
}
