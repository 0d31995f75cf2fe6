package sqadmit

import "time"

// RequestConfig holds the parts of a Work.
type RequestConfig struct {
	// ID is the caller's handle for the request; it comes back in verdicts and
	// must not be in use.
	ID   uint64
	Team string
	// Pool names what is short: the model, or the plain service.
	Pool string
	// Priority orders requests of one team; the higher goes first.
	Priority     int
	PromptTokens int
	// CachedTokens are the prompt tokens that an engine probably has; they take
	// nothing of what is shared, but count for the team's rate.
	CachedTokens int
	OutputTokens int
	Deadline     time.Time
	// StartBy is the last start at which the first token still comes in time.
	// Once it has passed, the request goes behind those of its team that can
	// still be in time; the zero time means no such objective.
	StartBy time.Time
	// PredictedDuration is the predicted time to run it once it is dispatched.
	PredictedDuration time.Duration
}

// Request is a request that asks to run.
type Request struct {
	cfg RequestConfig
}

// NewRequest returns the work that cfg describes.
func NewRequest(cfg RequestConfig) Request { return Request{cfg: cfg} }

// ID returns the caller's handle.
func (w *Request) ID() uint64 { return w.cfg.ID }

// Team returns the team it runs for.
func (w *Request) Team() string { return w.cfg.Team }

// Pool returns what it needs.
func (w *Request) Pool() string { return w.cfg.Pool }

// prefill returns the prompt tokens that have to be computed.
func (w *Request) prefill() int { return max(0, w.cfg.PromptTokens-w.cfg.CachedTokens) }

// tokens returns what the team's rate is charged.
func (w *Request) tokens() float64 {
	return float64(w.cfg.PromptTokens + w.cfg.OutputTokens)
}

// Unbounded as a limit of a team means no limit; 0 means nothing.
const Unbounded = -1

// TeamConfig holds the parts of a Team. Negative limits are Unbounded.
type TeamConfig struct {
	Name string
	// Weight is the team's share at this entry when capacity is short; at least
	// MinWeight.
	Weight float64
	// TokensPerSecond bounds the team's rate at this entry.
	TokensPerSecond float64
	// TotalTokensPerSecond is the team's rate over all entries, if known.
	TotalTokensPerSecond float64
	// MaxRunning bounds the team's running requests at this entry.
	MaxRunning int
	// MaxQueued bounds its queued requests at this entry.
	MaxQueued int
}

// MinWeight keeps a team without a share from starving.
const MinWeight = 0.01

// Team is what this entry may use for a team.
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

// Weight returns its share at this entry.
func (t Team) Weight() float64 { return t.cfg.Weight }

// PoolLimitsConfig holds the parts of a Room.
type PoolLimitsConfig struct {
	// MaxRunning is the most requests of the pool that may be in flight.
	MaxRunning int
	// MaxPrefillTokens is the most prompt tokens that may wait for their first
	// token; one request may exceed it when nothing else is in flight.
	MaxPrefillTokens int
}

// PoolLimits bounds what the entry has in flight in one pool.
type PoolLimits struct {
	cfg PoolLimitsConfig
}

// NewPoolLimits returns the room that cfg describes.
func NewPoolLimits(cfg PoolLimitsConfig) PoolLimits { return PoolLimits{cfg: cfg} }
