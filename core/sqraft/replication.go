package sqraft

func (r *Raft) stepHeartbeatAnswer(m *Message) {
	p := r.recordAnswer(m)
	if p == nil {
		return
	}
	if p.matchIndex < r.log.lastIndex() {
		// The member is reachable, so messages that it has not acknowledged may
		// be lost.
		p.paused = false
		r.sendAppend(m.GetFrom(), p, true)
	}
}

// recordAnswer records an answer of the current term. It returns the peer that
// sent the answer, or nil if this replica is not the leader or has no such
// peer.
func (r *Raft) recordAnswer(m *Message) *peer {
	if r.role != Leader || r.leaderState.peers[m.GetFrom()] == nil {
		return nil
	}
	p := r.leaderState.peers[m.GetFrom()]
	p.lastHeardAt = r.now
	if m.GetRound() > p.ackedRound && m.GetRound() <= r.lastRound() {
		p.ackedRound = m.GetRound()
		r.updateQuorumRound()
	}
	return p
}

func (r *Raft) stepAppendAnswer(m *Message) {
	p := r.recordAnswer(m)
	if p == nil {
		return
	}
	if m.GetReject() {
		r.stepAppendReject(m, p)
		return
	}
	if m.GetIndex() > r.log.lastIndex() {
		return
	}
	if p.pendingSnapshot != 0 && m.GetIndex() >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
	p.matchIndex = max(p.matchIndex, m.GetIndex())
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.probing {
		p.probing, p.paused = false, false
		p.nextIndex = p.matchIndex + 1
	}
	r.advanceCommitIndex()
	r.sendAppend(m.GetFrom(), p, false)
}

func (r *Raft) stepAppendReject(m *Message, p *peer) {
	if m.GetIndex() <= p.matchIndex || p.pendingSnapshot != 0 {
		return
	}
	if p.probing {
		if m.GetIndex() != p.nextIndex-1 {
			return
		}
		p.nextIndex = max(p.matchIndex+1, min(m.GetIndex(), m.GetHint()))
	} else {
		p.probing = true
		p.nextIndex = p.matchIndex + 1
	}
	p.paused = false
	r.sendAppend(m.GetFrom(), p, true)
}

// advanceCommitIndex commits the entries that a quorum has synced. Only entries
// of the leader's own term are counted: an older one on a quorum can still be
// replaced.
func (r *Raft) advanceCommitIndex() {
	index := r.quorumValue(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.log.syncedIndex
		}
		return r.leaderState.peers[id].matchIndex
	})
	if term, known := r.log.termAt(index); known && term == r.term && index > r.commitIndex {
		r.commitIndex = index
	}
}

// sendAppend sends the entries that the member lacks. With probe it sends a
// message even without new entries, to learn whether earlier messages were
// lost.
func (r *Raft) sendAppend(id uint64, p *peer, probe bool) {
	if p.pendingSnapshot != 0 {
		// The snapshot is sent again only to a member that answers.
		if !probe || r.now.Sub(p.snapshotSentAt) < snapshotRetryElectionTimeouts*r.cfg.Timing.ElectionTimeout {
			return
		}
		p.pendingSnapshot = 0
	}
	if p.probing && p.paused {
		return
	}
	for {
		logTerm, known := r.log.termAt(p.nextIndex - 1)
		if !known {
			r.sendSnapshot(id, p)
			return
		}
		var entries []*Entry
		if r.hasRoomInFlight(p) {
			entries = r.log.nextBatch(p.nextIndex, r.cfg.MaxBatchBytes)
		}
		if len(entries) == 0 && !probe {
			return
		}
		probe = false
		r.send(&Message{
			Kind: MessageKind_APPEND, To: id, Index: p.nextIndex - 1, LogTerm: logTerm, Entries: entries,
			Commit: r.commitIndex, Round: r.lastRound(),
		})
		if p.probing {
			p.paused = true
			return
		}
		p.nextIndex += uint64(len(entries))
	}
}

// hasRoomInFlight reports whether more entries may be sent to the member before it
// acknowledges those that it was sent.
func (r *Raft) hasRoomInFlight(p *peer) bool {
	return p.nextIndex-p.matchIndex <= r.cfg.MaxInFlightEntries &&
		r.log.bytesBetween(p.matchIndex+1, p.nextIndex-1) < r.cfg.MaxInFlightBytes
}

func (r *Raft) sendSnapshot(id uint64, p *peer) {
	p.pendingSnapshot = r.snapshot.GetIndex()
	p.snapshotSentAt = r.now
	p.probing = true
	p.paused = false
	p.nextIndex = r.snapshot.GetIndex() + 1
	r.send(&Message{
		Kind: MessageKind_INSTALL, To: id, Snapshot: r.snapshot, Round: r.lastRound(),
	})
}
