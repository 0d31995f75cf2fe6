package sqraft

import "time"

// leadershipTransfer is the state of a leader that has given up its lease. It
// never regains the lease in its term.
type leadershipTransfer struct {
	// deadline is when the leader stops trying and leaves the choice of its
	// successor to an election.
	deadline time.Time
	// requestSent is set if the request was sent to the successor since the
	// last heartbeat.
	requestSent bool
}

// TransferLeadership makes the leader give up its lease for the rest of its
// term and lets the most caught-up voter be elected at once. The leader accepts
// no more proposals. Call it only when nothing that the lease allowed can still
// be in flight: the new leader does not wait for the end of this lease. It
// returns a NotHolder error on replicas without the lease and when there is no
// other voter.
func (r *Raft) TransferLeadership(now time.Time) error {
	r.now = now
	if !r.acceptsProposals() || len(r.voters()) < 2 {
		return r.notLeaderError()
	}
	lease, ok := r.Lease()
	// Before ValidFrom, leases of earlier leaders may still run. The successor
	// may act at once only because this leader has waited for their end.
	if !ok || r.appliedIndex < lease.RequiredIndex() || now.Before(lease.ValidFrom()) && !faultTransferBeforeLease {
		return r.notLeaderError()
	}
	r.leaderState.transfer = &leadershipTransfer{deadline: now.Add(r.cfg.Timing.ElectionTimeout)}
	return nil
}

func (r *Raft) isTransferring() bool { return r.role == Leader && r.leaderState.transfer != nil }

// acceptsProposals reports whether this replica is a leader that is not
// transferring its leadership.
func (r *Raft) acceptsProposals() bool { return r.role == Leader && !r.isTransferring() }

// tickTransfer ends a leadership transfer that took too long, and reports
// whether it did.
func (r *Raft) tickTransfer() bool {
	if !r.isTransferring() {
		return false
	}
	if !r.now.Before(r.leaderState.transfer.deadline) {
		r.becomeFollower(r.term, 0)
		return true
	}
	if !r.now.Before(r.leaderState.nextHeartbeatAt) {
		// The request may be lost, or the successor may have failed.
		r.leaderState.transfer.requestSent = false
	}
	return false
}

// sendTransferRequest asks the successor to start an election once it has
// synced the whole log.
func (r *Raft) sendTransferRequest() {
	if !r.isTransferring() || r.leaderState.transfer.requestSent {
		return
	}
	id := r.transferTarget()
	if id == 0 {
		return
	}
	r.leaderState.transfer.requestSent = true
	r.send(&Message{Kind: MessageKind_HAND_OVER, To: id})
}

// transferTarget returns, among the voters that have synced the whole log, the
// one that answered last, or 0 if there is none. It returns 0 until the whole
// log is committed, so that callers that wait for their proposals get answers.
func (r *Raft) transferTarget() uint64 {
	if r.commitIndex < r.log.lastIndex() {
		return 0
	}
	bestID := uint64(0)
	for _, id := range r.voters() {
		p := r.leaderState.peers[id]
		if p == nil || p.matchIndex < r.log.lastIndex() {
			continue
		}
		if bestID == 0 || p.lastHeardAt.After(r.leaderState.peers[bestID].lastHeardAt) {
			bestID = id
		}
	}
	return bestID
}

// stepTransferRequest starts an election without a pre-vote. The request is
// valid whenever it arrives: its sender never leads in this term again, and
// this replica's next term is the one right after it.
func (r *Raft) stepTransferRequest(m *Message) {
	if r.role != Follower || r.leader != m.GetFrom() || !r.isVoter() {
		return
	}
	r.startElection(m.GetTerm())
}
