package sqraft

import (
	"time"

	"sequoiadock/core/sqerror"
)

// ReadBarrier is a request for a read that sees every entry committed before
// the request.
type ReadBarrier struct {
	id          uint64
	index       uint64
	roundNumber uint64
}

// ID returns the id that the caller passed to Read.
func (b ReadBarrier) ID() uint64 { return b.id }

// Index returns the index that must be applied before the read.
func (b ReadBarrier) Index() uint64 { return b.index }

// Propose appends command to the leader's log and returns its index and term.
// The command is committed if the entry that is applied at that index has that
// term. Propose returns a NotHolder error on replicas that accept no proposals.
func (r *Raft) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	r.now = now
	if !r.acceptsProposals() {
		return 0, 0, r.notLeaderError()
	}
	return r.appendEntry(&Entry{Kind: EntryKind_COMMAND, Command: command}), r.term, nil
}

// Read requests a read barrier with the given id. Ready returns the barrier
// once it is confirmed, unless the replica loses its leadership first.
func (r *Raft) Read(now time.Time, id uint64) error {
	r.now = now
	if !r.acceptsProposals() {
		return r.notLeaderError()
	}
	r.leaderState.roundDue = true
	r.leaderState.pendingBarriers = append(r.leaderState.pendingBarriers, ReadBarrier{
		// Before the leader's own first entry is committed, earlier entries may
		// be committed without the leader knowing it.
		id: id, index: max(r.commitIndex, r.leaderState.firstIndex), roundNumber: r.lastRound() + 1,
	})
	return nil
}

// confirmBarriers confirms the barriers whose heartbeat round a quorum
// acknowledged: the replica was still the leader after they were requested.
func (r *Raft) confirmBarriers() {
	n := 0
	for _, b := range r.leaderState.pendingBarriers {
		if b.roundNumber > r.leaderState.rounds[0].number {
			break
		}
		n++
	}
	r.confirmedBarriers = append(r.confirmedBarriers, r.leaderState.pendingBarriers[:n]...)
	r.leaderState.pendingBarriers = r.leaderState.pendingBarriers[n:]
}

// AddLearner proposes to add a member without a vote.
func (r *Raft) AddLearner(now time.Time, m Member) (index, term uint64, err error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, 0, err
	}
	if m.ID() == 0 {
		return 0, 0, memberChangeError("the identity 0 belongs to nobody")
	}
	for _, x := range r.log.members() {
		if x.ID() == m.ID() {
			return 0, 0, memberChangeError("the identity is a member already")
		}
	}
	cfg := m.cfg
	cfg.Learner = true
	return r.proposeMembership(append(r.Members(), NewMember(cfg)))
}

// PromoteLearner proposes to give a vote to a learner that has synced every
// committed entry.
func (r *Raft) PromoteLearner(now time.Time, id uint64) (index, term uint64, err error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, 0, err
	}
	members := r.Members()
	for i, m := range members {
		if m.ID() != id {
			continue
		}
		if !m.Learner() {
			return 0, 0, memberChangeError("the member has a vote already")
		}
		p := r.leaderState.peers[id]
		if p.matchIndex < r.commitIndex || now.Sub(p.lastHeardAt) > r.cfg.Timing.ElectionTimeout {
			return 0, 0, sqerror.New(sqerror.Config{
				Kind: sqerror.MemberChange, Detail: "the learner has not caught up",
				RetryAfter: r.cfg.Timing.HeartbeatInterval,
			})
		}
		cfg := m.cfg
		cfg.Learner = false
		members[i] = NewMember(cfg)
		return r.proposeMembership(members)
	}
	return 0, 0, memberChangeError("the identity is not a member")
}

// RemoveMember proposes to remove a member other than the leader.
func (r *Raft) RemoveMember(now time.Time, id uint64) (index, term uint64, err error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, 0, err
	}
	if id == r.cfg.ID {
		return 0, 0, memberChangeError("the leader cannot remove itself")
	}
	var remaining []Member
	for _, m := range r.log.members() {
		if m.ID() != id {
			remaining = append(remaining, m)
		}
	}
	if len(remaining) == len(r.log.members()) {
		return 0, 0, memberChangeError("the identity is not a member")
	}
	return r.proposeMembership(remaining)
}

// checkMembershipChange returns an error if this replica accepts no proposals
// or if an earlier membership change is not committed. Only one change may be
// pending: quorums of two memberships that differ by one voter always share a
// replica, while those of memberships that differ by more need not.
func (r *Raft) checkMembershipChange(now time.Time) error {
	r.now = now
	if !r.acceptsProposals() {
		return r.notLeaderError()
	}
	if r.log.membershipIndex() > r.commitIndex || r.commitIndex < r.leaderState.firstIndex {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.MemberChange, Detail: "an earlier change is not committed yet",
			RetryAfter: r.cfg.Timing.HeartbeatInterval,
		})
	}
	return nil
}

func (r *Raft) proposeMembership(members []Member) (index, term uint64, err error) {
	e := &Entry{Kind: EntryKind_MEMBERSHIP, Membership: MembershipOf(members)}
	return r.appendEntry(e), r.term, nil
}

func (r *Raft) notLeaderError() error {
	var address string
	for _, m := range r.log.members() {
		if m.ID() == r.leader && r.role != Leader {
			address = m.Address()
		}
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Execution: sqerror.NotRun, RedirectAddress: address,
		RetryAfter: r.cfg.Timing.HeartbeatInterval,
	})
}

func memberChangeError(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.MemberChange, Detail: detail})
}
