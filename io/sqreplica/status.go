package sqreplica

import (
	"time"

	"sequoiadock/core/sqraft"
)

// Role is the role of a replica in its term.
type Role string

// Roles of a replica.
const (
	// Empty is the role of a replica that does not belong to a cluster yet.
	Empty     Role = "empty"
	Learner   Role = "learner"
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

// Status is the state of a replica and of its cluster as the replica knows it.
type Status struct {
	cfg statusConfig
}

type statusConfig struct {
	term         uint64
	role         Role
	leader       Member
	commitIndex  uint64
	appliedIndex uint64
	matchIndexes map[uint64]uint64
	lagBytes     map[uint64]int
	logEntries   int
	logBytes     int
	syncs        uint64
}

// Term returns the current term.
func (s Status) Term() uint64 { return s.cfg.term }

// Role returns the role of the replica in the term.
func (s Status) Role() Role { return s.cfg.role }

// LeaderAddress returns the address of the leader, or "" when unknown.
func (s Status) LeaderAddress() string { return s.cfg.leader.Address() }

// Leader returns the leader; its ID is 0 when unknown.
func (s Status) Leader() Member { return s.cfg.leader }

// CommitIndex returns the highest index known to be committed.
func (s Status) CommitIndex() uint64 { return s.cfg.commitIndex }

// AppliedIndex returns the last index applied to the state machine.
func (s Status) AppliedIndex() uint64 { return s.cfg.appliedIndex }

// MatchIndex returns, on a leader, the last index that the member with id has
// synced.
func (s Status) MatchIndex(id uint64) uint64 { return s.cfg.matchIndexes[id] }

// LagBytes returns, on a leader, how many bytes of committed entries the member with
// id has not synced.
func (s Status) LagBytes(id uint64) int { return s.cfg.lagBytes[id] }

// LogEntries returns the number of log entries in memory.
func (s Status) LogEntries() int { return s.cfg.logEntries }

// LogBytes returns the size in bytes of the log entries in memory.
func (s Status) LogBytes() int { return s.cfg.logBytes }

// Syncs returns the number of syncs of the log since the start.
func (s Status) Syncs() uint64 { return s.cfg.syncs }

// view is the state of the replica that other goroutines can read.
type view struct {
	identity Identity
	status   Status
	members  []Member
	// lease is valid only if leaseHeld is set, and then only from its ValidFrom
	// to its ValidUntil.
	lease     sqraft.Lease
	leaseHeld bool
}

// publishView makes the current state visible to other goroutines. The caller
// holds mu.
func (r *Replica) publishView() {
	v := &view{identity: r.identity}
	v.status.cfg = statusConfig{role: Empty, appliedIndex: r.appliedIndex, syncs: r.disk.Syncs()}
	if r.raft != nil {
		v.members = sortedByID(r.raft.Members())
		v.status.cfg.term = r.raft.Term()
		v.status.cfg.commitIndex = r.raft.CommitIndex()
		v.status.cfg.matchIndexes = r.raft.MatchIndexes()
		v.status.cfg.lagBytes = r.raft.LagBytes()
		v.status.cfg.logEntries, v.status.cfg.logBytes = r.raft.LogEntries(), r.raft.LogBytes()
		v.status.cfg.role = r.role(v.members)
		v.status.cfg.leader = findMember(v.members, r.raft.Leader())
		lease, ok := r.raft.Lease()
		v.lease = lease
		v.leaseHeld = ok && r.appliedIndex >= lease.RequiredIndex() && r.failed == nil
	}
	old := r.view.Swap(v)
	r.logChanges(old, v)
}

func (r *Replica) role(members []Member) Role {
	switch r.raft.Role() {
	case sqraft.Leader:
		return Leader
	case sqraft.Follower:
		m := findMember(members, r.identity.ID())
		if m.ID() == 0 || m.Learner() {
			return Learner
		}
		return Follower
	default:
		return Candidate
	}
}

func findMember(members []Member, id uint64) Member {
	for _, m := range members {
		if m.ID() == id {
			return m
		}
	}
	return Member{}
}

// Identity returns the identity of this replica.
func (r *Replica) Identity() Identity { return r.view.Load().identity }

// Status returns this replica's view of the cluster.
func (r *Replica) Status() Status { return r.view.Load().status }

// Members returns the membership as this replica knows it, in ascending order of
// identity.
func (r *Replica) Members() []Member { return append([]Member(nil), r.view.Load().members...) }

// PreviousLeasesEnd returns a time, on sqclock's clock, by which every lease of an
// earlier term has ended. ok is false unless this replica leads in term.
func (r *Replica) PreviousLeasesEnd(term uint64) (end time.Time, ok bool) {
	v := r.view.Load()
	if v.lease.Term() != term {
		return time.Time{}, false
	}
	return v.lease.PreviousLeasesEnd(), true
}

// Lease reports whether this replica holds the lease at now, in which term, and
// until when if it is not renewed. Times are on sqclock's clock.
func (r *Replica) Lease(now time.Time) (term uint64, until time.Time, held bool) {
	v := r.view.Load()
	if !v.leaseHeld || now.Before(v.lease.ValidFrom()) || !now.Before(v.lease.ValidUntil()) {
		return 0, time.Time{}, false
	}
	return v.lease.Term(), v.lease.ValidUntil(), true
}
