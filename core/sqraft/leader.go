package sqraft

import (
	"slices"
	"time"
)

// installRetry is after how many election timeouts a snapshot is sent again.
const installRetry = 3

// leadership is the state that a replica has only while it leads.
type leadership struct {
	peers map[uint64]*peer
	// first is the entry that the leader appended on its election.
	first       uint64
	since       time.Time
	heartbeatAt time.Time
	// rounds are those that a later quorum may still acknowledge, by rising
	// number; the first is acknowledged.
	rounds   []round
	roundDue bool
	barriers []ReadBarrier
	// noWait is set when every earlier lease was over at the election.
	noWait   bool
	handOver *handOver
	// earlier is when every earlier lease was over.
	earlier time.Time
}

// round is one broadcast of heartbeats.
type round struct {
	number uint64
	sent   time.Time
}

// peer is what the leader knows of another member.
type peer struct {
	match uint64
	next  uint64
	// probing sends one message at a time until the logs are known to agree.
	probing bool
	paused  bool
	// installing is the snapshot under way, or 0, and installAt its sending.
	installing uint64
	installAt  time.Time
	round      uint64
	heard      time.Time
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.ID
	r.votes = nil
	r.lead = &leadership{
		peers:       map[uint64]*peer{},
		first:       r.log.last() + 1,
		since:       r.now,
		heartbeatAt: r.now.Add(r.cfg.Timing.HeartbeatInterval),
		rounds:      []round{{number: 0, sent: r.now}},
		roundDue:    true,
		earlier:     r.earlier,
		noWait:      r.handedOver != 0 && r.handedOver+1 == r.term,
	}
	r.updatePeers()
	r.appendEntry(&Entry{Kind: EntryKind_EMPTY})
}

// updatePeers follows a change of the membership.
func (r *Raft) updatePeers() {
	known := map[uint64]bool{}
	for _, m := range r.log.members() {
		known[m.ID()] = true
		if m.ID() == r.cfg.ID || r.lead.peers[m.ID()] != nil {
			continue
		}
		r.lead.peers[m.ID()] = &peer{next: r.log.last() + 1, probing: true}
	}
	for id := range r.lead.peers {
		if !known[id] {
			delete(r.lead.peers, id)
		}
	}
}

func (r *Raft) appendEntry(e *Entry) uint64 {
	e.Index = r.log.last() + 1
	e.Term = r.term
	r.log.push(e)
	if e.GetKind() == EntryKind_MEMBERSHIP {
		r.updatePeers()
	}
	return e.GetIndex()
}

func (r *Raft) tickLeader() {
	if r.now.Sub(r.quorumSent()) > r.cfg.Timing.ElectionTimeout && len(r.voters()) > 1 {
		// Nobody acknowledges this leader any more; callers must look elsewhere.
		r.becomeFollower(r.term, 0)
		return
	}
	if r.tickHandOver() {
		return
	}
	if r.now.Before(r.lead.heartbeatAt) {
		return
	}
	r.lead.heartbeatAt = r.now.Add(r.cfg.Timing.HeartbeatInterval)
	r.lead.roundDue = true
}

// quorumSent returns when the last round was sent that a quorum acknowledged,
// or the time of the election.
func (r *Raft) quorumSent() time.Time { return r.lead.rounds[0].sent }

func (r *Raft) lastRound() uint64 { return r.lead.rounds[len(r.lead.rounds)-1].number }

// startRound sends heartbeats to all. The time of sending is that of the input
// that caused them, which is never later than the true one.
func (r *Raft) startRound() {
	r.lead.roundDue = false
	n := r.lastRound() + 1
	r.lead.rounds = append(r.lead.rounds, round{number: n, sent: r.now})
	for _, id := range r.peerIDs() {
		p := r.lead.peers[id]
		r.send(&Message{
			Kind: MessageKind_HEARTBEAT, To: id, Round: n, Commit: min(p.match, r.commit),
		})
	}
	r.countRounds()
}

// peerIDs returns the other members in a fixed order, so that a run can be
// repeated exactly.
func (r *Raft) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(r.lead.peers))
	for id := range r.lead.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// countRounds finds the last round that a quorum of voters acknowledged.
