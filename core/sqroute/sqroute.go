// Package sqroute selects the endpoint for a request. It works from delayed and
// incomplete knowledge of prompt caches and load, because several entries (the
// processes that callers connect to) share one fleet without a central load
// balancer.
package sqroute

import "time"

// Defaults of Config.
const (
	// DefaultPrefillRate is in prompt tokens per second.
	DefaultPrefillRate      = 6000
	DefaultStepTime         = 20 * time.Millisecond
	DefaultSlots            = 16
	DefaultCrossZoneLatency = 2 * time.Millisecond
	DefaultBlockTokens      = 1000
	DefaultSlowStart        = 5 * time.Second
	DefaultTargetWait       = 500 * time.Millisecond
	// DefaultTransferRate is in tokens of KV cache per second.
	DefaultTransferRate     = 40_000
	DefaultTransferOverhead = 10 * time.Millisecond
	DefaultScanLimit        = 32
	DefaultSamplesPerRole   = 8
)

// Config describes the fleet as one entry sees it. Zero fields take the
// defaults.
type Config struct {
	// Zone is the availability zone of the entry.
	Zone string
	// CrossZoneLatency is the extra time to reach an endpoint in another zone.
	CrossZoneLatency time.Duration
	// Seed initializes the random numbers. Entries with different seeds break
	// ties differently.
	Seed uint64
	// PrefillRate is the initial estimate of an engine's prefill speed, in
	// tokens per second.
	PrefillRate float64
	// StepTime is the initial estimate of the time between output tokens.
	StepTime time.Duration
	// Slots is the initial estimate of an engine's maximum batch size.
	Slots int
	// BlockTokens is the length of a prefix cache block, in tokens.
	BlockTokens int
	// SlowStart is the time for which a new or recovered endpoint gets reduced
	// load.
	SlowStart time.Duration
	// TargetWait bounds the time that requests wait in an engine's queue.
	// Further requests wait in the entries' fair queues instead.
	TargetWait time.Duration
	// TransferRate is the speed of KV cache export and import, in tokens per
	// second.
	TransferRate float64
	// TransferOverhead is the fixed time of one KV cache export and import.
	TransferOverhead time.Duration
	// ScanLimit is the number of endpoints up to which all endpoints are
	// compared.
	ScanLimit int
	// SamplesPerRole is the number of random endpoints of each role that are
	// compared when there are more than ScanLimit endpoints.
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
