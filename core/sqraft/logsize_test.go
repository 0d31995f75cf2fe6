package sqraft

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// largeCommand is the size in bytes of a change of a large configuration.
const largeCommand = 400 << 10

// leaderWithLearner is a leader, which is the only voter, and a learner. It counts what the
// leader sends.
type leaderWithLearner struct {
	t               *testing.T
	now             time.Time
	leader, learner *Raft
	// connected is set while messages arrive.
	connected bool
	// entryBytes and snapshots count what was sent to the learner.
	entryBytes, snapshots int
}

func newLeaderWithLearner(t *testing.T, trailingEntries uint64) *leaderWithLearner {
	now := time.Unix(1000, 0)
	voter := []Member{NewMember(MemberConfig{ID: 1})}
	p := &leaderWithLearner{
		t: t, now: now,
		leader: New(Config{
			ID: 1, Timing: modelTiming, Seed: 1, Start: now, Snapshot: &Snapshot{Membership: MembershipOf(voter)},
			TrailingEntries: trailingEntries,
		}),
		learner: New(Config{ID: 2, Timing: modelTiming, Seed: 2, Start: now}),
	}
	for p.leader.Role() != Leader {
		p.tick()
	}
	p.work()
	return p
}

func (p *leaderWithLearner) tick() {
	p.now = p.now.Add(modelTiming.HeartbeatInterval)
	p.leader.Tick(p.now)
	p.work()
}

// work does all work of both replicas.
func (p *leaderWithLearner) work() {
	for p.workOf(p.leader, p.learner) || p.workOf(p.learner, p.leader) {
	}
}

// workOf does the work of one replica, and reports whether there was any.
func (p *leaderWithLearner) workOf(r, other *Raft) bool {
	d, ok := r.Ready()
	if !ok {
		return false
	}
	r.MarkSynced(p.now)
	for _, m := range append(d.MessagesBeforeSync(), d.MessagesAfterSync()...) {
		if r == p.leader {
			p.count(m)
		}
		if p.connected {
			assert.NilError(p.t, other.Step(p.now, m))
		}
	}
	return true
}

func (p *leaderWithLearner) count(m *Message) {
	for _, e := range m.GetEntries() {
		p.entryBytes += proto.Size(e)
	}
	if m.GetKind() == MessageKind_INSTALL {
		p.snapshots++
	}
}

// propose commits count commands of the size, each before the next one.
func (p *leaderWithLearner) propose(count, size int) {
	for range count {
		_, _, err := p.leader.Propose(p.now, make([]byte, size))
		assert.NilError(p.t, err)
		p.work()
	}
}

// compact takes a snapshot of the size.
func (p *leaderWithLearner) compact(size int) {
	p.leader.Compact(p.leader.MakeSnapshot(p.leader.CommitIndex(), make([]byte, size)))
}

// join adds the learner, and waits until it has all entries.
func (p *leaderWithLearner) join() {
	p.connected = true
	_, _, err := p.leader.AddLearner(p.now, NewMember(MemberConfig{ID: 2}))
	assert.NilError(p.t, err)
	p.catchUp()
}

func (p *leaderWithLearner) catchUp() {
	p.work()
	for range 100 {
		if p.learner.CommitIndex() == p.leader.CommitIndex() {
			return
		}
		p.tick()
	}
	p.t.Fatal("the learner does not catch up")
}

// TestLargeEntriesStayInLog guards against a log that keeps large entries by their number
// and grows with each change of a large configuration, past the memory of the process.
func TestLargeEntriesStayInLog(t *testing.T) {
	p := newLeaderWithLearner(t, 1024)
	for range 20 {
		p.propose(20, largeCommand)
		p.compact(largeCommand)
		assert.Assert(t, p.leader.LogBytes() <= defaultTrailingBytes, "%d bytes", p.leader.LogBytes())
	}
}

// TestEmptyMemberIsSentOldEntries guards against a member with an empty disk that is sent
// each former state instead of the newest one, and takes seconds to get a vote.
func TestEmptyMemberIsSentOldEntries(t *testing.T) {
	p := newLeaderWithLearner(t, 1024)
	p.propose(200, largeCommand)
	p.compact(largeCommand)
	p.propose(5, largeCommand)
	p.join()
	assert.Equal(t, p.snapshots, 1)
	assert.Assert(t, p.entryBytes < 6*largeCommand, "%d bytes", p.entryBytes)
}

// TestSilentMemberIsSentWholeLog guards against a leader that sends a member that does not answer
// thousands of large entries at once, which fill its queues and delay its heartbeats.
func TestSilentMemberIsSentWholeLog(t *testing.T) {
	p := newLeaderWithLearner(t, 1024)
	p.join()
	p.entryBytes = 0
	p.connected = false
	p.propose(100, largeCommand)
	assert.Assert(t, p.entryBytes <= defaultMaxInFlightBytes+defaultMaxBatchBytes, "%d bytes", p.entryBytes)
	p.connected = true
	p.catchUp()
	p.entryBytes = 0
	p.connected = false
	p.propose(1000, 100)
	assert.Assert(t, p.entryBytes >= 1000*100, "small entries need not wait for answers")
}

// TestLongLogOfSmallEntriesIsDropped guards against a bound in bytes that drops small entries
// which members may lack.
func TestLongLogOfSmallEntriesIsDropped(t *testing.T) {
	p := newLeaderWithLearner(t, 1024)
	p.propose(3000, 100)
	p.compact(100)
	assert.Equal(t, p.leader.LogEntries(), 1024)
}

// TestMemberThatLacksLittleGetsSnapshot guards against a whole snapshot for a member that was
// away for a moment.
func TestMemberThatLacksLittleGetsSnapshot(t *testing.T) {
	p := newLeaderWithLearner(t, 1024)
	p.propose(50, largeCommand)
	p.compact(largeCommand)
	p.join()
	p.entryBytes, p.snapshots = 0, 0
	p.connected = false
	p.propose(3, largeCommand)
	p.compact(largeCommand)
	p.connected = true
	p.catchUp()
	assert.Equal(t, p.snapshots, 0)
	assert.Assert(t, p.entryBytes >= 3*largeCommand)
}

// TestTrailingEntriesMayBeAsLargeAsSnapshot checks that more than the default stays in the log
// if the snapshot is larger still.
func TestTrailingEntriesMayBeAsLargeAsSnapshot(t *testing.T) {
	p := newLeaderWithLearner(t, 1024)
	p.propose(60, largeCommand)
	p.compact(3 * defaultTrailingBytes)
	assert.Assert(t, p.leader.LogBytes() <= 3*defaultTrailingBytes)
	assert.Assert(t, p.leader.LogBytes() > 3*defaultTrailingBytes-2*largeCommand)
}
