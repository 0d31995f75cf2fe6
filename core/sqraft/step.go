package sqraft

import (
	"time"

	"sequoiadock/core/sqerror"
)

// Step handles a message from another replica. An error of kind WrongCluster
// means that the sender contradicts what is committed here or who leads the
// term: the replica must stop rather than follow the sender.
func (r *Raft) Step(now time.Time, m *Message) error {
	r.now = now
	if m.GetTo() != r.cfg.ID || m.GetFrom() == r.cfg.ID || m.GetFrom() == 0 {
		return nil
	}
	if m.GetTerm() > r.term && !r.stepNewTerm(m) {
		return nil
	}
	if m.GetTerm() < r.term {
		r.stepOldTerm(m)
		return nil
	}
	switch m.GetKind() {
	case MessageKind_PRE_VOTE:
		r.stepPreVote(m)
	case MessageKind_PRE_VOTE_ANSWER:
		r.stepPreVoteAnswer(m)
	case MessageKind_VOTE:
		r.stepVote(m)
	case MessageKind_VOTE_ANSWER:
		r.stepVoteAnswer(m)
	case MessageKind_HEARTBEAT, MessageKind_APPEND, MessageKind_INSTALL:
		return r.stepFromLeader(m)
	case MessageKind_HEARTBEAT_ANSWER:
		r.stepHeartbeatAnswer(m)
	case MessageKind_APPEND_ANSWER:
		r.stepAppendAnswer(m)
	case MessageKind_HAND_OVER:
		r.stepTransferRequest(m)
	}
	return nil
}

// stepNewTerm adopts the newer term of a message if the message's kind calls
// for it, and reports whether to go on handling the message.
func (r *Raft) stepNewTerm(m *Message) bool {
	switch m.GetKind() {
	case MessageKind_PRE_VOTE:
		return true
	case MessageKind_PRE_VOTE_ANSWER:
		if !m.GetReject() {
			return true
		}
	case MessageKind_VOTE:
		// A vote now could elect a leader while a lease that this replica
		// acknowledged still runs.
		if r.votePromiseInForce(m.GetHandOver()) {
			return false
		}
	case MessageKind_HEARTBEAT, MessageKind_APPEND, MessageKind_INSTALL:
		r.becomeFollower(m.GetTerm(), m.GetFrom())
		return true
	}
	r.becomeFollower(m.GetTerm(), 0)
	return true
}

// stepOldTerm tells the sender of a message with an older term the current
// term, so that a leader that was replaced steps down and a candidate catches
// up.
func (r *Raft) stepOldTerm(m *Message) {
	switch m.GetKind() {
	case MessageKind_PRE_VOTE:
		r.send(&Message{Kind: MessageKind_PRE_VOTE_ANSWER, To: m.GetFrom(), Reject: true})
	case MessageKind_VOTE:
		r.send(&Message{Kind: MessageKind_VOTE_ANSWER, To: m.GetFrom(), Reject: true})
	case MessageKind_HEARTBEAT, MessageKind_APPEND, MessageKind_INSTALL:
		r.send(&Message{Kind: MessageKind_HEARTBEAT_ANSWER, To: m.GetFrom(), Reject: true})
	}
}

func (r *Raft) stepFromLeader(m *Message) error {
	if r.role == Leader {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.WrongCluster, Detail: "two leaders in one term",
			Advice: "two replicas share an identity; was a data folder copied?",
		})
	}
	if r.role != Follower || r.leader != m.GetFrom() {
		r.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	r.resetElectionTimer()
	r.extendVotePromise(r.now.Add(r.cfg.Timing.ElectionTimeout))
	switch m.GetKind() {
	case MessageKind_HEARTBEAT:
		r.advanceCommitTo(m.GetCommit())
		r.send(&Message{Kind: MessageKind_HEARTBEAT_ANSWER, To: m.GetFrom(), Round: m.GetRound()})
		return nil
	case MessageKind_APPEND:
		return r.stepAppend(m)
	default:
		r.stepInstallSnapshot(m)
		return nil
	}
}

func (r *Raft) advanceCommitTo(index uint64) {
	r.commitIndex = max(r.commitIndex, min(index, r.log.lastIndex()))
}

func (r *Raft) stepAppend(m *Message) error {
	if m.GetIndex() < r.commitIndex {
		r.acknowledge(m, r.commitIndex)
		return nil
	}
	term, known := r.log.termAt(m.GetIndex())
	if !known || term != m.GetLogTerm() {
		r.send(&Message{
			Kind: MessageKind_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound(),
			Reject: true, Index: m.GetIndex(), Hint: r.rejectHint(m.GetIndex()),
		})
		return nil
	}
	if err := r.appendEntries(m); err != nil {
		return err
	}
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	r.advanceCommitTo(min(m.GetCommit(), last))
	r.acknowledge(m, last)
	return nil
}

func (r *Raft) appendEntries(m *Message) error {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return sqerror.New(sqerror.Config{Kind: sqerror.WrongCluster, Detail: "entries with a gap"})
		}
		term, known := r.log.termAt(e.GetIndex())
		if known && term == e.GetTerm() {
			continue
		}
		if known && e.GetIndex() <= r.commitIndex {
			return sqerror.New(sqerror.Config{
				Kind: sqerror.WrongCluster, Detail: "the leader's log contradicts a committed entry",
				Advice: "stop and compare the replicas' data folders; a quorum lost its disks",
			})
		}
		if known {
			r.log.truncateAfter(e.GetIndex() - 1)
		}
		r.log.append(e)
	}
	return nil
}

// rejectHint returns the index from which the leader should send entries again:
// the start of the term that does not match, so that one retry skips a whole
// term.
func (r *Raft) rejectHint(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex() + 1
	}
	term, known := r.log.termAt(index)
	for known && index > r.commitIndex+1 {
		previousTerm, ok := r.log.termAt(index - 1)
		if !ok || previousTerm != term {
			break
		}
		index--
	}
	return index
}

func (r *Raft) acknowledge(m *Message, index uint64) {
	r.send(&Message{
		Kind: MessageKind_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound(), Index: index,
	})
}

func (r *Raft) stepInstallSnapshot(m *Message) {
	snapshot := m.GetSnapshot()
	if snapshot.GetIndex() <= r.commitIndex {
		r.acknowledge(m, r.commitIndex)
		return
	}
	if term, known := r.log.termAt(snapshot.GetIndex()); known && term == snapshot.GetTerm() {
		r.advanceCommitTo(snapshot.GetIndex())
		r.acknowledge(m, snapshot.GetIndex())
		return
	}
	r.log.resetTo(snapshot)
	r.snapshot = snapshot
	r.installedSnapshot = snapshot
	r.commitIndex = snapshot.GetIndex()
	r.appliedIndex = snapshot.GetIndex()
	r.acknowledge(m, snapshot.GetIndex())
}
