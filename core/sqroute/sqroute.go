// Package sqroute chooses the endpoint for a request from late and partial
// knowledge of prompt caches and load, in a fleet that several entries share
// without a balancer.
package sqroute

import "time"

// Defaults of Config.
const (
	// DefaultPrefillRate is in tokens a second.
	DefaultPrefillRate      = 6000
	DefaultStepTime         = 20 * time.Millisecond
	DefaultSlots            = 16
	DefaultCrossZoneLatency = 2 * time.Millisecond
	DefaultBlockTokens      = 1000
	DefaultSlowStart        = 5 * time.Second
	DefaultTargetWait       = 500 * time.Millisecond
	// DefaultTransferRate is in tokens of KV cache a second.
	DefaultTransferRate     = 40_000
	DefaultTransferOverhead = 10 * time.Millisecond
	DefaultScanLimit        = 32
	DefaultSamplesPerRole   = 8
)

// Config describes the fleet as an entry sees it. Fields left at zero take the
// defaults.
type Config struct {
	// Zone is the availability zone of the entry.
	Zone string
	// CrossZoneLatency is the extra time to an endpoint in another zone.
	CrossZoneLatency time.Duration
	// Seed makes entries choose differently among equals.
	Seed uint64
	// PrefillRate is the first guess of an engine's speed, in tokens a second.
	PrefillRate float64
	// StepTime is the first guess of the time between tokens.
	StepTime time.Duration
	// Slots is the first guess of an engine's batch.
	Slots int
	// BlockTokens is the length of a cache piece.
	BlockTokens int
	// SlowStart is how long a new or recovered endpoint takes less work.
	SlowStart time.Duration
	// TargetWait bounds the work that waits at an engine, so that the rest
	// waits in the entries' fair queues.
	TargetWait time.Duration
	// TransferRate is the speed of KV export and import, in tokens a second.
	TransferRate float64
	// TransferOverhead is the fixed time of one KV export and import.
	TransferOverhead time.Duration
	// ScanLimit is the number of endpoints up to which all are compared.
	ScanLimit int
	// SamplesPerRole is the number of random endpoints that are compared beyond it.
	SamplesPerRole int
}

func (cfg Config) withDefaults() Config {
	if cfg.CrossZoneLatency <= 0 {
		cfg.CrossZoneLatency = DefaultCrossZoneLatency
	}
	if cfg.PrefillRate <= 0 {
		cfg.PrefillRate = DefaultPrefillRate
	}
	if cfg.StepTime <= 0 {
		cfg.StepTime = DefaultStepTime
	}
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.BlockTokens <= 0 {
		cfg.BlockTokens = DefaultBlockTokens
	}
	if cfg.SlowStart <= 0 {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.TargetWait <= 0 {
		cfg.TargetWait = DefaultTargetWait
	}
	if cfg.TransferRate <= 0 {
		cfg.TransferRate = DefaultTransferRate
	}
	if cfg.TransferOverhead <= 0 {
		cfg.TransferOverhead = DefaultTransferOverhead
	}
	if cfg.ScanLimit <= 0 {
		cfg.ScanLimit = DefaultScanLimit
	}
	if cfg.SamplesPerRole <= 0 {
		cfg.SamplesPerRole = DefaultSamplesPerRole
	}
	return cfg
}
