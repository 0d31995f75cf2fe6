// Package sqengine simulates an inference engine with continuous batching, a
// block-wise prefix cache and step durations that come from a time model.
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
// engine; TimeScale shortens the durations.
type Config struct {
	// Name is the endpoint's identity in the platform's list.
	Name string
	Role string
	// Models are loaded at start, as "model@version".
	Models []string
	// HonoursFencing makes the engine reject orders with an outdated fencing token.
	HonoursFencing bool
	// WeightStoreAddress is the "ip:port" of the weight store.
	WeightStoreAddress string
	Record             *sqrecord.Record
	// Seed determines which cache events are lost.
	Seed uint64
	// TimeScale multiplies every duration; 0.05 makes the engine 20 times as fast.
	TimeScale float64
	TimeModel TimeModel
	Limits    Limits
}

// TimeModel holds the durations and rates that determine how long work takes.
type TimeModel struct {
	// StepOverhead is the duration of a batch step without any work.
	StepOverhead time.Duration
	// PerSequence is the time that each decoding request adds to a step.
	PerSequence time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are processed.
	PrefillTokensPerSecond float64
	// LoadReportDelay is the time until a load report is visible.
	LoadReportDelay time.Duration
	// CacheEventDelay is the time until a cache event is visible.
	CacheEventDelay time.Duration
	// RoleChange is how long the engine is unavailable during a role change.
	RoleChange time.Duration
	// Retention is how long an ended or abandoned request can be resumed.
	Retention time.Duration
	// KVBytesPerSecond is the rate at which a KV cache is transferred.
	KVBytesPerSecond float64
}

// Limits holds the capacities of the engine.
type Limits struct {
	// MaxRunning is the largest number of running requests.
	MaxRunning int
	// MaxQueued is the largest number of waiting requests.
	MaxQueued int
	// ChunkTokens is the largest number of prompt tokens in a step.
	ChunkTokens int
	// DecodeChunkTokens replaces ChunkTokens in the role decode.
	DecodeChunkTokens int
	// PrefillChunkTokens replaces ChunkTokens in the role prefill.
	PrefillChunkTokens int
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// KVCapacityTokens is the KV cache capacity for running requests, in tokens.
	KVCapacityTokens int
	// KVBytesPerToken is the size of an exported KV cache per token.
	KVBytesPerToken int64
	// LostEventPercent is the percentage of cache events that are lost.
	LostEventPercent int
	// MaxModels is the largest number of models loaded at once.
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

// DefaultLimits returns the capacities of a mid-size engine.
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
