// Package sqcache keeps what is known of the prompt prefixes in the engines'
// caches. Knowledge comes from the entry's own dispatches and from the
// engines' cache events, which are late and have gaps; so each item carries an
// age and a doubt.
package sqcache

import "time"

// Defaults of Config.
const (
	DefaultMaxBlocks             = 1 << 16
	DefaultHalfLife              = 2 * time.Minute
	DefaultClearProbability      = 0.02
	DefaultUnconfirmedConfidence = 0.8
)

// MaxEndpoints bounds the numbers of endpoints.
const MaxEndpoints = 1 << 16

// MaxCopies is the most endpoints that are remembered for one piece.
const MaxCopies = 16

// Config bounds an Index. Fields left at zero take the defaults.
type Config struct {
	// MaxBlocks bounds the pieces that are remembered.
	MaxBlocks int
	// HalfLife is the age at which knowledge is worth half.
	HalfLife time.Duration
	// ClearProbability is the likelihood that a lost event had cleared the cache.
	ClearProbability float64
	// UnconfirmedConfidence is the trust in pieces that the entry itself had sent.
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
