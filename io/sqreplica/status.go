package sqreplica

import (
	"time"

	"sequoiadock/core/sqraft"
)

// Role is what a replica does in its term.
type Role string

// Roles of a replica.
const (
	// Empty is a replica that no set-up and no leader has addressed yet.
	Empty     Role = "empty"
	Learner   Role = "learner"
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
)

// Status is a replica's view of itself and its cluster.
type Status struct {
	cfg statusConfig
}

type statusConfig struct {
	term      uint64
	role      Role
	leader    Member
	committed uint64
	applied   uint64
	match     map[uint64]uint64
	syncs     uint64
}

// Term returns the current term.
func (s Status) Term() uint64 { return s.cfg.term }

// Role returns what the replica does in the term.
func (s Status) Role() Role { return s.cfg.role }

// LeaderAddress returns the address of the leader, or "" when unknown.
func (s Status) LeaderAddress() string { return s.cfg.leader.Address() }

// Leader returns the leader; its ID is 0 when unknown.
func (s Status) Leader() Member { return s.cfg.leader }

// CommitIndex returns the last index known to be on a quorum.
func (s Status) CommitIndex() uint64 { return s.cfg.committed }

// AppliedIndex returns the last index given to the state machine.
func (s Status) AppliedIndex() uint64 { return s.cfg.applied }

// MatchIndex returns, on a leader, the last index that the member has synced.
func (s Status) MatchIndex(id uint64) uint64 { return s.cfg.match[id] }

// Syncs returns how often the log file was synced since the start.
func (s Status) Syncs() uint64 { return s.cfg.syncs }

// view is what other goroutines see of the replica.
type view struct {
	identity Identity
	status   Status
	members  []Member
	// lease has force only if holds is set, and then only between its times.
	lease sqraft.Lease
	holds bool
}

// publish makes the present state visible. The caller holds mu.
func (r *Replica) publish() {
	v := &view{identity: r.identity}
	v.status.cfg = statusConfig{role: Empty, applied: r.applied, syncs: r.disk.Syncs()}
	if r.raft != nil {
		v.members = byID(r.raft.Members())
		v.status.cfg.term = r.raft.Term()
		v.status.cfg.committed = r.raft.CommitIndex()
		v.status.cfg.match = r.raft.MatchIndexes()
		v.status.cfg.role = r.role(v.members)
		v.status.cfg.leader = find(v.members, r.raft.Leader())
		lease, ok := r.raft.Lease()
		v.lease = lease
		v.holds = ok && r.applied >= lease.RequiredIndex() && r.failed == nil
	}
	old := r.view.Swap(v)
	r.noteChange(old, v)
}

func (r *Replica) role(members []Member) Role {
	switch r.raft.Role() {
	case sqraft.Leader:
		return Leader
	case sqraft.Follower:
		m := find(members, r.identity.ID())
		if m.ID() == 0 || m.Learner() {
			return Learner
		}
		return Follower
	default:
		return Candidate
	}
}

func find(members []Member, id uint64) Member {
	for _, m := range members {
		if m.ID() == id {
			return m
		}
	}
	return Member{}
}

// Identity returns which replica this is.
func (r *Replica) Identity() Identity { return r.view.Load().identity }

// Status returns this replica's view of the cluster.
func (r *Replica) Status() Status { return r.view.Load().status }

// Members returns the membership as this replica knows it, by rising identity.
func (r *Replica) Members() []Member { return append([]Member(nil), r.view.Load().members...) }

// PreviousLeasesEnd returns a time by which every lease of an earlier term was over,
// on sqclock's clock, if this replica leads in the term.
func (r *Replica) PreviousLeasesEnd(term uint64) (over time.Time, ok bool) {
	v := r.view.Load()
	if v.lease.Term() != term {
		return time.Time{}, false
	}
	return v.lease.PreviousLeasesEnd(), true
}

// Lease returns whether this replica holds the lease at now, and until when
// if nothing renews it. Both are on sqclock's clock.
func (r *Replica) Lease(now time.Time) (term uint64, until time.Time, held bool) {
	v := r.view.Load()
	if !v.holds || now.Before(v.lease.ValidFrom()) || !now.Before(v.lease.ValidUntil()) {
		return 0, time.Time{}, false
	}
	return v.lease.Term(), v.lease.ValidUntil(), true
}
