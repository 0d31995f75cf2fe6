package sqreplica

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqdisk"
	"sequoiadock/io/sqlog"
)

// Defaults for availability zones a few milliseconds apart. With these, a new
// leader issues orders within five seconds after its predecessor fails.
const (
	DefaultHeartbeatInterval    = 150 * time.Millisecond
	DefaultElectionTimeout      = 700 * time.Millisecond
	DefaultLeaseDuration        = 600 * time.Millisecond
	DefaultMaxClockDriftPercent = 1.0
	DefaultSnapshotEntries      = 4096
)

const (
	// snapshotThresholdBytes is the size of the commands applied since the last
	// snapshot that triggers the next one before SnapshotEntries does.
	snapshotThresholdBytes = 16 << 20
	// trailingEntriesDivisor divides SnapshotEntries to give the number of entries
	// that stay in the log for members that lag slightly.
	trailingEntriesDivisor = 4
)

// Member is one replica of the membership.
type Member = sqraft.Member

// MemberConfig describes a Member.
type MemberConfig = sqraft.MemberConfig

// NewMember returns the member that cfg describes.
func NewMember(cfg MemberConfig) Member { return sqraft.NewMember(cfg) }

// StateMachine is the replicated state machine. Its methods are called from one
// goroutine, and two replicas that applied the same commands must be in the same
// state.
type StateMachine interface {
	// Apply applies the command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state, encoded.
	Snapshot() []byte
	// Restore replaces the whole state by a snapshot.
	Restore(snapshot []byte) error
}

// Transport carries messages between replicas.
type Transport interface {
	// Send queues messages for to and returns without waiting. It may lose
	// them. The receiving process passes them to Replica.Deliver.
	Send(from Identity, to Member, messages [][]byte)
}

// Config configures a Replica. Zero durations and counts select the defaults.
type Config struct {
	// Name, Zone and Address describe this replica, as in its settings.
	Name    string
	Zone    string
	Address string
	// DataFolder is the data folder; only one process can have it open.
	DataFolder string
	// FS, when set, is used instead of DataFolder.
	FS sqdisk.FS
	// Deployment, when set, must equal the name given at the bootstrap.
	Deployment   string
	StateMachine StateMachine
	Transport    Transport
	// Log and Metrics may be nil.
	Log     *sqlog.Log
	Metrics *metrics.Set
	// HeartbeatInterval, ElectionTimeout, LeaseDuration and
	// MaxClockDriftPercent must be equal on all replicas; messages of a replica
	// with other values are refused.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	// ElectionJitter is the range of the random delay that is added to election
	// timeouts.
	ElectionJitter time.Duration
	// SkipLeaseWait lets a new leader use its lease at once; see sqraft.Timing.
	SkipLeaseWait bool
	// MaxClockDriftPercent bounds how far the rate of any VM's clock deviates
	// from the true rate.
	MaxClockDriftPercent float64
	// SnapshotEntries is the number of applied entries after which the next
	// snapshot is taken.
	SnapshotEntries int
	// Seed, when not 0, seeds the random election timeouts.
	Seed uint64
}

func (cfg Config) withDefaults() Config {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	if cfg.LeaseDuration == 0 {
		cfg.LeaseDuration = DefaultLeaseDuration
	}
	if cfg.MaxClockDriftPercent == 0 {
		cfg.MaxClockDriftPercent = DefaultMaxClockDriftPercent
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	return cfg
}

func (cfg Config) timing() sqraft.Timing {
	return sqraft.Timing{
		HeartbeatInterval: cfg.HeartbeatInterval, ElectionTimeout: cfg.ElectionTimeout, LeaseDuration: cfg.LeaseDuration,
		MaxClockDriftPercent: cfg.MaxClockDriftPercent, ElectionJitter: cfg.ElectionJitter, SkipLeaseWait: cfg.SkipLeaseWait,
	}
}

// hashTiming returns a hash of the durations and the clock drift bound that replicas
// must share: a leader whose lease is longer than its followers' vote promises
// would use the lease after another replica could be elected.
func hashTiming(t sqraft.Timing) uint64 {
	h := xxhash.New()
	for _, d := range []time.Duration{t.HeartbeatInterval, t.ElectionTimeout, t.LeaseDuration} {
		hashString(h, d.String())
	}
	hashString(h, time.Duration(t.MaxClockDriftPercent*float64(time.Second)).String())
	return h.Sum64()
}

func hashString(h *xxhash.Digest, s string) {
	// The hash never returns an error; the zero byte terminates the string.
	_, _ = h.WriteString(s)
	_, _ = h.Write([]byte{0})
}
