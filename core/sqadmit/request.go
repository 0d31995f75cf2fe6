package sqadmit

import "time"

// RequestConfig holds the values of a Request.
type RequestConfig struct {
	// ID identifies the request in decisions; no other queued or running request
	// may have it.
	ID   uint64
	Team string
	// Pool names the capacity that the request needs: a model's engines or a
	// plain service.
	Pool string
	// Priority orders the requests of one team; a higher value runs first.
	Priority     int
	PromptTokens int
	// CachedTokens is the number of prompt tokens that an engine probably has in
	// its cache. They count towards the team's rate limit, but not towards the
	// request's cost in fair queueing.
	CachedTokens int
	OutputTokens int
	Deadline     time.Time
	// StartBy is the latest start with which the first token meets its latency
	// objective. After that time the request is queued behind those of its team
	// that can still meet theirs. The zero time means no objective.
	StartBy time.Time
	// ExpectedDuration is the predicted time from dispatch to the end.
	ExpectedDuration time.Duration
}

// Request describes a request that is offered for admission.
type Request struct {
	cfg RequestConfig
}

// NewRequest returns the request that cfg describes.
func NewRequest(cfg RequestConfig) Request { return Request{cfg: cfg} }

// ID returns the request's identifier.
func (w *Request) ID() uint64 { return w.cfg.ID }

// Team returns the team on whose behalf the request runs.
func (w *Request) Team() string { return w.cfg.Team }

// Pool returns the pool whose capacity the request needs.
func (w *Request) Pool() string { return w.cfg.Pool }

// prefillTokens returns the number of prompt tokens that are not cached.
func (w *Request) prefillTokens() int { return max(0, w.cfg.PromptTokens-w.cfg.CachedTokens) }

// rateTokens returns the tokens that are charged to the team's rate limit.
func (w *Request) rateTokens() float64 {
	return float64(w.cfg.PromptTokens + w.cfg.OutputTokens)
}

// Unbounded as a team's limit means no limit, whereas 0 allows nothing.
const Unbounded = -1

// TeamConfig holds the values of a Team. Negative limits are Unbounded.
type TeamConfig struct {
	Name string
	// Weight is the team's weight in fair queueing at this entry, at least
	// MinWeight.
	Weight float64
	// TokensPerSecond limits the team's rate at this entry.
	TokensPerSecond float64
	// TotalTokensPerSecond is the team's rate limit over all entries, or 0 if it
	// is not known.
	TotalTokensPerSecond float64
	// MaxRunning limits the team's running requests at this entry.
	MaxRunning int
	// MaxQueued limits the team's queued requests at this entry.
	MaxQueued int
}

// MinWeight is the lowest weight of a team; it keeps a team without a share from
// starving.
const MinWeight = 0.01

// Team is a team with its weight and limits at this entry.
type Team struct {
	cfg TeamConfig
}

// NewTeam returns the team that cfg describes.
func NewTeam(cfg TeamConfig) Team {
	cfg.Weight = max(cfg.Weight, MinWeight)
	return Team{cfg: cfg}
}

// Name returns the team's name.
func (t Team) Name() string { return t.cfg.Name }

// Weight returns the team's weight in fair queueing at this entry.
func (t Team) Weight() float64 { return t.cfg.Weight }

// PoolLimitsConfig holds the values of a PoolLimits.
type PoolLimitsConfig struct {
	// MaxRunning is the maximum number of requests in flight in the pool.
	MaxRunning int
	// MaxPrefillTokens is the maximum number of uncached prompt tokens of requests
	// that have no first token yet. A single request may exceed it when no other
	// request waits for its first token.
	MaxPrefillTokens int
}

// PoolLimits limits what the entry has in flight in one pool.
type PoolLimits struct {
	cfg PoolLimitsConfig
}

// NewPoolLimits returns the limits that cfg describes.
func NewPoolLimits(cfg PoolLimitsConfig) PoolLimits { return PoolLimits{cfg: cfg} }
