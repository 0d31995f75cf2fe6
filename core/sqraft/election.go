package sqraft

import "time"

// Retries after a failed election come sooner than the first try, since every
// promise has run out by then.
const (
	retryLowDivisor  = 4
	retryHighDivisor = 1
)

// Tick lets time pass: it starts elections and heartbeats that are due.
func (r *Raft) Tick(now time.Time) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	if !r.isVoter() {
		r.resetElection()
		return
	}
	if r.promised(0) {
		r.electionAt = r.promiseUntil
		return
	}
	r.campaign()
}

// promised says whether this replica keeps to a leader that it knows of. The
// leader of the term handedOver, if not 0, has given up what it was promised.
func (r *Raft) promised(handedOver uint64) bool {
	if faultPromise {
		return false
	}
	if handedOver != 0 && handedOver == r.promiseTerm {
		return false
	}
	return r.role == Leader || r.now.Before(r.promiseUntil)
}

// promise keeps this replica to the leader of the present term.
func (r *Raft) promise(until time.Time) {
	if until.After(r.promiseUntil) {
		r.promiseUntil = until
		r.promiseTerm = r.term
	}
}

func (r *Raft) resetElection() {
	r.electionAt = r.now.Add(r.cfg.Timing.ElectionTimeout + r.randomBelow(r.cfg.Timing.spread()))
}

func (r *Raft) retryElection() {
	low := r.cfg.Timing.ElectionTimeout / retryLowDivisor
	high := r.cfg.Timing.ElectionTimeout / retryHighDivisor
	r.electionAt = r.now.Add(low + r.randomBelow(high-low))
}

func (r *Raft) randomBelow(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}

// campaign asks whether an election would succeed. A replica that was cut off
// must not raise the term before, or its return would depose a good leader.
func (r *Raft) campaign() {
	if faultPreVote {
		r.elect(0)
		return
	}
	r.role = PreCandidate
	r.leader = 0
	r.retryElection()
	r.votes = map[uint64]bool{r.cfg.ID: true}
	if len(r.votes) >= r.quorum() {
		r.elect(0)
		return
	}
	r.askVotes(MessageKind_PRE_VOTE, r.term+1)
}

// elect raises the term and asks for votes. The messages leave after the sync,
// so a replica that crashes cannot forget that it voted for itself. HandedOver
// is the term whose leader asked for the election, or 0.
func (r *Raft) elect(handedOver uint64) {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.cfg.ID
	r.handedOver = handedOver
	r.earlier = r.now.Add(-r.promiseOver())
	r.hardChanged = true
	r.retryElection()
	r.votes = map[uint64]bool{r.cfg.ID: true}
	if len(r.votes) >= r.quorum() {
		r.becomeLeader()
		return
	}
	r.askVotes(MessageKind_VOTE, r.term)
}

func (r *Raft) askVotes(kind MessageKind, term uint64) {
	for _, id := range r.voters() {
		if id == r.cfg.ID {
			continue
		}
		m := &Message{Kind: kind, To: id, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()}
		if kind == MessageKind_VOTE {
			m.HandOver = r.handedOver
		}
		r.send(m)
	}
}

func (r *Raft) upToDate(m *Message) bool {
	if m.GetLogTerm() != r.log.lastTerm() {
		return m.GetLogTerm() > r.log.lastTerm()
	}
	return m.GetIndex() >= r.log.last()
}

func (r *Raft) stepPreVote(m *Message) {
	if m.GetTerm() > r.term && !r.promised(0) && r.upToDate(m) {
		r.send(&Message{Kind: MessageKind_PRE_VOTE_ANSWER, To: m.GetFrom(), Term: m.GetTerm()})
		return
	}
	r.send(&Message{Kind: MessageKind_PRE_VOTE_ANSWER, To: m.GetFrom(), Reject: true})
}

func (r *Raft) stepVote(m *Message) {
	free := r.vote == 0 || r.vote == m.GetFrom()
	if !free || r.promised(m.GetHandOver()) || !r.upToDate(m) {
		r.send(&Message{Kind: MessageKind_VOTE_ANSWER, To: m.GetFrom(), Reject: true})
		return
	}
	r.vote = m.GetFrom()
	r.hardChanged = true
	r.resetElection()
	r.send(&Message{Kind: MessageKind_VOTE_ANSWER, To: m.GetFrom(), PromiseOver: uint64(r.promiseOver())})
}

// promiseOver returns how long ago the last promise ended. Every lease that this
// replica acknowledged was over by then. A promise that a hand-over set aside
// may still run; its leader has given up, so it is over now.
func (r *Raft) promiseOver() time.Duration {
	return max(0, r.now.Sub(r.promiseUntil))
}

func (r *Raft) stepPreVoteAnswer(m *Message) {
	if r.role != PreCandidate || m.GetReject() || m.GetTerm() != r.term+1 {
		return
	}
	if r.countVote(m.GetFrom()) {
		r.elect(0)
	}
}

func (r *Raft) stepVoteAnswer(m *Message) {
	if r.role != Candidate || m.GetReject() || m.GetTerm() != r.term {
		return
	}
	// Whatever quorum acknowledged an earlier leader, one of these voters was in it.
	if at := r.now.Add(-r.cfg.Timing.atLeast(time.Duration(m.GetPromiseOver()))); at.After(r.earlier) && !faultPromiseOver {
		r.earlier = at
	}
	if r.countVote(m.GetFrom()) {
		r.becomeLeader()
	}
}

// countVote counts the vote of a voting member and says whether there are
// enough. A replica that lost its disk has another id and is not counted.
func (r *Raft) countVote(from uint64) bool {
	r.votes[from] = true
	n := 0
	for _, id := range r.voters() {
		if r.votes[id] {
			n++
		}
	}
	return n >= r.quorum()
}

func (r *Raft) becomeFollower(term, leader uint64) {
	if term > r.term {
		r.term = term
		r.vote = 0
		r.hardChanged = true
	}
	r.role = Follower
	r.leader = leader
	r.lead = nil
	r.votes = nil
	r.resetElection()
}
