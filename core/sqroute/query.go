package sqroute

import "time"

// QueryConfig holds the parts of a Query.
type QueryConfig struct {
	// Kind is KindEngine (or "") or the name of a plain service.
	Kind string
	// Model is "name" or "name@version"; unused for plain services.
	Model string
	// Blocks are the names of the prompt's pieces, from the first.
	Blocks       []uint64
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	CheapAllowed bool
	// Resume is true when the KV cache comes from another engine, so that only
	// the rest of the answer is left to generate.
	Resume   bool
	Deadline time.Time
	// FirstToken and BetweenTokens are the service's objectives; 0 is none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Excluded are endpoints that failed this request already.
	Excluded []string
}

// Query is a request that needs an endpoint.
type Query struct {
	cfg QueryConfig
}

// NewQuery returns the query that cfg describes.
func NewQuery(cfg QueryConfig) Query { return Query{cfg: cfg} }

// Blocks returns the names of the prompt's pieces.
func (q *Query) Blocks() []uint64 { return q.cfg.Blocks }

// PromptTokens returns the length of the prompt.
func (q *Query) PromptTokens() int { return q.cfg.PromptTokens }

// OutputTokens returns the expected length of the answer.
func (q *Query) OutputTokens() int { return q.cfg.OutputTokens }

// plain returns whether the request is for a plain service.
func (q *Query) plain() bool { return q.cfg.Kind != "" && q.cfg.Kind != KindEngine }

func (q *Query) excludes(id string) bool {
	for _, e := range q.cfg.Excluded {
		if e == id {
			return true
		}
	}
	return false
}

// Choice is where a request goes.
type Choice struct {
	prefill      string
	decode       string
	cachedTokens int
	firstToken   time.Duration
	between      time.Duration
	total        time.Duration
	saturated    bool
	cost         float64
	// sparesDear is true when a cheap endpoint was chosen before all dear ones.
	sparesDear bool
	// epoch is that of the candidates, for Explain.
	epoch uint64
}

// OK returns false when no live endpoint can take the request.
func (c Choice) OK() bool { return c.prefill != "" }

// Endpoint returns where the request goes first.
func (c Choice) Endpoint() string { return c.prefill }

// Decode returns the engine that goes on after the first token, when the split
// pays, or "".
func (c Choice) Decode() string { return c.decode }

// CachedTokens returns the prompt tokens expected to be in the engine's cache.
func (c Choice) CachedTokens() int { return c.cachedTokens }

// FirstToken returns the predicted time to the first token.
func (c Choice) FirstToken() time.Duration { return c.firstToken }

// BetweenTokens returns the predicted time between tokens.
func (c Choice) BetweenTokens() time.Duration { return c.between }

// Total returns the predicted time to the last token.
func (c Choice) Total() time.Duration { return c.total }

// Saturated returns whether the request would wait at the endpoint longer than
// its objective, so that it had better wait in the entry's queue.
func (c Choice) Saturated() bool { return c.saturated }
