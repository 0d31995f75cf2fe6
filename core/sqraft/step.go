package sqraft

import (
	"time"

	"sequoiadock/core/sqerror"
)

// Step takes a message from another replica. An error of kind WrongCluster
// means that the sender's log contradicts what is committed here: the replica
// must stop rather than follow it.
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
		r.stepHandOver(m)
	}
	return nil
}

// stepNewTerm moves to a newer term where the message calls for it, and says
// whether to go on with the message.
func (r *Raft) stepNewTerm(m *Message) bool {
	switch m.GetKind() {
	case MessageKind_PRE_VOTE:
		return true
	case MessageKind_PRE_VOTE_ANSWER:
		if !m.GetReject() {
			return true
		}
	case MessageKind_VOTE:
		// A vote now could elect a leader while the lease that this replica
		// acknowledged still runs.
		if r.promised(m.GetHandOver()) {
			return false
		}
	case MessageKind_HEARTBEAT, MessageKind_APPEND, MessageKind_INSTALL:
		r.becomeFollower(m.GetTerm(), m.GetFrom())
		return true
	}
	r.becomeFollower(m.GetTerm(), 0)
	return true
}

// stepOldTerm tells senders of an older term the present one, so that a leader
// that was replaced steps down and a candidate catches up.
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
	r.resetElection()
	r.promise(r.now.Add(r.cfg.Timing.ElectionTimeout))
	switch m.GetKind() {
	case MessageKind_HEARTBEAT:
		r.commitTo(m.GetCommit())
		r.send(&Message{Kind: MessageKind_HEARTBEAT_ANSWER, To: m.GetFrom(), Round: m.GetRound()})
		return nil
	case MessageKind_APPEND:
		return r.stepAppend(m)
	default:
		r.stepInstall(m)
		return nil
	}
}

func (r *Raft) commitTo(index uint64) {
	r.commit = max(r.commit, min(index, r.log.last()))
}

func (r *Raft) stepAppend(m *Message) error {
	if m.GetIndex() < r.commit {
		r.acknowledge(m, r.commit)
		return nil
	}
	t, known := r.log.term(m.GetIndex())
	if !known || t != m.GetLogTerm() {
		r.send(&Message{
			Kind: MessageKind_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound(),
			Reject: true, Index: m.GetIndex(), Hint: r.hint(m.GetIndex()),
		})
		return nil
	}
	if err := r.appendFrom(m); err != nil {
		return err
	}
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	r.commitTo(min(m.GetCommit(), last))
	r.acknowledge(m, last)
	return nil
}

func (r *Raft) appendFrom(m *Message) error {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return sqerror.New(sqerror.Config{Kind: sqerror.WrongCluster, Detail: "entries with a gap"})
		}
		t, known := r.log.term(e.GetIndex())
		if known && t == e.GetTerm() {
			continue
		}
		if known && e.GetIndex() <= r.commit {
			return sqerror.New(sqerror.Config{
				Kind: sqerror.WrongCluster, Detail: "the leader's log contradicts a committed entry",
				Advice: "stop and compare the replicas' data folders; a quorum lost its disks",
			})
		}
		if known {
			r.log.cut(e.GetIndex() - 1)
		}
		r.log.push(e)
	}
	return nil
}

// hint returns the index before which the leader should try again: the start
// of the term that does not match, so that one try skips a whole term.
func (r *Raft) hint(index uint64) uint64 {
	if index > r.log.last() {
		return r.log.last() + 1
	}
	t, known := r.log.term(index)
	for known && index > r.commit+1 {
		before, ok := r.log.term(index - 1)
		if !ok || before != t {
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

func (r *Raft) stepInstall(m *Message) {
	s := m.GetSnapshot()
	if s.GetIndex() <= r.commit {
		r.acknowledge(m, r.commit)
		return
	}
	if t, known := r.log.term(s.GetIndex()); known && t == s.GetTerm() {
		r.commitTo(s.GetIndex())
		r.acknowledge(m, s.GetIndex())
		return
	}
	r.log.reset(s)
	r.snapshot = s
	r.installed = s
	r.commit = s.GetIndex()
	r.applied = s.GetIndex()
	r.acknowledge(m, s.GetIndex())
}
