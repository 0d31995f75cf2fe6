// Package sqadmit is the admission control of an entry, the process that
// accepts callers' requests. It decides which requests run now, which wait in a
// queue and which are refused, so that each team gets its share of scarce
// capacity, other teams may use what a team leaves unused, and no request is
// accepted whose deadline cannot be met.
package sqadmit

import (
	"time"

	"sequoiadock/core/sqcommand"
)

// Defaults of Config.
const (
	DefaultOutputWeight     = 4
	DefaultBurst            = 2 * time.Second
	DefaultMaxRunning       = 64
	DefaultMaxPrefillTokens = 64_000
	DefaultMinRetryAfter    = 100 * time.Millisecond
	DefaultMaxRetryAfter    = 30 * time.Second
)

// Config configures an admitter. Fields that are zero take the defaults.
type Config struct {
	// OutputWeight is the cost of a generated token relative to that of a prompt
	// token.
	OutputWeight float64
	// Burst sizes a team's token bucket: the team may spend at once what its rate
	// yields in this time.
	Burst time.Duration
	// PoolLimits applies to pools until SetPoolLimits sets their own limits.
	PoolLimits PoolLimits
	// MinRetryAfter and MaxRetryAfter bound the retry delay of a refused request.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Weights are the deployment's objective weights; nil weighs all objectives
	// equally.
	Weights *sqcommand.Weights
}

func (cfg Config) withDefaults() Config {
	if cfg.OutputWeight <= 0 {
		cfg.OutputWeight = DefaultOutputWeight
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.PoolLimits.cfg.MaxRunning <= 0 {
		cfg.PoolLimits.cfg.MaxRunning = DefaultMaxRunning
	}
	if cfg.PoolLimits.cfg.MaxPrefillTokens <= 0 {
		cfg.PoolLimits.cfg.MaxPrefillTokens = DefaultMaxPrefillTokens
	}
	if cfg.MinRetryAfter <= 0 {
		cfg.MinRetryAfter = DefaultMinRetryAfter
	}
	if cfg.MaxRetryAfter <= 0 {
		cfg.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return cfg
}

// goodputFraction returns the weight of goodput relative to that of the
// worst-served team, from 0 (the worst-served team only) to 1 (goodput only).
func (cfg Config) goodputFraction() float64 {
	w := cfg.Weights
	sum := w.GetGoodput() + w.GetWorstTeam()
	if sum <= 0 {
		return 0.5
	}
	return w.GetGoodput() / sum
}

// maxDurationMargin is the fraction by which a request is expected to exceed its
// predicted duration when only goodput counts. A request that would then end
// after its deadline is refused before it takes capacity.
const maxDurationMargin = 0.1

// withMargin returns a predicted duration with the margin added.
func (cfg Config) withMargin(d time.Duration) time.Duration {
	return d + time.Duration(maxDurationMargin*cfg.goodputFraction()*float64(d))
}

// clampRetryAfter limits a retry delay to MinRetryAfter and MaxRetryAfter.
func (cfg Config) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, cfg.MinRetryAfter), cfg.MaxRetryAfter)
}
