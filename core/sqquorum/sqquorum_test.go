package sqquorum

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func member(id uint64, age time.Duration) Member {
	return Member{ID: id, Address: string(rune('a' + id)), Zone: string(rune('a' + id)), LastSeen: now.Add(-age), CaughtUp: true}
}

func candidate(id uint64, address string) Candidate {
	return Candidate{ID: id, Address: address, Zone: "z", LastSeen: now}
}

func healthyGroup() View {
	m := []Member{member(1, 0), member(2, 0), member(3, 0)}
	m[0].Leader = true
	return View{Members: m, TargetVoters: 3}
}

func TestNoChangeNeeded(t *testing.T) {
	v := healthyGroup()
	assert.Equal(t, NextChange(now, v).Kind, None)
	v.Candidates = []Candidate{candidate(9, "x")}
	assert.Equal(t, NextChange(now, v).Kind, None, "a candidate does not join a group with enough voters")
	v.Members[2].LastSeen = now.Add(-time.Minute)
	v.Candidates = nil
	assert.Equal(t, NextChange(now, v).Kind, None, "a failed voter is kept while there is no candidate")
}

// TestReplacement checks the order of the replacement of a silent voter: the new replica
// is added, it is promoted, and only then is the silent voter removed, so that there are
// never fewer voters than the group should have.
func TestReplacement(t *testing.T) {
	v := healthyGroup()
	v.Members[2].LastSeen = now.Add(-3 * time.Second)
	v.Candidates = []Candidate{candidate(9, "x")}
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Add)
	assert.Equal(t, c.ID, uint64(9))

	v.Candidates = nil
	learner := member(9, 0)
	learner.Learner, learner.CaughtUp = true, false
	v.Members = append(v.Members, learner)
	assert.Equal(t, NextChange(now, v).Kind, None, "the learner has not caught up")

	v.Members[3].CaughtUp = true
	c = NextChange(now, v)
	assert.Equal(t, c.Kind, Promote)
	assert.Equal(t, c.ID, uint64(9))

	v.Members[3].Learner = false
	c = NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(3))

	v.Members = append(v.Members[:2], v.Members[3])
	assert.Equal(t, NextChange(now, v).Kind, None)
}

// TestSecondDiskWaitsForFirst guards against replacements one after the other: of two voters
// whose disks are lost, both must be replaced within the time that one may take.
func TestSecondDiskWaitsForFirst(t *testing.T) {
	v := View{TargetVoters: 5}
	for id := uint64(1); id <= 5; id++ {
		v.Members = append(v.Members, member(id, 0))
	}
	v.Members[0].Leader = true
	var changes []Change
	for _, lost := range []int{3, 4} {
		v.Members[lost].LastSeen = now.Add(-400 * time.Millisecond)
		v.Candidates = append(v.Candidates, candidate(uint64(10+lost), v.Members[lost].Address))
	}
	v.Candidates = append(v.Candidates, candidate(20, "spare"), candidate(21, "other spare"))
	for len(changes) < 10 {
		c := NextChange(now, v)
		if c.Kind == None {
			break
		}
		changes = append(changes, c)
		v = v.after(c)
	}
	assert.Equal(t, len(changes), 2, "one learner for each lost disk, and no more")
	assert.Equal(t, changes[0].Kind, Add)
	assert.Equal(t, changes[1].Kind, Add)
	for i := range v.Members {
		v.Members[i].CaughtUp = true
	}
	for _, kind := range []ChangeKind{Remove, Promote, Remove, Promote, None} {
		c := NextChange(now, v)
		assert.Equal(t, c.Kind, kind)
		v = v.after(c)
	}
	assert.Equal(t, v.voterCount(), 5)
}

// TestOneLearnerForOneVoter checks that no further learner joins while the one that replaces a
// silent voter catches up.
func TestOneLearnerForOneVoter(t *testing.T) {
	v := healthyGroup()
	v.Members[2].LastSeen = now.Add(-3 * time.Second)
	v.Candidates = []Candidate{candidate(9, "x"), candidate(10, "y")}
	v = v.after(NextChange(now, v))
	assert.Equal(t, NextChange(now, v).Kind, None)
}

