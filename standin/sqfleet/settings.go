// Package sqfleet runs a set of stand-ins in one process: engines, plain
// services, the platform and the weight store, each on its own port.
package sqfleet

import (
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sequoiadock/standin/sqengine"
	"sequoiadock/standin/sqfailure"
)

// Settings are the contents of fleet.toml. Durations are those of a real
// fleet, and Fleet.Scale multiplies them. Omitted keys have defaults.
type Settings struct {
	Fleet    FleetSettings     `toml:"fleet"`
	Engines  EngineSettings    `toml:"engines"`
	Services []ServiceSettings `toml:"services"`
	Platform PlatformSettings  `toml:"platform"`
	Weights  WeightSettings    `toml:"weights"`
}

// FleetSettings apply to all stand-ins.
type FleetSettings struct {
	Zones []string `toml:"zones"`
	// Host is the IP address to listen on.
	Host string `toml:"host"`
	// RecordPath is the file to which the received requests are recorded.
	RecordPath string `toml:"record"`
	// Scale multiplies every duration.
	Scale float64 `toml:"scale"`
	Seed  uint64  `toml:"seed"`
}

// EngineSettings describe the engines; 0 means the default of package sqengine.
type EngineSettings struct {
	// Count is the number of on-demand engines at the start, spread over the zones.
	Count int `toml:"count"`
	// SpotCount is the number of spot engines at the start.
	SpotCount int `toml:"cheapCount"`
	// PrefillCount and DecodeCount are how many of Count start in these roles.
	PrefillCount int      `toml:"prefill"`
	DecodeCount  int      `toml:"decode"`
	Models       []string `toml:"models"`
	// IgnoreFencingCount is the number of engines that ignore fencing numbers.
	IgnoreFencingCount int `toml:"ignoreFencing"`

	StepMillis             float64 `toml:"stepMillis"`
	SequenceMillis         float64 `toml:"sequenceMillis"`
	PrefillTokensPerSecond float64 `toml:"prefillTokensPerSecond"`
	LoadLagMillis          float64 `toml:"loadLagMillis"`
	EventDelayMillis       float64 `toml:"eventDelayMillis"`
	EventGapPercent        *int    `toml:"eventGapPercent"`
	RoleChangeMillis       float64 `toml:"roleChangeMillis"`
	KeepMillis             float64 `toml:"keepMillis"`
	KVBytesPerSecond       float64 `toml:"kvBytesPerSecond"`
	KVBytesPerToken        int64   `toml:"kvBytesPerToken"`
	MaxBatch               int     `toml:"batch"`
	MaxQueue               int     `toml:"queue"`
	CachePieces            int     `toml:"cachePieces"`
	MaxModels              int     `toml:"modelsAtOnce"`
	KVTokens               int     `toml:"kvTokens"`
	ChunkTokens            int     `toml:"chunkTokens"`
	DecodeChunkTokens      int     `toml:"decodeChunkTokens"`
	PrefillChunkTokens     int     `toml:"prefillChunkTokens"`
}

// ServiceSettings describe the endpoints of one plain service.
type ServiceSettings struct {
	Name       string  `toml:"name"`
	Count      int     `toml:"count"`
	WorkMillis float64 `toml:"workMillis"`
	MaxRunning int     `toml:"maxRunning"`
	// DeduplicatesCalls makes a repeated identity return the first response.
	DeduplicatesCalls bool    `toml:"recognises"`
	LoadLagMillis     float64 `toml:"loadLagMillis"`
}

// PlatformSettings describe the platform.
type PlatformSettings struct {
	ListLagMillis      float64 `toml:"listLagMillis"`
	ProvisionMillis    float64 `toml:"arrivalMillis"`
	ReleaseDelayMillis float64 `toml:"releaseDelayMillis"`
	SpotStock          int     `toml:"cheapStock"`
	OnDemandStock      int     `toml:"dearStock"`
	IgnoreFencing      bool    `toml:"ignoreFencing"`
}

// WeightSettings describe the weight store.
type WeightSettings struct {
	BytesPerSecond float64 `toml:"bytesPerSecond"`
	ModelBytes     int64   `toml:"modelBytes"`
}

// Load reads settings from the file at path and sets the defaults. Unknown keys
// are an error.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, sqfailure.New(sqfailure.Config{Action: "read settings", Cause: err})
	}
	defer f.Close()
	s := Settings{}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		return Settings{}, sqfailure.New(sqfailure.Config{Action: "read settings", Detail: path, Cause: err})
	}
	return s.withDefaults(), nil
}

func (s Settings) withDefaults() Settings {
	if len(s.Fleet.Zones) == 0 {
		s.Fleet.Zones = []string{"a", "b", "c"}
	}
	if s.Fleet.Host == "" {
		s.Fleet.Host = "127.0.0.1"
	}
	if s.Fleet.Scale == 0 {
		s.Fleet.Scale = 1
	}
	if s.Weights.BytesPerSecond == 0 {
		s.Weights.BytesPerSecond = 1 << 30
	}
	if s.Weights.ModelBytes == 0 {
		s.Weights.ModelBytes = 1 << 20
	}
	return s
}

func (s EngineSettings) times() sqengine.TimeModel {
	t := sqengine.DefaultTimeModel()
	setDuration(&t.StepOverhead, s.StepMillis)
	setDuration(&t.PerSequence, s.SequenceMillis)
	setDuration(&t.LoadReportDelay, s.LoadLagMillis)
	setDuration(&t.CacheEventDelay, s.EventDelayMillis)
	setDuration(&t.RoleChange, s.RoleChangeMillis)
	setDuration(&t.Retention, s.KeepMillis)
	if s.PrefillTokensPerSecond > 0 {
		t.PrefillTokensPerSecond = s.PrefillTokensPerSecond
	}
	if s.KVBytesPerSecond > 0 {
		t.KVBytesPerSecond = s.KVBytesPerSecond
	}
	return t
}

func (s EngineSettings) sizes() sqengine.Limits {
	z := sqengine.DefaultLimits()
	setInt(&z.MaxRunning, s.MaxBatch)
	setInt(&z.MaxQueued, s.MaxQueue)
	setInt(&z.CacheBlocks, s.CachePieces)
	setInt(&z.KVCapacityTokens, s.KVTokens)
	setInt(&z.ChunkTokens, s.ChunkTokens)
	setInt(&z.DecodeChunkTokens, s.DecodeChunkTokens)
	setInt(&z.PrefillChunkTokens, s.PrefillChunkTokens)
	setInt(&z.MaxModels, s.MaxModels)
	if s.KVBytesPerToken > 0 {
		z.KVBytesPerToken = s.KVBytesPerToken
	}
	if s.EventGapPercent != nil {
		z.LostEventPercent = *s.EventGapPercent
	}
	return z
}

func setInt(to *int, v int) {
	if v > 0 {
		*to = v
	}
}

func setDuration(to *time.Duration, millis float64) {
	if millis > 0 {
		*to = duration(millis)
	}
}

func duration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
