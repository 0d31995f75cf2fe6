package sqraft

import "time"

// Ready is what the driver must do, in this order: send the early messages; sync
// the snapshot, then the hard state and the entries; call Saved; send the other
// messages; apply the entries.
type Ready struct {
	hardState *HardState
	snapshot  *Snapshot
	entries   []*Entry
	early     []*Message
	messages  []*Message
	committed []*Entry
	barriers  []ReadBarrier
	mustSync  bool
}

// HardState returns what to sync with the entries, or nil if it is unchanged.
func (d Ready) HardState() *HardState { return d.hardState }

// Snapshot returns a snapshot to sync and then restore, or nil. It replaces the
// whole log.
func (d Ready) Snapshot() *Snapshot { return d.snapshot }

// Entries returns what to append. They replace any with the same index and
// every later one.
func (d Ready) Entries() []*Entry { return d.entries }

// MessagesBeforeSync returns what may be sent before the sync.
func (d Ready) MessagesBeforeSync() []*Message { return d.early }

// MessagesAfterSync returns what to send after the sync.
func (d Ready) MessagesAfterSync() []*Message { return d.messages }

// CommittedEntries returns what to apply, in order.
func (d Ready) CommittedEntries() []*Entry { return d.committed }

// ReadBarriers returns the reads that may go on once their index is applied.
func (d Ready) ReadBarriers() []ReadBarrier { return d.barriers }

// MustSync says whether anything must be synced before the messages leave.
func (d Ready) MustSync() bool { return d.mustSync }

// Ready returns what there is to do, and false if that is nothing. The driver
// finishes it before it gives any other input.
func (r *Raft) Ready() (Ready, bool) {
	if r.role == Leader {
		r.flush()
	}
	d := Ready{
		snapshot:  r.installed,
		entries:   r.log.slice(r.log.stable+1, r.log.last()),
		messages:  r.messages,
		barriers:  r.confirmed,
		committed: r.log.slice(r.applied+1, r.commit),
	}
	d.mustSync = r.hardChanged || d.snapshot != nil || len(d.entries) > 0
	if d.mustSync {
		d.hardState = &HardState{Term: r.term, Vote: r.vote, Commit: r.commit}
	}
	if !r.hardChanged {
		d.early, d.messages = splitEarly(d.messages)
	}
	r.installed, r.messages, r.confirmed = nil, nil, nil
	r.hardChanged = false
	r.applied = r.commit
	work := d.mustSync || len(d.early)+len(d.messages)+len(d.committed)+len(d.barriers) > 0
	return d, work
}

// splitEarly takes out what a leader sends. Followers may sync entries while
// the leader does, which saves a sync of waiting, since the leader counts itself
// only after its own. This holds only once its term is synced: a leader that
// forgot its term could send other entries under the same term.
func splitEarly(messages []*Message) (early, late []*Message) {
	for _, m := range messages {
		switch m.GetKind() {
		case MessageKind_HEARTBEAT, MessageKind_APPEND, MessageKind_INSTALL:
			early = append(early, m)
		default:
			late = append(late, m)
		}
	}
	return early, late
}

// flush sends what has piled up since the last Ready, one message a member.
func (r *Raft) flush() {
	if r.lead.roundDue {
		r.startRound()
	}
	for _, id := range r.peerIDs() {
		r.sendAppend(id, r.lead.peers[id], false)
	}
	r.flushHandOver()
}

// MarkSynced says that all of the last Ready is synced.
func (r *Raft) MarkSynced(now time.Time) {
	r.now = now
	r.log.stable = r.log.last()
	if r.role == Leader {
		r.maybeCommit()
	}
}

// Lease is the authority of a leader.
type Lease struct {
	term  uint64
	index uint64
	// earlier is never after from.
	earlier time.Time
	from    time.Time
	until   time.Time
}

// Term returns the term of the leader.
func (l Lease) Term() uint64 { return l.term }

// RequiredIndex returns the entry that must be applied first: by then, everything that
// was committed in earlier terms is applied too.
func (l Lease) RequiredIndex() uint64 { return l.index }

// PreviousLeasesEnd returns a time at which every earlier lease was over. It is before
// From, which does not rely on what the voters told.
func (l Lease) PreviousLeasesEnd() time.Time { return l.earlier }

// ValidFrom returns the time at which every earlier lease is over.
func (l Lease) ValidFrom() time.Time { return l.from }

// ValidUntil returns the end of the lease.
func (l Lease) ValidUntil() time.Time { return l.until }

// Lease returns the lease of a leader, and false on other replicas. It has no
// force before its entry is applied, before From and from Until on.
func (r *Raft) Lease() (Lease, bool) {
	if r.role != Leader || r.lead.rounds[0].number == 0 || r.givenUp() && !faultGiveUp {
		return Lease{}, false
	}
	l := Lease{term: r.term, index: r.lead.first, from: r.lead.since, earlier: r.lead.earlier}
	if !r.lead.noWait && !r.cfg.Timing.SkipLeaseWait && !faultLeaseWait {
		// Without the voters' promises, one of them may have acknowledged a heartbeat
		// of the former leader just before its vote.
		l.from = l.from.Add(r.cfg.Timing.wait())
	}
	l.until = r.quorumSent().Add(r.cfg.Timing.lease())
	return l, true
}

// MakeSnapshot returns the snapshot of the state machine at index, which must
// be applied.
func (r *Raft) MakeSnapshot(index uint64, state []byte) *Snapshot {
	t, _ := r.log.term(index)
	return &Snapshot{
		Index: index, Term: t, Membership: MembershipOf(r.log.membersAt(index)), State: state,
	}
}

// Compact drops what a synced snapshot replaces, but for a trail of entries for
// members that are a little behind.
func (r *Raft) Compact(s *Snapshot) {
	if s.GetIndex() <= r.snapshot.GetIndex() {
		return
	}
	r.snapshot = s
	if s.GetIndex() > r.cfg.TrailingEntries {
		r.log.trim(s.GetIndex() - r.cfg.TrailingEntries)
	}
}
