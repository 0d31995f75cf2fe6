package sqraft

import (
	"slices"
	"time"
)

// snapshotRetryElectionTimeouts is after how many election timeouts an
// unacknowledged snapshot is sent again.
const snapshotRetryElectionTimeouts = 3

// leaderState is the state that a replica has only while it is the leader.
type leaderState struct {
	peers map[uint64]*peer
	// firstIndex is the index of the entry that the leader appended on its
	// election.
	firstIndex      uint64
	electedAt       time.Time
	nextHeartbeatAt time.Time
	// rounds holds heartbeat rounds by rising number: the last one that a
	// quorum acknowledged, then those that a quorum may still acknowledge.
	rounds          []heartbeatRound
	roundDue        bool
	pendingBarriers []ReadBarrier
	// skipLeaseWait is set if every earlier lease was over at the election
	// because the previous leader transferred its leadership.
	skipLeaseWait bool
	transfer      *leadershipTransfer
	// previousLeasesEnd is a time by which every lease of an earlier leader had
	// ended.
	previousLeasesEnd time.Time
}

// heartbeatRound is one broadcast of heartbeats to all other members.
type heartbeatRound struct {
	number uint64
	sentAt time.Time
}

// peer is the leader's view of another member.
type peer struct {
	matchIndex uint64
	nextIndex  uint64
	// probing limits the leader to one unanswered message at a time until the
	// two logs are known to agree.
	probing bool
	// paused is set while a probe is unanswered.
	paused bool
	// pendingSnapshot is the index of the snapshot that was sent but not
	// acknowledged, or 0. snapshotSentAt is when it was sent.
	pendingSnapshot uint64
	snapshotSentAt  time.Time
	ackedRound      uint64
	lastHeardAt     time.Time
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.ID
	r.votes = nil
	r.leaderState = &leaderState{
		peers:             map[uint64]*peer{},
		firstIndex:        r.log.lastIndex() + 1,
		electedAt:         r.now,
		nextHeartbeatAt:   r.now.Add(r.cfg.Timing.HeartbeatInterval),
		rounds:            []heartbeatRound{{number: 0, sentAt: r.now}},
		roundDue:          true,
		previousLeasesEnd: r.previousLeasesEnd,
		skipLeaseWait:     r.transferTerm != 0 && r.transferTerm+1 == r.term,
	}
	r.updatePeers()
	r.appendEntry(&Entry{Kind: EntryKind_EMPTY})
}

// updatePeers adds and drops peers to match the membership in force.
func (r *Raft) updatePeers() {
	memberIDs := map[uint64]bool{}
	for _, m := range r.log.members() {
		memberIDs[m.ID()] = true
		if m.ID() == r.cfg.ID || r.leaderState.peers[m.ID()] != nil {
			continue
		}
		r.leaderState.peers[m.ID()] = &peer{nextIndex: r.log.lastIndex() + 1, probing: true}
	}
	for id := range r.leaderState.peers {
		if !memberIDs[id] {
			delete(r.leaderState.peers, id)
		}
	}
}

func (r *Raft) appendEntry(e *Entry) uint64 {
	e.Index = r.log.lastIndex() + 1
	e.Term = r.term
	r.log.append(e)
	if e.GetKind() == EntryKind_MEMBERSHIP {
		r.updatePeers()
	}
	return e.GetIndex()
}

func (r *Raft) tickLeader() {
	if r.now.Sub(r.quorumRoundSentAt()) > r.cfg.Timing.ElectionTimeout && len(r.voters()) > 1 {
		// No quorum acknowledges this leader any more; callers must look for
		// another one.
		r.becomeFollower(r.term, 0)
		return
	}
	if r.tickTransfer() {
		return
	}
	if r.now.Before(r.leaderState.nextHeartbeatAt) {
		return
	}
	r.leaderState.nextHeartbeatAt = r.now.Add(r.cfg.Timing.HeartbeatInterval)
	r.leaderState.roundDue = true
}

// quorumRoundSentAt returns when the last heartbeat round that a quorum
// acknowledged was sent, or the time of the election if there is none.
func (r *Raft) quorumRoundSentAt() time.Time { return r.leaderState.rounds[0].sentAt }

func (r *Raft) lastRound() uint64 { return r.leaderState.rounds[len(r.leaderState.rounds)-1].number }

// sendHeartbeatRound sends a heartbeat to every other member. The round's time
// is that of the input that caused it, which is never later than the true time
// of sending, so that a lease never ends too late.
func (r *Raft) sendHeartbeatRound() {
	r.leaderState.roundDue = false
	n := r.lastRound() + 1
	r.leaderState.rounds = append(r.leaderState.rounds, heartbeatRound{number: n, sentAt: r.now})
	for _, id := range r.peerIDs() {
		p := r.leaderState.peers[id]
		r.send(&Message{
			Kind: MessageKind_HEARTBEAT, To: id, Round: n, Commit: min(p.matchIndex, r.commitIndex),
		})
	}
	r.updateQuorumRound()
}

// peerIDs returns the ids of the other members in ascending order, so that a
// run can be repeated exactly.
func (r *Raft) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(r.leaderState.peers))
	for id := range r.leaderState.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateQuorumRound finds the last heartbeat round that a quorum of voters
// acknowledged. That round extends this replica's own vote promise and confirms
// read barriers.
func (r *Raft) updateQuorumRound() {
	quorumRound := r.quorumValue(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.lastRound()
		}
		return r.leaderState.peers[id].ackedRound
	})
	rounds := r.leaderState.rounds
	for len(rounds) > 1 && rounds[1].number <= quorumRound {
		rounds = rounds[1:]
	}
	r.leaderState.rounds = rounds
	if rounds[0].number > 0 {
		r.extendVotePromise(rounds[0].sentAt.Add(r.cfg.Timing.effectiveLease()))
	}
	r.confirmBarriers()
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (r *Raft) quorumValue(value func(id uint64) uint64) uint64 {
	voters := r.voters()
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-r.quorum()]
}
