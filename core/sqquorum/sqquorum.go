// Package sqquorum decides how a group of replicas replaces lost members by
// itself: which empty replica joins, when it gets its vote, and which member is
// taken out.
package sqquorum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// silentAfter is how long a voter may be silent before a replica that is
	// ready takes its place. A process that was killed is back sooner.
	silentAfter = 2 * time.Second
	// learnerGoneAfter is how long a learner may be silent before it is dropped.
	learnerGoneAfter = 3 * time.Second
	// candidateFresh is for how long an announcement counts.
	candidateFresh = 1500 * time.Millisecond
)

// Member is a member of the group as its leader sees it.
type Member struct {
	ID      uint64
	Address string
	Zone    string
	Learner bool
	// Leader is set for the leader.
	Leader bool
	// LastSeen is when the member was last heard of.
	LastSeen time.Time
	// CaughtUp is set if the member has all that is committed, or nearly.
	CaughtUp bool
}

// Candidate is a replica that announced itself and is no member.
type Candidate struct {
	ID       uint64
	Name     string
	Address  string
	Zone     string
	LastSeen time.Time
}

// View is what a decision is made of.
type View struct {
	Members    []Member
	Candidates []Candidate
	// TargetVoters is how many voters the group should have.
	TargetVoters int
}

// ChangeKind is what a change does.
type ChangeKind int

// Kinds of changes.
const (
	// None means that nothing is to be done.
	None ChangeKind = iota
	// Add makes a candidate a member without a vote.
	Add
	// Promote gives such a member its vote.
	Promote
	// Remove takes a member out.
	Remove
)

// Change is one step, of which only one is under way at a time.
type Change struct {
	Kind      ChangeKind
	ID        uint64
	Candidate Candidate
	Reason    string
}

// NextChange returns the next step. A new member first catches up without a vote;
// then the lost one is removed, and only then does the new one get its vote. In
// any other order there would be a time when the lost member counts for the
// quorum beside one that has nothing yet.
func NextChange(now time.Time, v View) Change {
	if c := dropLearner(now, v); c.Kind != None {
		return c
	}
	lost := lostVoter(now, v)
	voters := v.voters()
	for _, m := range v.Members {
		if !m.Learner {
			continue
		}
		switch {
		case !m.CaughtUp:
			return Change{}
		case lost != nil:
			return Change{Kind: Remove, ID: lost.ID, Reason: "lost, and a caught-up member can take its place"}
		case voters < v.TargetVoters:
			return Change{Kind: Promote, ID: m.ID, Reason: "caught up"}
		default:
			return Change{}
		}
	}
	if lost == nil && voters >= v.TargetVoters {
		return Change{}
	}
	return addCandidate(now, v)
}

// dropLearner removes a learner that is silent or has lost its disk: it would
// stand in the way of the next one.
func dropLearner(now time.Time, v View) Change {
	for _, m := range v.Members {
		if m.Learner && (now.Sub(m.LastSeen) > learnerGoneAfter || v.replaced(now, m)) {
			return Change{Kind: Remove, ID: m.ID, Reason: "silent before it caught up"}
		}
	}
	return Change{}
}

// lostVoter returns a voter that has lost its disk, else one that is silent.
func lostVoter(now time.Time, v View) *Member {
	var silent *Member
	for i, m := range v.Members {
		if m.Learner || m.Leader {
			continue
		}
		if v.replaced(now, m) {
			return &v.Members[i]
		}
		if now.Sub(m.LastSeen) > silentAfter && silent == nil {
			silent = &v.Members[i]
		}
	}
	return silent
}

// replaced reports whether a replica with another identity runs at a member's
// address: the member's disk is gone.
func (v View) replaced(now time.Time, m Member) bool {
	for _, c := range v.Candidates {
		if c.Address == m.Address && c.ID != m.ID && now.Sub(c.LastSeen) < candidateFresh && c.LastSeen.After(m.LastSeen) {
			return true
		}
	}
	return false
}

func (v View) voters() int {
	n := 0
	for _, m := range v.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// addCandidate picks the candidate whose zone has the fewest voters.
func addCandidate(now time.Time, v View) Change {
	byZone := map[string]int{}
	for _, m := range v.Members {
		if !m.Learner && now.Sub(m.LastSeen) <= silentAfter {
			byZone[m.Zone]++
		}
	}
	fresh := slices.DeleteFunc(slices.Clone(v.Candidates), func(c Candidate) bool {
		return now.Sub(c.LastSeen) >= candidateFresh
	})
	if len(fresh) == 0 {
		return Change{}
	}
	best := slices.MinFunc(fresh, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(byZone[a.Zone], byZone[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return Change{Kind: Add, ID: best.ID, Candidate: best, Reason: "the group lacks a voter"}
}

// String returns the name of the kind in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[k]
}
