// Package sqengine is a small model engine: it batches continuously, caches
// prefixes in pieces, and takes as long as a time model says.
package sqengine

import (
	"time"

	"sequoiadock/standin/sqrecord"
)

// Roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Config configures an Engine. All durations and rates are those of a real
// engine; Scale shortens them.
type Config struct {
	// Name is the endpoint's identity in the platform's list.
	Name string
	Role string
	// Models are loaded at start, as "model@version".
	Models []string
	// HonoursFencing makes the engine refuse orders with an old fencing number.
	HonoursFencing bool
	// WeightStoreAddress is the address of the weight store.
	WeightStoreAddress string
	Record             *sqrecord.Record
	// Seed chooses the gaps in the cache events.
	Seed uint64
	// TimeScale multiplies every duration; 0.05 makes the engine 20 times as fast.
	TimeScale float64
	TimeModel TimeModel
	Limits    Limits
}

// TimeModel is the time model.
type TimeModel struct {
	// StepOverhead is the time of one batch step without any work in it.
	StepOverhead time.Duration
	// PerSequence is what each decoding request adds to a step.
	PerSequence time.Duration
	// PrefillTokensPerSecond is in tokens a second.
	PrefillTokensPerSecond float64
	// LoadReportDelay is how late load reports are.
	LoadReportDelay time.Duration
	// CacheEventDelay is how late cache events are.
	CacheEventDelay time.Duration
	// RoleChange is how long a role change takes the engine away.
	RoleChange time.Duration
	// Retention is how long an ended or abandoned request can be resumed.
	Retention time.Duration
	// KVBytesPerSecond is in bytes a second.
	KVBytesPerSecond float64
}

// Limits bounds the engine.
type Limits struct {
	// MaxRunning is the largest number of running requests.
	MaxRunning int
	// MaxQueued is the largest number of waiting requests.
	MaxQueued int
	// ChunkTokens is the largest number of prompt tokens in a step.
	ChunkTokens int
	// DecodeChunkTokens is Chunk for an engine of role decode.
	DecodeChunkTokens int
	// PrefillChunkTokens is Chunk for an engine of role prefill.
	PrefillChunkTokens int
	// CacheBlocks is the memory of the prefix cache.
	CacheBlocks int
	// KVCapacityTokens is the memory for running requests.
	KVCapacityTokens int
	// KVBytesPerToken is the size of the exported KV cache.
	KVBytesPerToken int64
	// LostEventPercent is the share of cache events that are lost.
	LostEventPercent int
	// MaxModels is the number of models that fit at once.
	MaxModels int
}

// DefaultTimeModel returns the time model of a mid-size engine.
func DefaultTimeModel() TimeModel {
	return TimeModel{
		StepOverhead:           18 * time.Millisecond,
		PerSequence:            500 * time.Microsecond,
		PrefillTokensPerSecond: 8000,
		LoadReportDelay:        300 * time.Millisecond,
		CacheEventDelay:        400 * time.Millisecond,
		RoleChange:             4 * time.Second,
		Retention:              20 * time.Second,
		KVBytesPerSecond:       4e9,
	}
}

// DefaultLimits returns the bounds of a mid-size engine.
func DefaultLimits() Limits {
	return Limits{
		MaxRunning: 16, MaxQueued: 64,
		ChunkTokens: 512, DecodeChunkTokens: 64, PrefillChunkTokens: 2048,
		CacheBlocks: 64, KVCapacityTokens: 160_000, KVBytesPerToken: 100_000,
		LostEventPercent: 5, MaxModels: 2,
	}
}

func (c Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.TimeScale)
}

func (c Config) withDefaults() Config {
	if c.TimeScale == 0 {
		c.TimeScale = 1
	}
	if c.Role == "" {
		c.Role = RoleBoth
	}
	if c.TimeModel == (TimeModel{}) {
		c.TimeModel = DefaultTimeModel()
	}
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits()
	}
	return c
}
