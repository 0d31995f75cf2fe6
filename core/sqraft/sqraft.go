// Package sqraft is the consensus of the control processes as a state machine:
// messages, ticks and proposals go in with the present time, and what must be
// synced, sent and applied comes out. It does no I/O and reads no clock.
package sqraft

import (
	"math/rand/v2"
	"time"
)

// Role is what a replica does in its term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	// PreCandidate asks whether it would be elected, without a new term.
	PreCandidate
	Candidate
	Leader
)

// Raft is one replica. It is not safe for concurrent use.
type Raft struct {
	cfg      Config
	random   *rand.Rand
	now      time.Time
	term     uint64
	vote     uint64
	role     Role
	leader   uint64
	log      *entryLog
	snapshot *Snapshot
	commit   uint64
	applied  uint64
	// promiseUntil is the time before which this replica elects nobody.
	promiseUntil time.Time
	// promiseTerm is the term of the leader that the promise was given to, or 0
	// when a crash made this replica forget.
	promiseTerm uint64
	electionAt  time.Time
	votes       map[uint64]bool
	// handedOver is the term whose leader handed over to this candidate, or 0.
	handedOver uint64
	// earlier is, from a candidacy on, when every earlier lease was over.
	earlier time.Time
	lead    *leadership

	hardChanged bool
	installed   *Snapshot
	messages    []*Message
	confirmed   []ReadBarrier
}

// New returns a replica with the state that cfg holds.
func New(cfg Config) *Raft {
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = defaultBatchBytes
	}
	if cfg.MaxInFlightEntries == 0 {
		cfg.MaxInFlightEntries = defaultInFlight
	}
	r := &Raft{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		now:      cfg.Start,
		term:     cfg.HardState.GetTerm(),
		vote:     cfg.HardState.GetVote(),
		log:      newEntryLog(cfg.Snapshot, cfg.Entries),
		snapshot: cfg.Snapshot,
	}
	// A crash can come between the sync of a leader's snapshot and that of the
	// term it came with.
	if t := r.log.lastTerm(); t > r.term {
		r.term, r.vote = t, 0
	}
	r.applied = cfg.Snapshot.GetIndex()
	r.commit = max(r.applied, min(cfg.HardState.GetCommit(), r.log.last()))
	r.cfg.HardState, r.cfg.Snapshot, r.cfg.Entries = nil, nil, nil
	// The promise to the last leader was in memory only, and the replica may
	// have crashed right after giving it. Without this wait, a voter that
	// restarts quickly could elect a second holder during the first one's lease.
	if !faultRestartWait {
		r.promiseUntil = cfg.Start.Add(cfg.Timing.ElectionTimeout)
	}
	r.resetElection()
	return r
}

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Role returns what the replica does in the term.
func (r *Raft) Role() Role { return r.role }

// Leader returns the leader of the term, or 0 when unknown.
func (r *Raft) Leader() uint64 {
	if r.givenUp() {
		return 0
	}
	return r.leader
}

// CommitIndex returns the last index known to be on a quorum.
func (r *Raft) CommitIndex() uint64 { return r.commit }

// LastIndex returns the last index of the log.
func (r *Raft) LastIndex() uint64 { return r.log.last() }

// Members returns the membership in force.
func (r *Raft) Members() []Member { return append([]Member(nil), r.log.members()...) }

// MatchIndexes returns, on a leader, the last index each member has synced.
func (r *Raft) MatchIndexes() map[uint64]uint64 {
	if r.lead == nil {
		return nil
	}
	match := map[uint64]uint64{r.cfg.ID: r.log.stable}
	for id, p := range r.lead.peers {
		match[id] = p.match
	}
	return match
}

// NextTickAt returns the time of the next Tick that can have an effect.
func (r *Raft) NextTickAt() time.Time {
	if r.role == Leader {
		return r.lead.heartbeatAt
	}
	return r.electionAt
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