func (r *Raft) countRounds() {
	reached := r.agreed(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.lastRound()
		}
		return r.lead.peers[id].round
	})
	rounds := r.lead.rounds
	for len(rounds) > 1 && rounds[1].number <= reached {
		rounds = rounds[1:]
	}
	r.lead.rounds = rounds
	if rounds[0].number > 0 {
		r.promise(rounds[0].sent.Add(r.cfg.Timing.lease()))
	}
	r.confirmBarriers()
}

// agreed returns the highest value that a quorum of voters has reached.
func (r *Raft) agreed(value func(id uint64) uint64) uint64 {
	voters := r.voters()
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-r.quorum()]
}

func (r *Raft) stepHeartbeatAnswer(m *Message) {
	p := r.heardFrom(m)
	if p == nil {
		return
	}
	if p.match < r.log.last() {
		// The member is there, so what it has not acknowledged may be lost.
		p.paused = false
		r.sendAppend(m.GetFrom(), p, true)
	}
}

// heardFrom notes an answer of this term and returns its sender, or nil.
func (r *Raft) heardFrom(m *Message) *peer {
	if r.role != Leader || r.lead.peers[m.GetFrom()] == nil {
		return nil
	}
	p := r.lead.peers[m.GetFrom()]
	p.heard = r.now
	if m.GetRound() > p.round && m.GetRound() <= r.lastRound() {
		p.round = m.GetRound()
		r.countRounds()
	}
	return p
}

func (r *Raft) stepAppendAnswer(m *Message) {
	p := r.heardFrom(m)
	if p == nil {
		return
	}
	if m.GetReject() {
		r.stepReject(m, p)
		return
	}
	if m.GetIndex() > r.log.last() {
		return
	}
	if p.installing != 0 && m.GetIndex() >= p.installing {
		p.installing = 0
	}
	p.match = max(p.match, m.GetIndex())
	p.next = max(p.next, p.match+1)
	if p.probing {
		p.probing, p.paused = false, false
		p.next = p.match + 1
	}
	r.maybeCommit()
	r.sendAppend(m.GetFrom(), p, false)
}

func (r *Raft) stepReject(m *Message, p *peer) {
	if m.GetIndex() <= p.match || p.installing != 0 {
		return
	}
	if p.probing {
		if m.GetIndex() != p.next-1 {
			return
		}
		p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()))
	} else {
		p.probing = true
		p.next = p.match + 1
	}
	p.paused = false
	r.sendAppend(m.GetFrom(), p, true)
}

// maybeCommit commits what a quorum has synced. Only entries of the leader's
// own term are counted: an older one on a quorum can still be replaced.
func (r *Raft) maybeCommit() {
	index := r.agreed(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.log.stable
		}
		return r.lead.peers[id].match
	})
	if t, known := r.log.term(index); known && t == r.term && index > r.commit {
		r.commit = index
	}
}

// sendAppend sends what the member lacks. With probe it sends a message even
// when there is nothing new, to learn whether earlier ones were lost.
func (r *Raft) sendAppend(id uint64, p *peer, probe bool) {
	if p.installing != 0 {
		// Only a member that answers gets the snapshot again.
		if !probe || r.now.Sub(p.installAt) < installRetry*r.cfg.Timing.ElectionTimeout {
			return
		}
		p.installing = 0
	}
	if p.probing && p.paused {
		return
	}
	for {
		t, known := r.log.term(p.next - 1)
		if !known {
			r.sendInstall(id, p)
			return
		}
		var entries []*Entry
		if p.next-p.match <= r.cfg.MaxInFlightEntries {
			entries = r.log.batch(p.next, r.cfg.MaxBatchBytes)
		}
		if len(entries) == 0 && !probe {
			return
		}
		probe = false
		r.send(&Message{
			Kind: MessageKind_APPEND, To: id, Index: p.next - 1, LogTerm: t, Entries: entries,
			Commit: r.commit, Round: r.lastRound(),
		})
		if p.probing {
			p.paused = true
			return
		}
		p.next += uint64(len(entries))
	}
}

func (r *Raft) sendInstall(id uint64, p *peer) {
	p.installing = r.snapshot.GetIndex()
	p.installAt = r.now
	p.probing = true
	p.paused = false
	p.next = r.snapshot.GetIndex() + 1
	r.send(&Message{
		Kind: MessageKind_INSTALL, To: id, Snapshot: r.snapshot, Round: r.lastRound(),
	})
}
