package sqquorum

import (
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

// TestReplacement checks the order of a replacement: the new replica is added,
// the failed voter is removed, and only then is the new replica promoted.
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
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(3))

	v.Members = append(v.Members[:2], v.Members[3])
	c = NextChange(now, v)
	assert.Equal(t, c.Kind, Promote)
	assert.Equal(t, c.ID, uint64(9))
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
