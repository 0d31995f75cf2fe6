package sqraft

import "time"

// Ready holds the work of the driver, which must do it in this order: send
// MessagesBeforeSync; sync the snapshot, then the hard state and the entries;
// call MarkSynced; send MessagesAfterSync; apply CommittedEntries.
type Ready struct {
	hardState          *HardState
	snapshot           *Snapshot
	entries            []*Entry
	messagesBeforeSync []*Message
	messagesAfterSync  []*Message
	committedEntries   []*Entry
	readBarriers       []ReadBarrier
	mustSync           bool
}

// HardState returns the hard state to sync with the snapshot or the entries, or
// nil if there is nothing to sync.
func (d Ready) HardState() *HardState { return d.hardState }

// Snapshot returns a snapshot to sync and then restore, or nil. It replaces the
// whole log.
func (d Ready) Snapshot() *Snapshot { return d.snapshot }

// Entries returns the entries to append to the stored log. They replace any
// stored entry with the same index and every later one.
func (d Ready) Entries() []*Entry { return d.entries }

// MessagesBeforeSync returns the messages that may be sent before the sync.
func (d Ready) MessagesBeforeSync() []*Message { return d.messagesBeforeSync }

// MessagesAfterSync returns the messages to send after the sync.
func (d Ready) MessagesAfterSync() []*Message { return d.messagesAfterSync }

// CommittedEntries returns the entries to apply, in order.
func (d Ready) CommittedEntries() []*Entry { return d.committedEntries }

// ReadBarriers returns the confirmed barriers. The read of each may go on once
// its index is applied.
func (d Ready) ReadBarriers() []ReadBarrier { return d.readBarriers }

// MustSync reports whether anything must be synced before MessagesAfterSync are
// sent.
func (d Ready) MustSync() bool { return d.mustSync }

// Ready returns the pending work, and false if there is none. The driver must
// finish this work before it gives the replica any other input.
func (r *Raft) Ready() (Ready, bool) {
	if r.role == Leader {
		r.queueLeaderMessages()
	}
	d := Ready{
		snapshot:          r.installedSnapshot,
		entries:           r.log.entriesBetween(r.log.syncedIndex+1, r.log.lastIndex()),
		messagesAfterSync: r.messages,
		readBarriers:      r.confirmedBarriers,
		committedEntries:  r.log.entriesBetween(r.appliedIndex+1, r.commitIndex),
	}
	d.mustSync = r.hardStateChanged || d.snapshot != nil || len(d.entries) > 0
	if d.mustSync {
		d.hardState = &HardState{Term: r.term, Vote: r.votedFor, Commit: r.commitIndex}
	}
	if !r.hardStateChanged {
		d.messagesBeforeSync, d.messagesAfterSync = splitLeaderMessages(d.messagesAfterSync)
	}
	r.installedSnapshot, r.messages, r.confirmedBarriers = nil, nil, nil
	r.hardStateChanged = false
	r.appliedIndex = r.commitIndex
	hasWork := d.mustSync ||
		len(d.messagesBeforeSync)+len(d.messagesAfterSync)+len(d.committedEntries)+len(d.readBarriers) > 0
	return d, hasWork
}

// splitLeaderMessages separates the messages that only a leader sends from the
// others. Followers may sync entries while the leader does, which saves the
// wait for one sync, since the leader counts itself towards a quorum only after
// its own sync. This holds only once the leader's term is synced: a leader that
// forgot its term could send other entries under the same term.
func splitLeaderMessages(messages []*Message) (beforeSync, afterSync []*Message) {
	for _, m := range messages {
		switch m.GetKind() {
		case MessageKind_HEARTBEAT, MessageKind_APPEND, MessageKind_INSTALL:
			beforeSync = append(beforeSync, m)
		default:
			afterSync = append(afterSync, m)
		}
	}
	return beforeSync, afterSync
}

