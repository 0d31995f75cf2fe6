package sqraft

import "time"

// Default bounds on append messages: the bytes of entries in one message, and
// the number and the bytes of entries sent to a member before it acknowledges them.
const (
	defaultMaxBatchBytes      = 1 << 20
	defaultMaxInFlightEntries = 4096
	defaultMaxInFlightBytes   = 4 << 20
)

// defaultTrailingBytes bounds the entries that stay in the log after a snapshot. It
// holds what a member may lack that is only as far behind as messages in flight.
const defaultTrailingBytes = defaultMaxInFlightBytes

// Timing holds the durations and the clock bound that must be equal on all
// replicas.
type Timing struct {
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a follower keeps its vote promise after a
	// message from the leader.
	ElectionTimeout time.Duration
	// LeaseDuration is how long a leader may act after it sent a heartbeat that
	// a quorum acknowledged.
	LeaseDuration time.Duration
	// MaxClockDriftPercent bounds how far the rate of any clock is from that of
	// true time.
	MaxClockDriftPercent float64
	// ElectionJitter is the range of the random delay added to the election
	// timeouts of followers; 0 means ElectionTimeout.
	ElectionJitter time.Duration
	// SkipLeaseWait lets a new leader act at once: its voters gave their votes
	// only after the vote promises behind every earlier lease had run out.
	// Without it, the new leader also waits for the length of a lease.
	SkipLeaseWait bool
}

// Config holds the settings of a Raft and the state that it starts from.
type Config struct {
	ID     uint64
	Timing Timing
	// Seed seeds the generator of the random election timeouts.
	Seed uint64
	// Start is the time at which the replica started.
	Start time.Time
	// HardState, Snapshot and Entries are the state read from disk; nil if
	// there is none.
	HardState *HardState
	Snapshot  *Snapshot
	// Entries follow Snapshot without a gap.
	Entries []*Entry
	// MaxBatchBytes bounds the size of the entries in one message; 0 means the
	// default.
	MaxBatchBytes int
	// MaxInFlightEntries bounds the entries sent to a member before it
	// acknowledges them; 0 means the default.
	MaxInFlightEntries uint64
	// MaxInFlightBytes bounds the size in bytes of these entries, except for the
	// last batch; 0 means the default.
	MaxInFlightBytes int
	// TrailingEntries is how many entries before a snapshot stay in the log for
	// slow members, as far as TrailingBytes permits.
	TrailingEntries uint64
	// TrailingBytes bounds the size in bytes of these entries; 0 means the default.
	// They may be as large as the snapshot if that is larger: beyond that, a member
	// that lacks them gets the snapshot with less traffic.
	TrailingBytes int
}

// electionJitter returns the range of the random delay added to election
// timeouts.
func (t Timing) electionJitter() time.Duration {
	if t.ElectionJitter > 0 {
		return t.ElectionJitter
	}
	return t.ElectionTimeout
}

func (t Timing) driftFraction() float64 { return t.MaxClockDriftPercent / 100 }

// effectiveLease returns the length of a lease on the leader's clock. A
// follower's vote promise lasts ElectionTimeout on its own clock. If that clock
// is as fast and the leader's as slow as MaxClockDriftPercent permits, a lease
// longer than maxLease would outlive the promise.
func (t Timing) effectiveLease() time.Duration {
	drift := t.driftFraction()
	maxLease := time.Duration(float64(t.ElectionTimeout) * (1 - drift) / (1 + drift))
	return min(t.LeaseDuration, maxLease)
}

// minElapsed returns how much of d, a time span measured on another replica's
// clock, has certainly passed on this replica's clock.
func (t Timing) minElapsed(d time.Duration) time.Duration {
	drift := t.driftFraction()
	return time.Duration(float64(d) * (1 - drift) / (1 + drift))
}

// leaseWait returns how long a new leader waits on its own clock until every
// lease granted before its election is over on any clock.
func (t Timing) leaseWait() time.Duration {
	drift := t.driftFraction()
	return time.Duration(float64(t.effectiveLease())*(1+drift)/(1-drift)) + 1
}
