// Package sqraft implements Raft consensus as a deterministic state machine.
// Its inputs are messages, ticks and proposals, each with the present time. Its
// output, Ready, holds the data to sync, the messages to send and the entries
// to apply. It does no I/O and reads no clock.
//
// A vote promise is a replica's commitment to vote for no other candidate
// before a given time. A replica renews it with each message that it accepts
// from a leader. The lease of a leader rests on the vote promises of a quorum.
package sqraft

import (
	"math/rand/v2"
	"time"
)

// Role is the role of a replica in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	// PreCandidate asks the voters whether they would elect it, without raising
	// its term.
	PreCandidate
	Candidate
	Leader
)

// Raft is the consensus state of one replica. It is not safe for concurrent
// use.
type Raft struct {
	cfg          Config
	random       *rand.Rand
	now          time.Time
	term         uint64
	votedFor     uint64
	role         Role
	leader       uint64
	log          *entryLog
	snapshot     *Snapshot
	commitIndex  uint64
	appliedIndex uint64
	// votePromiseUntil is the time before which this replica votes for no
	// candidate, unless the leader it promised has transferred its leadership.
	votePromiseUntil time.Time
	// votePromiseTerm is the term of the leader that the vote promise was given
	// to, or 0 after a restart, which loses the promises in memory.
	votePromiseTerm  uint64
	electionDeadline time.Time
	votes            map[uint64]bool
	// transferTerm is the term whose leader transferred its leadership to this
	// candidate, or 0.
	transferTerm uint64
	// previousLeasesEnd is, from a candidacy on, a time by which every lease of
	// an earlier leader had ended.
	previousLeasesEnd time.Time
	leaderState       *leaderState

	hardStateChanged  bool
	installedSnapshot *Snapshot
	messages          []*Message
	confirmedBarriers []ReadBarrier
}

// New returns a replica that starts from the state in cfg.
func New(cfg Config) *Raft {
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = defaultMaxBatchBytes
	}
	if cfg.MaxInFlightEntries == 0 {
		cfg.MaxInFlightEntries = defaultMaxInFlightEntries
	}
	if cfg.MaxInFlightBytes == 0 {
		cfg.MaxInFlightBytes = defaultMaxInFlightBytes
	}
	if cfg.TrailingBytes == 0 {
		cfg.TrailingBytes = defaultTrailingBytes
	}
	r := &Raft{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		now:      cfg.Start,
		term:     cfg.HardState.GetTerm(),
		votedFor: cfg.HardState.GetVote(),
		log:      newEntryLog(cfg.Snapshot, cfg.Entries),
		snapshot: cfg.Snapshot,
	}
	// A crash can fall between the sync of a leader's snapshot and the sync of
	// the term that arrived with it, so the log may end in a later term.
	if lastTerm := r.log.lastTerm(); lastTerm > r.term {
		r.term, r.votedFor = lastTerm, 0
	}
	r.appliedIndex = cfg.Snapshot.GetIndex()
	r.commitIndex = max(r.appliedIndex, min(cfg.HardState.GetCommit(), r.log.lastIndex()))
	r.cfg.HardState, r.cfg.Snapshot, r.cfg.Entries = nil, nil, nil
	// Vote promises are kept in memory only, and the replica may have crashed
	// right after making one. Without this wait, a voter that restarts quickly
	// could elect a second lease holder during the first one's lease.
	if !faultSkipRestartWait {
		r.votePromiseUntil = cfg.Start.Add(cfg.Timing.ElectionTimeout)
	}
	r.resetElectionTimer()
	return r
}

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Role returns the role of the replica in its current term.
func (r *Raft) Role() Role { return r.role }

// Leader returns the id of the current term's leader. It returns 0 if the
// leader is unknown or if this replica is the leader and is transferring its
// leadership.
func (r *Raft) Leader() uint64 {
	if r.isTransferring() {
		return 0
	}
	return r.leader
}

// CommitIndex returns the last index known to be on a quorum.
func (r *Raft) CommitIndex() uint64 { return r.commitIndex }

// LastIndex returns the last index of the log.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// Members returns the membership in force, which may not be committed yet.
func (r *Raft) Members() []Member { return append([]Member(nil), r.log.members()...) }

// MatchIndexes returns, on a leader, the last index that each member has
// synced, by member id. It returns nil on other replicas.
func (r *Raft) MatchIndexes() map[uint64]uint64 {
	if r.leaderState == nil {
		return nil
	}
	match := map[uint64]uint64{r.cfg.ID: r.log.syncedIndex}
	for id, p := range r.leaderState.peers {
		match[id] = p.matchIndex
	}
	return match
}

// LagBytes returns, on a leader, the size in bytes of the committed entries that each
// member lacks, by member id. For a member that needs the snapshot, this is the
// snapshot and what follows it. It returns nil on other replicas.
func (r *Raft) LagBytes() map[uint64]int {
	if r.leaderState == nil {
		return nil
	}
	lag := map[uint64]int{}
	for id, p := range r.leaderState.peers {
		lag[id] = r.log.bytesBetween(p.matchIndex+1, r.commitIndex)
		if p.matchIndex < r.log.baseIndex {
			lag[id] = len(r.snapshot.GetState()) + r.log.bytesBetween(r.snapshot.GetIndex()+1, r.commitIndex)
		}
	}
	return lag
}

// LogEntries returns the number of log entries in memory.
func (r *Raft) LogEntries() int { return len(r.log.entries) }

// LogBytes returns the encoded size in bytes of the log entries in memory.
func (r *Raft) LogBytes() int { return r.log.bytesBetween(r.log.baseIndex+1, r.log.lastIndex()) }

// NextTickAt returns the earliest time at which a Tick can have an effect.
func (r *Raft) NextTickAt() time.Time {
	if r.role == Leader {
		return r.leaderState.nextHeartbeatAt
	}
	return r.electionDeadline
}

// voters returns the ids of the members with a vote.
func (r *Raft) voters() []uint64 {
	var ids []uint64
	for _, m := range r.log.members() {
		if !m.Learner() {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

func (r *Raft) isVoter() bool {
	for _, id := range r.voters() {
		if id == r.cfg.ID {
			return true
		}
	}
	return false
}

func (r *Raft) quorum() int { return len(r.voters())/2 + 1 }

func (r *Raft) send(m *Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}
