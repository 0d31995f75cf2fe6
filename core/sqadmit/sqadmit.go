// Package sqadmit decides which requests run now, which wait and which are
// refused, so that each team gets its share of what is short, unused shares
// are lent, and no request is accepted whose deadline cannot be met.
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

// Config sets up an admitter. Fields left at zero take the defaults.
type Config struct {
	// OutputWeight is what a generated token costs of a share against a prompt
	// token.
	OutputWeight float64
	// Burst is how long a team may use its rate ahead.
	Burst time.Duration
	// PoolLimits is used for pools without a room of their own.
	PoolLimits PoolLimits
	// MinRetryAfter and MaxRetry bound the time that a refusal names.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Weights are what the deployment values; nil weighs all alike.
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

// goodput returns from 0 to 1 how much the deployment values goodput against
// its worst-served team.
func (cfg Config) goodput() float64 {
	w := cfg.Weights
	sum := w.GetGoodput() + w.GetWorstTeam()
	if sum <= 0 {
		return 0.5
	}
	return w.GetGoodput() / sum
}

// lateMargin is by how much a request is expected to overrun when goodput is
// all that counts: what would end late is refused before it takes room.
const lateMargin = 0.1

func (cfg Config) margin(d time.Duration) time.Duration {
	return d + time.Duration(lateMargin*cfg.goodput()*float64(d))
}

func (cfg Config) retry(d time.Duration) time.Duration {
	return min(max(d, cfg.MinRetryAfter), cfg.MaxRetryAfter)
}
