package sqraft

import "time"

// After a failed election, a retry waits between ElectionTimeout /
// minRetryDivisor and ElectionTimeout / maxRetryDivisor. Retries come sooner
// than the first try, since every vote promise has run out by then.
const (
	minRetryDivisor = 4
	maxRetryDivisor = 1
)

// Tick starts the elections and heartbeats that are due at now.
func (r *Raft) Tick(now time.Time) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now.Before(r.electionDeadline) {
		return
	}
	if !r.isVoter() {
		r.resetElectionTimer()
		return
	}
	if r.votePromiseInForce(0) {
		r.electionDeadline = r.votePromiseUntil
		return
	}
	r.startPreVote()
}

// votePromiseInForce reports whether this replica must not vote for another
// candidate. A promise to the leader of transferTerm, if not 0, does not count:
// that leader has given up the lease that rested on it.
func (r *Raft) votePromiseInForce(transferTerm uint64) bool {
	if faultIgnorePromise {
		return false
	}
	if transferTerm != 0 && transferTerm == r.votePromiseTerm {
		return false
	}
	return r.role == Leader || r.now.Before(r.votePromiseUntil)
}

// extendVotePromise extends the vote promise to the leader of the current term.
// It never shortens it.
func (r *Raft) extendVotePromise(until time.Time) {
	if until.After(r.votePromiseUntil) {
		r.votePromiseUntil = until
		r.votePromiseTerm = r.term
	}
}

func (r *Raft) resetElectionTimer() {
	r.electionDeadline = r.now.Add(r.cfg.Timing.ElectionTimeout + r.randomDuration(r.cfg.Timing.electionJitter()))
}

func (r *Raft) scheduleElectionRetry() {
	minDelay := r.cfg.Timing.ElectionTimeout / minRetryDivisor
	maxDelay := r.cfg.Timing.ElectionTimeout / maxRetryDivisor
	r.electionDeadline = r.now.Add(minDelay + r.randomDuration(maxDelay-minDelay))
}

func (r *Raft) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// startPreVote asks the voters whether an election would succeed. A replica
// that was cut off must not raise its term before they agree, or its return
// would depose a healthy leader.
func (r *Raft) startPreVote() {
	if faultSkipPreVote {
		r.startElection(0)
		return
	}
	r.role = PreCandidate
	r.leader = 0
	r.scheduleElectionRetry()
	r.votes = map[uint64]bool{r.cfg.ID: true}
	if len(r.votes) >= r.quorum() {
		r.startElection(0)
		return
	}
	r.requestVotes(MessageKind_PRE_VOTE, r.term+1)
}

// startElection raises the term and requests votes. The messages are sent after
// the sync, so a replica that crashes cannot forget that it voted for itself.
// transferTerm is the term whose leader requested the election, or 0.
func (r *Raft) startElection(transferTerm uint64) {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.votedFor = r.cfg.ID
	r.transferTerm = transferTerm
	r.previousLeasesEnd = r.now.Add(-r.timeSincePromiseEnd())
	r.hardStateChanged = true
	r.scheduleElectionRetry()
	r.votes = map[uint64]bool{r.cfg.ID: true}
	if len(r.votes) >= r.quorum() {
		r.becomeLeader()
		return
	}
	r.requestVotes(MessageKind_VOTE, r.term)
}

func (r *Raft) requestVotes(kind MessageKind, term uint64) {
	for _, id := range r.voters() {
		if id == r.cfg.ID {
			continue
		}
		m := &Message{Kind: kind, To: id, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm()}
		if kind == MessageKind_VOTE {
			m.HandOver = r.transferTerm
		}
		r.send(m)
	}
}

func (r *Raft) isLogUpToDate(m *Message) bool {
	if m.GetLogTerm() != r.log.lastTerm() {
		return m.GetLogTerm() > r.log.lastTerm()
	}
	return m.GetIndex() >= r.log.lastIndex()
}

func (r *Raft) stepPreVote(m *Message) {
	if m.GetTerm() > r.term && !r.votePromiseInForce(0) && r.isLogUpToDate(m) {
		r.send(&Message{Kind: MessageKind_PRE_VOTE_ANSWER, To: m.GetFrom(), Term: m.GetTerm()})
		return
	}
	r.send(&Message{Kind: MessageKind_PRE_VOTE_ANSWER, To: m.GetFrom(), Reject: true})
}

func (r *Raft) stepVote(m *Message) {
	voteAvailable := r.votedFor == 0 || r.votedFor == m.GetFrom()
	if !voteAvailable || r.votePromiseInForce(m.GetHandOver()) || !r.isLogUpToDate(m) {
		r.send(&Message{Kind: MessageKind_VOTE_ANSWER, To: m.GetFrom(), Reject: true})
		return
	}
	r.votedFor = m.GetFrom()
	r.hardStateChanged = true
	r.resetElectionTimer()
	r.send(&Message{Kind: MessageKind_VOTE_ANSWER, To: m.GetFrom(), PromiseOver: uint64(r.timeSincePromiseEnd())})
}

// timeSincePromiseEnd returns how long ago the last vote promise ended, or 0 if
// it still runs. Every lease that this replica acknowledged was over by then. A
// promise that a leadership transfer set aside may still run; its leader has
// given up its lease, so the lease is over now.
func (r *Raft) timeSincePromiseEnd() time.Duration {
	return max(0, r.now.Sub(r.votePromiseUntil))
}

func (r *Raft) stepPreVoteAnswer(m *Message) {
	if r.role != PreCandidate || m.GetReject() || m.GetTerm() != r.term+1 {
		return
	}
	if r.recordVote(m.GetFrom()) {
		r.startElection(0)
	}
}

func (r *Raft) stepVoteAnswer(m *Message) {
	if r.role != Candidate || m.GetReject() || m.GetTerm() != r.term {
		return
	}
	// Every quorum that acknowledged an earlier leader includes at least one of
	// these voters, so the latest end of their promises bounds every earlier
	// lease.
	if end := r.now.Add(-r.cfg.Timing.minElapsed(time.Duration(m.GetPromiseOver()))); end.After(r.previousLeasesEnd) &&
		!faultIgnorePromiseEnd {
		r.previousLeasesEnd = end
	}
	if r.recordVote(m.GetFrom()) {
		r.becomeLeader()
	}
}

// recordVote records a granted vote and reports whether a quorum of the voters
// has granted theirs. A replica that lost its disk has another id, which is not
// among the voters, and is not counted.
func (r *Raft) recordVote(from uint64) bool {
	r.votes[from] = true
	granted := 0
	for _, id := range r.voters() {
		if r.votes[id] {
			granted++
		}
	}
	return granted >= r.quorum()
}

func (r *Raft) becomeFollower(term, leader uint64) {
	if term > r.term {
		r.term = term
		r.votedFor = 0
		r.hardStateChanged = true
	}
	r.role = Follower
	r.leader = leader
	r.leaderState = nil
	r.votes = nil
	r.resetElectionTimer()
}
