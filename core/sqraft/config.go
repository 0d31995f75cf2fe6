package sqraft

import "time"

// Bounds on what is sent before an answer.
const (
	defaultBatchBytes = 1 << 20
	defaultInFlight   = 4096
)

// Timing holds the times that all replicas must share.
type Timing struct {
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a follower keeps to a leader that it last heard of.
	ElectionTimeout time.Duration
	// LeaseDuration is how long a leader may act on a heartbeat that a quorum
	// acknowledged, counted from its sending.
	LeaseDuration time.Duration
	// MaxClockDriftPercent bounds how far the rate of any clock is from true.
	MaxClockDriftPercent float64
	// ElectionJitter is over how long the election timeouts of followers are spread; 0
	// means Election.
	ElectionJitter time.Duration
	// SkipLeaseWait lets a new leader act at once: its voters gave their votes only
	// after the promises had run out under which an earlier lease was granted.
	// Otherwise it waits for the length of a lease besides.
	SkipLeaseWait bool
}

// Config configures a Raft.
type Config struct {
	ID     uint64
	Timing Timing
	// Seed sets the randomness of election timeouts.
	Seed uint64
	// Start is the time at which the replica started.
	Start time.Time
	// HardState, Snapshot and Entries are what the disk holds; nil when empty.
	HardState *HardState
	Snapshot  *Snapshot
	// Entries follow Snapshot without a gap.
	Entries []*Entry
	// MaxBatchBytes bounds the entries of one message; 0 means the default.
	MaxBatchBytes int
	// MaxInFlightEntries bounds the entries sent before an answer; 0 means the default.
	MaxInFlightEntries uint64
	// TrailingEntries is how many entries before a snapshot are kept for slow members.
	TrailingEntries uint64
}

// spread returns over how long election timeouts are spread.
func (t Timing) spread() time.Duration {
	if t.ElectionJitter > 0 {
		return t.ElectionJitter
	}
	return t.ElectionTimeout
}

func (t Timing) drift() float64 { return t.MaxClockDriftPercent / 100 }

// lease returns the length of a lease on the leader's clock. A follower's
// promise lasts Election on its own clock; if that clock is as fast and the
// leader's as slow as the bound permits, a longer lease would outlive it.
func (t Timing) lease() time.Duration {
	d := t.drift()
	bound := time.Duration(float64(t.ElectionTimeout) * (1 - d) / (1 + d))
	return min(t.LeaseDuration, bound)
}

// atLeast returns how much of a time span that another replica measured has
// certainly passed here.
func (t Timing) atLeast(d time.Duration) time.Duration {
	drift := t.drift()
	return time.Duration(float64(d) * (1 - drift) / (1 + drift))
}

// wait returns how long a new leader waits on its own clock until every lease
// granted before its election is over on any clock.
func (t Timing) wait() time.Duration {
	d := t.drift()
	return time.Duration(float64(t.lease())*(1+d)/(1-d)) + 1
}
