package sqroute

import "time"

// QueryConfig holds the parts of a Query.
type QueryConfig struct {
	// Kind is KindEngine (or "") or the name of a plain service.
	Kind string
	// Model is "name" or "name@version"; it is unused for plain services.
	Model string
	// Blocks are the hashes of the prompt's prefix cache blocks, in prompt
	// order.
	Blocks       []uint64
	PromptTokens int
	// OutputTokens is the expected length of the answer, in tokens.
	OutputTokens int
	SpotAllowed  bool
	// Resume is true when the KV cache comes from another engine, so that only
	// the rest of the answer is left to generate.
	Resume   bool
	Deadline time.Time
	// FirstTokenObjective and InterTokenObjective are the service's latency
	// objectives for the first token and between tokens; 0 means no objective.
	FirstTokenObjective time.Duration
	InterTokenObjective time.Duration
	// Excluded lists the endpoints on which this request has already failed.
	Excluded []string
}

// Query is a request that needs an endpoint.
type Query struct {
	cfg QueryConfig
}

// NewQuery returns the query that cfg describes.
func NewQuery(cfg QueryConfig) Query { return Query{cfg: cfg} }

// Blocks returns the hashes of the prompt's prefix cache blocks.
func (q *Query) Blocks() []uint64 { return q.cfg.Blocks }

// PromptTokens returns the length of the prompt, in tokens.
func (q *Query) PromptTokens() int { return q.cfg.PromptTokens }

// OutputTokens returns the expected length of the answer, in tokens.
func (q *Query) OutputTokens() int { return q.cfg.OutputTokens }

// isPlain returns whether the request is for a plain service, which runs no
// model.
func (q *Query) isPlain() bool { return q.cfg.Kind != "" && q.cfg.Kind != KindEngine }

func (q *Query) excludes(id string) bool {
	for _, e := range q.cfg.Excluded {
		if e == id {
			return true
		}
	}
	return false
}

// Choice is the endpoint, or the pair of engines, selected for a request. The
// zero Choice means that no endpoint can take it.
type Choice struct {
	prefillEndpoint string
	decodeEndpoint  string
	cachedTokens    int
	firstToken      time.Duration
	interToken      time.Duration
	total           time.Duration
	saturated       bool
	cost            float64
	// prefersSpot is true when a spot endpoint was preferred to all
	// on-demand ones.
	prefersSpot bool
	// epoch identifies the call of Route that made the choice, for Explain.
	epoch uint64
}

// OK returns whether an endpoint can take the request.
func (c Choice) OK() bool { return c.prefillEndpoint != "" }

// Endpoint returns the endpoint to which the request is sent first.
func (c Choice) Endpoint() string { return c.prefillEndpoint }

// DecodeEndpoint returns the engine that continues the answer after the first token if
// the request is split, or "".
func (c Choice) DecodeEndpoint() string { return c.decodeEndpoint }

// CachedTokens returns the number of prompt tokens expected to be in the
// engine's cache.
func (c Choice) CachedTokens() int { return c.cachedTokens }

// FirstTokenLatency returns the predicted time to the first token.
func (c Choice) FirstTokenLatency() time.Duration { return c.firstToken }

// InterTokenLatency returns the predicted time between tokens.
func (c Choice) InterTokenLatency() time.Duration { return c.interToken }

// TotalLatency returns the predicted time to the last token.
func (c Choice) TotalLatency() time.Duration { return c.total }

// Saturated returns whether the wait at the endpoint would be too long (over
// half of the objective for the first token, or over Config.TargetWait without
// one), so that the request should wait in the entry's queue instead.
func (c Choice) Saturated() bool { return c.saturated }