// queueLeaderMessages queues the messages that have become due since the last
// Ready, so that the inputs in between share one message to each member.
func (r *Raft) queueLeaderMessages() {
	if r.leaderState.roundDue {
		r.sendHeartbeatRound()
	}
	for _, id := range r.peerIDs() {
		r.sendAppend(id, r.leaderState.peers[id], false)
	}
	r.sendTransferRequest()
}

// MarkSynced records that the snapshot, hard state and entries of the last
// Ready are synced.
func (r *Raft) MarkSynced(now time.Time) {
	r.now = now
	r.log.syncedIndex = r.log.lastIndex()
	if r.role == Leader {
		r.advanceCommitIndex()
	}
}

// Lease is the time-limited authority of a leader.
type Lease struct {
	term          uint64
	requiredIndex uint64
	// previousLeasesEnd is never after validFrom.
	previousLeasesEnd time.Time
	validFrom         time.Time
	validUntil        time.Time
}

// Term returns the term of the leader.
func (l Lease) Term() uint64 { return l.term }

// RequiredIndex returns the index that must be applied before the lease is in
// force: by then, every entry that was committed in earlier terms is applied
// too.
func (l Lease) RequiredIndex() uint64 { return l.requiredIndex }

// PreviousLeasesEnd returns a time by which every earlier lease was over. It is
// never after ValidFrom, which does not use what the voters reported of their
// promises.
func (l Lease) PreviousLeasesEnd() time.Time { return l.previousLeasesEnd }

// ValidFrom returns the time at which every earlier lease is over.
func (l Lease) ValidFrom() time.Time { return l.validFrom }

// ValidUntil returns the end of the lease.
func (l Lease) ValidUntil() time.Time { return l.validUntil }

// Lease returns the lease of a leader, and false on other replicas. The lease
// is in force from ValidFrom until ValidUntil, once its RequiredIndex is
// applied.
func (r *Raft) Lease() (Lease, bool) {
	if r.role != Leader || r.leaderState.rounds[0].number == 0 || r.isTransferring() && !faultKeepLeaseInTransfer {
		return Lease{}, false
	}
	lease := Lease{term: r.term, requiredIndex: r.leaderState.firstIndex, validFrom: r.leaderState.electedAt,
		previousLeasesEnd: r.leaderState.previousLeasesEnd}
	if !r.leaderState.skipLeaseWait && !r.cfg.Timing.SkipLeaseWait && !faultSkipLeaseWait {
		// Unless the vote promises are relied on, a voter may have acknowledged
		// a heartbeat of the former leader just before its vote, which extended
		// that leader's lease.
		lease.validFrom = lease.validFrom.Add(r.cfg.Timing.leaseWait())
	}
	lease.validUntil = r.quorumRoundSentAt().Add(r.cfg.Timing.effectiveLease())
	return lease, true
}

// MakeSnapshot returns the snapshot of the state machine at index, which must
// be applied. state is the encoded state machine.
func (r *Raft) MakeSnapshot(index uint64, state []byte) *Snapshot {
	term, _ := r.log.termAt(index)
	return &Snapshot{
		Index: index, Term: term, Membership: MembershipOf(r.log.membersAt(index)), State: state,
	}
}

// Compact drops the log entries that the synced snapshot s replaces, except for a few
// that are kept for members that are a little behind.
func (r *Raft) Compact(s *Snapshot) {
	if s.GetIndex() <= r.snapshot.GetIndex() {
		return
	}
	r.snapshot = s
	r.log.dropThrough(r.compactIndex(s))
}

// compactIndex returns the index of the last entry to drop: up to TrailingEntries
// entries are kept before the snapshot, as far as their size permits.
func (r *Raft) compactIndex(s *Snapshot) uint64 {
	index := s.GetIndex() - min(s.GetIndex(), r.cfg.TrailingEntries)
	index = max(index, r.log.baseIndex)
	maxBytes := max(r.cfg.TrailingBytes, len(s.GetState()))
	for r.log.bytesBetween(index+1, s.GetIndex()) > maxBytes {
		index++
	}
	return index
}
