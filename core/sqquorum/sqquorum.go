// Package sqquorum decides how a Raft group replaces failed members
// automatically: which spare replica joins, when it becomes a voter, and which
// member is removed.
package sqquorum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// voterTimeout is how long a voter may be silent before a caught-up learner
	// replaces it. A process that was killed restarts in less time.
	voterTimeout = 2 * time.Second
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 3 * time.Second
	// candidateTTL is how long the announcement of a candidate stays valid.
	candidateTTL = 1500 * time.Millisecond
)

// Member is a member of the group, as seen by the leader.
type Member struct {
	ID      uint64
	Address string
	Zone    string
	Learner bool
	// Leader is true for the leader itself.
	Leader bool
	// LastSeen is when the leader last heard from the member.
	LastSeen time.Time
	// CaughtUp is true if the log of the member has all committed entries, or
	// nearly all.
	CaughtUp bool
}

// Candidate is a replica that has announced itself and is not a member of the
// group.
type Candidate struct {
	ID       uint64
	Name     string
	Address  string
	Zone     string
	LastSeen time.Time
}

// View is the state of the group that NextChange decides on.
type View struct {
	Members    []Member
	Candidates []Candidate
	// TargetVoters is the number of voters that the group should have.
	TargetVoters int
}

// ChangeKind is the type of a membership change.
type ChangeKind int

// Kinds of changes.
const (
	// None means that no change is needed.
	None ChangeKind = iota
	// Add makes a candidate a learner, which is a member without a vote.
	Add
	// Promote makes a learner a voter.
	Promote
	// Remove removes a member from the group.
	Remove
)

// Change is one membership change. Only one change is in progress at a time.
type Change struct {
	Kind      ChangeKind
	ID        uint64
	Candidate Candidate
	Reason    string
}

// NextChange returns the next membership change. A new member first catches up
// as a learner; then the failed voter is removed, and only then is the learner
// promoted. In any other order, there would be a time when both the failed
// voter and a member with an incomplete log count towards the quorum.
func NextChange(now time.Time, v View) Change {
	if c := removeDeadLearner(now, v); c.Kind != None {
		return c
	}
	failed := failedVoter(now, v)
	voters := v.voterCount()
	for _, m := range v.Members {
		if !m.Learner {
			continue
		}
		switch {
		case !m.CaughtUp:
			return Change{}
		case failed != nil:
			return Change{Kind: Remove, ID: failed.ID, Reason: "lost, and a caught-up member can take its place"}
		case voters < v.TargetVoters:
			return Change{Kind: Promote, ID: m.ID, Reason: "caught up"}
		default:
			return Change{}
		}
	}
	if failed == nil && voters >= v.TargetVoters {
		return Change{}
	}
	return addCandidate(now, v)
}

// removeDeadLearner removes a learner that is silent or has lost its disk,
// because it would block the next learner.
func removeDeadLearner(now time.Time, v View) Change {
	for _, m := range v.Members {
		if m.Learner && (now.Sub(m.LastSeen) > learnerTimeout || v.diskLost(now, m)) {
			return Change{Kind: Remove, ID: m.ID, Reason: "silent before it caught up"}
		}
	}
	return Change{}
}

// failedVoter returns a voter that has lost its disk or, if there is none, a
// voter that is silent.
func failedVoter(now time.Time, v View) *Member {
	var silent *Member
	for i, m := range v.Members {
		if m.Learner || m.Leader {
			continue
		}
		if v.diskLost(now, m) {
			return &v.Members[i]
		}
		if now.Sub(m.LastSeen) > voterTimeout && silent == nil {
			silent = &v.Members[i]
		}
	}
	return silent
}

// diskLost reports whether a replica with another ID runs at the address of the
// member, which means that the member has lost its disk.
func (v View) diskLost(now time.Time, m Member) bool {
	for _, c := range v.Candidates {
		if c.Address == m.Address && c.ID != m.ID && now.Sub(c.LastSeen) < candidateTTL && c.LastSeen.After(m.LastSeen) {
			return true
		}
	}
	return false
}

func (v View) voterCount() int {
	n := 0
	for _, m := range v.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// addCandidate adds the candidate whose zone has the fewest live voters.
func addCandidate(now time.Time, v View) Change {
	votersByZone := map[string]int{}
	for _, m := range v.Members {
		if !m.Learner && now.Sub(m.LastSeen) <= voterTimeout {
			votersByZone[m.Zone]++
		}
	}
	live := slices.DeleteFunc(slices.Clone(v.Candidates), func(c Candidate) bool {
		return now.Sub(c.LastSeen) >= candidateTTL
	})
	if len(live) == 0 {
		return Change{}
	}
	best := slices.MinFunc(live, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(votersByZone[a.Zone], votersByZone[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return Change{Kind: Add, ID: best.ID, Candidate: best, Reason: "the group lacks a voter"}
}

// String returns the name of the kind as it appears in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[k]
}