// TestSilentLearnerHoldsUpNext guards against a learner that has just fallen silent and keeps
// another one that has caught up from its vote.
func TestSilentLearnerHoldsUpNext(t *testing.T) {
	v := healthyGroup()
	v.Members[1].LastSeen = now.Add(-3 * time.Second)
	silent, live := member(9, candidateTTL), member(10, 0)
	silent.Learner, live.Learner = true, true
	v.Members = append(v.Members, silent, live)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Promote)
	assert.Equal(t, c.ID, uint64(10))
}

// after returns the view once the change is made. A learner has not caught up at first.
func (v View) after(c Change) View {
	switch c.Kind {
	case Add:
		v.Members = append(slices.Clone(v.Members), Member{ID: c.ID, Address: c.Candidate.Address, Zone: c.Candidate.Zone, Learner: true, LastSeen: now})
		v.Candidates = slices.DeleteFunc(slices.Clone(v.Candidates), func(x Candidate) bool { return x.ID == c.ID })
	case Promote:
		i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == c.ID })
		v.Members[i].Learner = false
	case Remove:
		v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.ID == c.ID })
	}
	return v
}

// TestSilentVoterIsBack checks that the group returns to its size when a voter answers
// again whose replacement has a vote already: one of the zone with the most voters goes,
// but not while any voter may have failed.
func TestSilentVoterIsBack(t *testing.T) {
	v := healthyGroup()
	replacement := member(9, 0)
	replacement.Zone = v.Members[1].Zone
	v.Members = append(v.Members, replacement)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(9))

	v.Members[2].LastSeen = now.Add(-candidateTTL)
	assert.Equal(t, NextChange(now, v).Kind, None)
}

// TestSmallGroupKeepsItsVoters checks that a group of three keeps three voters while one
// is silent, also if it should have fewer.
func TestSmallGroupKeepsItsVoters(t *testing.T) {
	v := healthyGroup()
	v.TargetVoters = 1
	v.Members[2].LastSeen = now.Add(-3 * time.Second)
	assert.Equal(t, NextChange(now, v).Kind, None)
	learner := member(9, 0)
	learner.Learner = true
	v.Members = append(v.Members, learner)
	assert.Equal(t, NextChange(now, v).Kind, Promote)
}

// TestWipedDiskOfMember checks that a voter whose disk is lost is removed before the
// replica at its address becomes a voter, although that one is a member by then.
func TestWipedDiskOfMember(t *testing.T) {
	v := healthyGroup()
	v.Members[1].LastSeen = now.Add(-400 * time.Millisecond)
	learner := member(9, 0)
	learner.Learner, learner.Address = true, v.Members[1].Address
	v.Members = append(v.Members, learner)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(2))
	v.Members = append(v.Members[:1], v.Members[2:]...)
	assert.Equal(t, NextChange(now, v).Kind, Promote)
}

// TestWipedDisk checks that a member is replaced immediately when a replica
// with another ID runs at its address, even if the member was heard from
// recently.
func TestWipedDisk(t *testing.T) {
	v := healthyGroup()
	v.Members[1].LastSeen = now.Add(-400 * time.Millisecond)
	v.Candidates = []Candidate{candidate(9, v.Members[1].Address)}
	assert.Equal(t, NextChange(now, v).Kind, Add)
	learner := member(9, 0)
	learner.Learner = true
	v.Members = append(v.Members, learner)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(2))
}

// TestVoterTimeoutNotReached checks that a voter that has been silent for less
// than the voter timeout, such as a process that was killed and restarts, keeps
// its place.
func TestVoterTimeoutNotReached(t *testing.T) {
	v := healthyGroup()
	v.Members[1].LastSeen = now.Add(-1500 * time.Millisecond)
	v.Candidates = []Candidate{candidate(9, "x")}
	assert.Equal(t, NextChange(now, v).Kind, None)
}

// TestSilentLearnerRemoved checks that a silent learner is removed, so that it
// does not block the next one.
func TestSilentLearnerRemoved(t *testing.T) {
	v := healthyGroup()
	silent := member(9, 4*time.Second)
	silent.Learner = true
	v.Members = append(v.Members, silent)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(9))
}

// TestAddsMissingVoters checks that a candidate is added while the group has
// too few voters, and that it comes from the zone with the fewest voters.
func TestAddsMissingVoters(t *testing.T) {
	v := healthyGroup()
	v.TargetVoters = 5
	sameZone, newZone := candidate(8, "x"), candidate(9, "y")
	sameZone.Zone = v.Members[0].Zone
	v.Candidates = []Candidate{sameZone, newZone}
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Add)
	assert.Equal(t, c.ID, uint64(9))
}
