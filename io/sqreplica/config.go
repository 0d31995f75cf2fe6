package sqreplica

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqdisk"
	"sequoiadock/io/sqlog"
)

// Times that suit availability zones a few milliseconds apart. With these, a
// new leader gives orders within five seconds of its predecessor's end.
const (
	DefaultHeartbeatInterval    = 150 * time.Millisecond
	DefaultElectionTimeout      = 700 * time.Millisecond
	DefaultLeaseDuration        = 600 * time.Millisecond
	DefaultMaxClockDriftPercent = 1.0
	DefaultSnapshotEntries      = 4096
)

const (
	// snapshotBytes is how many bytes of commands call for a snapshot.
	snapshotBytes = 16 << 20
	// trailDivisor gives the part of a snapshot interval whose entries are kept
	// for members that are a little behind.
	trailDivisor = 4
)

// Member is one replica of the membership.
type Member = sqraft.Member

// MemberConfig describes a Member.
type MemberConfig = sqraft.MemberConfig

// NewMember returns the member that cfg describes.
func NewMember(cfg MemberConfig) Member { return sqraft.NewMember(cfg) }

// StateMachine is the state machine. Its methods are called from one goroutine, and
// two replicas that were given the same commands must be in the same state.
type StateMachine interface {
	// Apply carries out the command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Transport carries messages between replicas.
type Transport interface {
	// Send hands messages over and returns at once. It may lose them. The
	// receiver gives them to its Deliver.
	Send(from Identity, to Member, messages [][]byte)
}

// Config configures a Replica. Zero durations and counts mean the defaults.
type Config struct {
	// Name, Zone and Address are this replica's, as in its settings.
	Name    string
	Zone    string
	Address string
	// Folder is the data folder; only one process can have it open.
	Folder string
	// Files, when set, stands for the folder.
	FS sqdisk.FS
	// Deployment, when set, must equal the name given at the first set-up.
	Deployment   string
	StateMachine StateMachine
	Transport    Transport
	// Log and Metrics may be nil.
	Log     *sqlog.Log
	Metrics *metrics.Set
	// Heartbeat, ElectionTimeout, Lease and MaxClockDriftPercent must be equal
	// on all replicas; messages of a replica with others are refused.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	// ElectionJitter is over how long the election timeouts of replicas are spread.
	ElectionJitter time.Duration
	// SkipLeaseWait lets a new leader use its lease at once; see sqraft.Timing.
	SkipLeaseWait bool
	// MaxClockDriftPercent bounds how far the rate of any VM's clock is from
	// the true rate.
	MaxClockDriftPercent float64
	// SnapshotEntries is how many entries are applied between two snapshots.
	SnapshotEntries int
	// Seed, when not 0, sets the randomness of election timeouts.
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

// timingSum names the times that replicas must share: a leader with a longer
// lease than its followers' promises would hold on beyond its authority.
func timingSum(t sqraft.Timing) uint64 {
	h := xxhash.New()
	for _, d := range []time.Duration{t.HeartbeatInterval, t.ElectionTimeout, t.LeaseDuration} {
		writeString(h, d.String())
	}
	writeString(h, time.Duration(t.MaxClockDriftPercent*float64(time.Second)).String())
	return h.Sum64()
}

func writeString(h *xxhash.Digest, s string) {
	// A hash never gives an error; the zero byte ends the string.
	_, _ = h.WriteString(s)
	_, _ = h.Write([]byte{0})
}
