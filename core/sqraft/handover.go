package sqraft

import "time"

// handOver is the state of a leader that has given up its authority. It never
// gets it back in its term.
type handOver struct {
	// until is when the leader stops trying and leaves the rest to an election.
	until time.Time
	// sent is set once the successor was asked since the last heartbeat.
	sent bool
}

// TransferLeadership makes the leader give up its authority for the rest of its term and
// lets the most caught-up voter be elected at once. It takes no more proposals.
// Call it only when nothing that the lease allowed can still be on its way: the
// new leader does not wait for the end of this lease. It gives NotHolder on
// replicas without the lease and when no other voter is there.
func (r *Raft) TransferLeadership(now time.Time) error {
	r.now = now
	if !r.leads() || len(r.voters()) < 2 {
		return r.notLeader()
	}
	l, ok := r.Lease()
	// Before From, leases of earlier leaders may still run. The successor's right
	// to act at once rests on this leader having waited them out.
	if !ok || r.applied < l.RequiredIndex() || now.Before(l.ValidFrom()) && !faultHandOverFrom {
		return r.notLeader()
	}
	r.lead.handOver = &handOver{until: now.Add(r.cfg.Timing.ElectionTimeout)}
	return nil
}

func (r *Raft) givenUp() bool { return r.role == Leader && r.lead.handOver != nil }

// leads says whether this replica takes proposals.
func (r *Raft) leads() bool { return r.role == Leader && !r.givenUp() }

// tickHandOver ends a hand-over that took too long, and says whether it did.
func (r *Raft) tickHandOver() bool {
	if !r.givenUp() {
		return false
	}
	if !r.now.Before(r.lead.handOver.until) {
		r.becomeFollower(r.term, 0)
		return true
	}
	if !r.now.Before(r.lead.heartbeatAt) {
		// The request may be lost, or the successor gone.
		r.lead.handOver.sent = false
	}
	return false
}

// flushHandOver asks the successor to campaign once it has all there is.
func (r *Raft) flushHandOver() {
	if !r.givenUp() || r.lead.handOver.sent {
		return
	}
	id := r.successor()
	if id == 0 {
		return
	}
	r.lead.handOver.sent = true
	r.send(&Message{Kind: MessageKind_HAND_OVER, To: id})
}

// successor returns the voter that was heard last among those that have synced
// the whole log, or 0. All of it is committed first, so that callers that wait
// for their proposals get answers.
func (r *Raft) successor() uint64 {
	if r.commit < r.log.last() {
		return 0
	}
	best := uint64(0)
	for _, id := range r.voters() {
		p := r.lead.peers[id]
		if p == nil || p.match < r.log.last() {
			continue
		}
		if best == 0 || p.heard.After(r.lead.peers[best].heard) {
			best = id
		}
	}
	return best
}

// stepHandOver campaigns without asking first. Whenever the request arrives, it
// is good for this election: its sender never leads in this term again, and
// this replica's next term is the one right after it.
func (r *Raft) stepHandOver(m *Message) {
	if r.role != Follower || r.leader != m.GetFrom() || !r.isVoter() {
		return
	}
	r.elect(m.GetTerm())
}
