// Package sqcache is an index of the prompt prefixes in the engines' caches. It
// learns them from the entry's own dispatches and from the engines' cache
// events. Events arrive late and with gaps, so the confidence in each copy
// declines with its age and with lost events. A cache block is identified by a
// hash that covers the prompt from its start to the end of the block; the
// engines' API calls a block a piece.
package sqcache

import "time"

// Defaults of Config.
const (
	DefaultMaxBlocks             = 1 << 16
	DefaultHalfLife              = 2 * time.Minute
	DefaultClearProbability      = 0.02
	DefaultUnconfirmedConfidence = 0.8
)

// MaxEndpoints is the upper bound (exclusive) of endpoint numbers.
const MaxEndpoints = 1 << 16

// MaxCopies is the maximum number of endpoints recorded for one block.
const MaxCopies = 16

// Config configures an Index. Zero fields take the defaults.
type Config struct {
	// MaxBlocks is the maximum number of blocks in the index.
	MaxBlocks int
	// HalfLife is the age at which the confidence in a copy has halved.
	HalfLife time.Duration
	// ClearProbability is the probability that a lost event had cleared the
	// cache.
	ClearProbability float64
	// UnconfirmedConfidence is the initial confidence, from 0 to 1, in a copy
	// that is known only from the entry's own dispatch.
	UnconfirmedConfidence float64
}

func (cfg Config) withDefaults() Config {
	if cfg.MaxBlocks <= 0 {
		cfg.MaxBlocks = DefaultMaxBlocks
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = DefaultHalfLife
	}
	if cfg.ClearProbability <= 0 {
		cfg.ClearProbability = DefaultClearProbability
	}
	if cfg.UnconfirmedConfidence <= 0 {
		cfg.UnconfirmedConfidence = DefaultUnconfirmedConfidence
	}
	return cfg
}
