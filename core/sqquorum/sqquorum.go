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
	// smallestTolerantGroup is the number of voters of the smallest group in which the
	// others are a quorum if one voter is lost.
	smallestTolerantGroup = 3
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

// NextChange returns the next membership change. A new member first catches up as a
// learner. All learners that are needed catch up at the same time: if each waited for the
// one before it, the group would lack voters for the sum of these times.
//
// A voter that is only silent may come back with its disk, so its replacement becomes a
// voter before it is removed. In the other order, there would be a time when all voters
// left are needed for a quorum; if one of them lost its disk then, the group would never
// have a leader again. A voter that has lost its disk never comes back, so it is removed
// before its replacement becomes a voter. In the other order, both would be voters for a
// time, and the replacement may lose the same disk once more.
func NextChange(now time.Time, v View) Change {
	if c := removeDeadLearner(now, v); c.Kind != None {
		return c
	}
	if l := v.caughtUpLearner(now); l != nil && v.voterCount() < v.minVoters() {
		return promote(l)
	}
	if lost := v.wipedVoter(now); lost != nil {
		return replaceWiped(now, v, lost)
	}
	silent := v.silentVoter(now)
	if v.voterCount() > v.minVoters() {
		return removeSurplus(now, v, silent)
	}
	if silent == nil && v.voterCount() >= v.TargetVoters {
		return Change{}
	}
	if l := v.caughtUpLearner(now); l != nil {
		return promote(l)
	}
	return addMissingLearner(now, v)
}

// promote makes the learner a voter.
func promote(learner *Member) Change {
	return Change{Kind: Promote, ID: learner.ID, Reason: "caught up, and the group lacks a voter that answers"}
}

// replaceWiped removes a voter that has lost its disk, once another member can take its
// place or the group has more voters than it needs.
func replaceWiped(now time.Time, v View, lost *Member) Change {
	if v.voterCount() <= v.minVoters() && v.caughtUpLearner(now) == nil {
		return addMissingLearner(now, v)
	}
	return Change{Kind: Remove, ID: lost.ID, Reason: "its disk is lost, and a caught-up member can take its place"}
}

// addMissingLearner adds a learner unless there is one for each voter that the group lacks.
func addMissingLearner(now time.Time, v View) Change {
	missing := max(0, v.TargetVoters-v.voterCount())
	for _, m := range v.Members {
		if !m.Learner && !m.Leader && (now.Sub(m.LastSeen) > voterTimeout || v.diskLost(now, m)) {
			missing++
		}
	}
	if len(v.Members)-v.voterCount() >= missing {
		return Change{}
	}
	return addCandidate(now, v)
}

// removeSurplus removes the silent voter. If there is none, it was back after its
// replacement had become a voter. Then one of the zone with the most voters is removed,
// once all voters answer.
func removeSurplus(now time.Time, v View, silent *Member) Change {
	if silent != nil {
		return Change{Kind: Remove, ID: silent.ID, Reason: "silent, and another voter has taken its place"}
	}
	votersByZone := map[string]int{}
	var removable []Member
	for _, m := range v.Members {
		switch {
		case m.Learner:
			continue
		case now.Sub(m.LastSeen) >= candidateTTL:
			return Change{}
		case !m.Leader:
			removable = append(removable, m)
		}
		votersByZone[m.Zone]++
	}
	surplus := slices.MaxFunc(removable, func(a, b Member) int {
		return cmp.Or(cmp.Compare(votersByZone[a.Zone], votersByZone[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return Change{Kind: Remove, ID: surplus.ID, Reason: "more voters than the group should have"}
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

// wipedVoter returns a voter that has lost its disk, or nil.
func (v View) wipedVoter(now time.Time) *Member {
	return v.findVoter(func(m Member) bool { return v.diskLost(now, m) })
}

// silentVoter returns a voter that has been silent for voterTimeout, or nil.
func (v View) silentVoter(now time.Time) *Member {
	return v.findVoter(func(m Member) bool { return now.Sub(m.LastSeen) > voterTimeout })
}

// findVoter returns the first voter other than the leader that meets the condition, or
// nil.
func (v View) findVoter(condition func(m Member) bool) *Member {
	for i, m := range v.Members {
		if !m.Learner && !m.Leader && condition(m) {
			return &v.Members[i]
		}
	}
	return nil
}

// diskLost reports whether a replica with another ID runs at the address of the
// member, which means that the member has lost its disk. The other replica may have
// joined the group already.
func (v View) diskLost(now time.Time, m Member) bool {
	replaces := func(id uint64, address string, lastSeen time.Time) bool {
		return address == m.Address && id != m.ID && now.Sub(lastSeen) < candidateTTL && lastSeen.After(m.LastSeen)
	}
	return slices.ContainsFunc(v.Candidates, func(c Candidate) bool { return replaces(c.ID, c.Address, c.LastSeen) }) ||
		slices.ContainsFunc(v.Members, func(other Member) bool { return replaces(other.ID, other.Address, other.LastSeen) })
}

// minVoters returns the number of voters below which none is removed that may come back:
// with fewer than smallestTolerantGroup, the loss of one voter leaves no quorum.
func (v View) minVoters() int { return max(v.TargetVoters, smallestTolerantGroup) }

// caughtUpLearner returns a learner that can become a voter, or nil. One that has just fallen
// silent must not hold up another one.
func (v View) caughtUpLearner(now time.Time) *Member {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Learner && m.CaughtUp && now.Sub(m.LastSeen) < candidateTTL })
	if i < 0 {
		return nil
	}
	return &v.Members[i]
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

// addCandidate adds the candidate whose zone has the fewest live members.
func addCandidate(now time.Time, v View) Change {
	membersByZone := map[string]int{}
	for _, m := range v.Members {
		if now.Sub(m.LastSeen) <= voterTimeout && !v.diskLost(now, m) {
			membersByZone[m.Zone]++
		}
	}
	live := slices.DeleteFunc(slices.Clone(v.Candidates), func(c Candidate) bool {
		return now.Sub(c.LastSeen) >= candidateTTL
	})
	if len(live) == 0 {
		return Change{}
	}
	best := slices.MinFunc(live, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(membersByZone[a.Zone], membersByZone[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return Change{Kind: Add, ID: best.ID, Candidate: best, Reason: "the group lacks a voter"}
}

// String returns the name of the kind as it appears in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[k]
}
