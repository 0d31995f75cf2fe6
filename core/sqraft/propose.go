package sqraft

import (
	"time"

	"sequoiadock/core/sqerror"
)

// ReadBarrier is a request to read everything committed before it.
type ReadBarrier struct {
	id    uint64
	index uint64
	round uint64
}

// ID returns the number that the caller of Read gave.
func (b ReadBarrier) ID() uint64 { return b.id }

// Index returns the entry that must be applied before the read.
func (b ReadBarrier) Index() uint64 { return b.index }

// Propose appends command on the leader and returns its index and term. The
// command is committed if the entry applied at that index has that term.
func (r *Raft) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	r.now = now
	if !r.leads() {
		return 0, 0, r.notLeader()
	}
	return r.appendEntry(&Entry{Kind: EntryKind_COMMAND, Command: command}), r.term, nil
}

// Read asks for a barrier; it comes out confirmed unless the replica loses the
// lead first.
func (r *Raft) Read(now time.Time, id uint64) error {
	r.now = now
	if !r.leads() {
		return r.notLeader()
	}
	r.lead.roundDue = true
	r.lead.barriers = append(r.lead.barriers, ReadBarrier{
		// Before the leader's own first entry is committed, earlier entries may
		// be committed without its knowing.
		id: id, index: max(r.commit, r.lead.first), round: r.lastRound() + 1,
	})
	return nil
}

// confirmBarriers lets those through whose round a quorum acknowledged: the
// replica was still the leader after they were asked for.
func (r *Raft) confirmBarriers() {
	n := 0
	for _, b := range r.lead.barriers {
		if b.round > r.lead.rounds[0].number {
			break
		}
		n++
	}
	r.confirmed = append(r.confirmed, r.lead.barriers[:n]...)
	r.lead.barriers = r.lead.barriers[n:]
}

// AddLearner proposes a new member without a vote.
func (r *Raft) AddLearner(now time.Time, m Member) (index, term uint64, err error) {
	if err := r.canChange(now); err != nil {
		return 0, 0, err
	}
	if m.ID() == 0 {
		return 0, 0, refuseChange("the identity 0 belongs to nobody")
	}
	for _, x := range r.log.members() {
		if x.ID() == m.ID() {
			return 0, 0, refuseChange("the identity is a member already")
		}
	}
	cfg := m.cfg
	cfg.Learner = true
	return r.proposeMembers(append(r.Members(), NewMember(cfg)))
}

// PromoteLearner proposes a vote for a learner that has synced all that is committed.
func (r *Raft) PromoteLearner(now time.Time, id uint64) (index, term uint64, err error) {
	if err := r.canChange(now); err != nil {
		return 0, 0, err
	}
	members := r.Members()
	for i, m := range members {
		if m.ID() != id {
			continue
		}
		if !m.Learner() {
			return 0, 0, refuseChange("the member has a vote already")
		}
		p := r.lead.peers[id]
		if p.match < r.commit || now.Sub(p.heard) > r.cfg.Timing.ElectionTimeout {
			return 0, 0, sqerror.New(sqerror.Config{
				Kind: sqerror.MemberChange, Detail: "the learner has not caught up",
				RetryAfter: r.cfg.Timing.HeartbeatInterval,
			})
		}
		cfg := m.cfg
		cfg.Learner = false
		members[i] = NewMember(cfg)
		return r.proposeMembers(members)
	}
	return 0, 0, refuseChange("the identity is not a member")
}

// RemoveMember proposes to take out a member other than the leader.
func (r *Raft) RemoveMember(now time.Time, id uint64) (index, term uint64, err error) {
	if err := r.canChange(now); err != nil {
		return 0, 0, err
	}
	if id == r.cfg.ID {
		return 0, 0, refuseChange("the leader cannot remove itself")
	}
	var rest []Member
	for _, m := range r.log.members() {
		if m.ID() != id {
			rest = append(rest, m)
		}
	}
	if len(rest) == len(r.log.members()) {
		return 0, 0, refuseChange("the identity is not a member")
	}
	return r.proposeMembers(rest)
}

// canChange keeps changes apart: quorums of two memberships that differ by one
// voter always share a replica, those of others need not.
func (r *Raft) canChange(now time.Time) error {
	r.now = now
	if !r.leads() {
		return r.notLeader()
	}
	if r.log.membershipIndex() > r.commit || r.commit < r.lead.first {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.MemberChange, Detail: "an earlier change is not committed yet",
			RetryAfter: r.cfg.Timing.HeartbeatInterval,
		})
	}
	return nil
}

func (r *Raft) proposeMembers(members []Member) (index, term uint64, err error) {
	e := &Entry{Kind: EntryKind_MEMBERSHIP, Membership: MembershipOf(members)}
	return r.appendEntry(e), r.term, nil
}

func (r *Raft) notLeader() error {
	var address string
	for _, m := range r.log.members() {
		if m.ID() == r.leader && r.role != Leader {
			address = m.Address()
		}
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Run: sqerror.NotRun, Elsewhere: address,
		RetryAfter: r.cfg.Timing.HeartbeatInterval,
	})
}

func refuseChange(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.MemberChange, Detail: detail})
}
