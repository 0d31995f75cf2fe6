package sqquorum

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func member(id uint64, ago time.Duration) Member {
	return Member{ID: id, Address: string(rune('a' + id)), Zone: string(rune('a' + id)), LastSeen: now.Add(-ago), CaughtUp: true}
}

func candidate(id uint64, address string) Candidate {
	return Candidate{ID: id, Address: address, Zone: "z", LastSeen: now}
}

func whole() View {
	m := []Member{member(1, 0), member(2, 0), member(3, 0)}
	m[0].Leader = true
	return View{Members: m, TargetVoters: 3}
}

func TestNothingToDo(t *testing.T) {
	v := whole()
	assert.Equal(t, NextChange(now, v).Kind, None)
	v.Candidates = []Candidate{candidate(9, "x")}
	assert.Equal(t, NextChange(now, v).Kind, None, "a spare replica does not join a whole group")
	v.Members[2].LastSeen = now.Add(-time.Minute)
	v.Candidates = nil
	assert.Equal(t, NextChange(now, v).Kind, None, "a lost member stays while nobody can take its place")
}

// TestReplacement wants the new replica added, then the lost one removed, and
// only then the new one promoted.
func TestReplacement(t *testing.T) {
	v := whole()
	v.Members[2].LastSeen = now.Add(-3 * time.Second)
	v.Candidates = []Candidate{candidate(9, "x")}
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Add)
	assert.Equal(t, c.ID, uint64(9))

	v.Candidates = nil
	joined := member(9, 0)
	joined.Learner, joined.CaughtUp = true, false
	v.Members = append(v.Members, joined)
	assert.Equal(t, NextChange(now, v).Kind, None, "it has not caught up")

	v.Members[3].CaughtUp = true
	c = NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(3))

	v.Members = append(v.Members[:2], v.Members[3])
	c = NextChange(now, v)
	assert.Equal(t, c.Kind, Promote)
	assert.Equal(t, c.ID, uint64(9))
}

// TestWipedDisk wants a member replaced at once when another identity runs at its
// address, though it was heard a moment ago.
func TestWipedDisk(t *testing.T) {
	v := whole()
	v.Members[1].LastSeen = now.Add(-400 * time.Millisecond)
	v.Candidates = []Candidate{candidate(9, v.Members[1].Address)}
	assert.Equal(t, NextChange(now, v).Kind, Add)
	joined := member(9, 0)
	joined.Learner = true
	v.Members = append(v.Members, joined)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(2))
}

// TestBriefSilence wants a process that was killed a moment ago to keep its place.
func TestBriefSilence(t *testing.T) {
	v := whole()
	v.Members[1].LastSeen = now.Add(-1500 * time.Millisecond)
	v.Candidates = []Candidate{candidate(9, "x")}
	assert.Equal(t, NextChange(now, v).Kind, None)
}

// TestLostLearner wants a learner that is silent out of the way of the next one.
func TestLostLearner(t *testing.T) {
	v := whole()
	gone := member(9, 4*time.Second)
	gone.Learner = true
	v.Members = append(v.Members, gone)
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Remove)
	assert.Equal(t, c.ID, uint64(9))
}

// TestGrows wants spare replicas promoted until there are enough voters, from the
// zones that have the fewest.
func TestGrows(t *testing.T) {
	v := whole()
	v.TargetVoters = 5
	near, far := candidate(8, "x"), candidate(9, "y")
	near.Zone = v.Members[0].Zone
	v.Candidates = []Candidate{near, far}
	c := NextChange(now, v)
	assert.Equal(t, c.Kind, Add)
	assert.Equal(t, c.ID, uint64(9))
}
