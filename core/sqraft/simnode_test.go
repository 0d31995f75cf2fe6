package sqraft

import (
	"encoding/binary"
	"time"
)

// clientOp is an operation of a client.
type clientOp struct {
	id    uint64
	write bool
	term  uint64
	// minIndex is the highest index at which an operation was already completed
	// when this one began.
	minIndex uint64
}

// simDisk is the state that survives a crash. With syncs disabled, written data
// is not part of it.
type simDisk struct {
	initialized bool
	hardState   *HardState
	snapshot    *Snapshot
	entries     []*Entry
}

// simNode is one simulated replica with its clock and disk.
type simNode struct {
	cluster   *simCluster
	nodeIndex int
	id        uint64
	up        bool
	frozen    bool
	raft      *Raft
	disk      simDisk
	// unsynced holds the states that were written but not synced while syncs
	// are disabled.
	unsynced []simDisk
	// The node's clock read clockBase at true time trueBase and has run at
	// clockRate since.
	clockBase       time.Duration
	trueBase        time.Duration
	clockRate       float64
	lease           Lease
	leaseUsable     bool
	leaseClaimUntil time.Time
	leaseClaimTerm  uint64
	// newestLeaseTerm is the newest term in which any replica held the lease.
	// newestLeaseHeldAt is when that lease was last held, and olderLeaseHeldAt
	// is when the lease of an older term was last held, both on this replica's
	// clock.
	newestLeaseTerm                     uint64
	newestLeaseHeldAt, olderLeaseHeldAt time.Time
	applied                             uint64
	commandCount, checksum              uint64
	writes                              map[uint64]*clientOp
	reads                               map[uint64]*clientOp
	pendingReads                        []ReadBarrier
}

func (n *simNode) isRunning() bool { return n.up && !n.frozen && n.raft != nil }

func (n *simNode) localTime(now time.Duration) time.Time {
	return time.Unix(0, int64(n.clockBase+time.Duration(float64(now-n.trueBase)*n.clockRate)))
}

func (n *simNode) setClockRate(rate float64) {
	n.clockBase = time.Duration(n.localTime(n.cluster.now).UnixNano())
	n.trueBase, n.clockRate = n.cluster.now, rate
}

func (n *simNode) holdsLease(now time.Duration) bool {
	t := n.localTime(now)
	return n.up && n.leaseUsable && !t.Before(n.lease.ValidFrom()) && t.Before(n.lease.ValidUntil())
}

func (n *simNode) recordLeaseHeld(term uint64) {
	if term > n.newestLeaseTerm {
		n.newestLeaseTerm, n.olderLeaseHeldAt = term, n.newestLeaseHeldAt
	}
	if term == n.newestLeaseTerm {
		n.newestLeaseHeldAt = n.localTime(n.cluster.now)
	}
}

// input gives the replica one input and does the work that results.
func (n *simNode) input(f func(now time.Time)) {
	if n.isRunning() {
		f(n.localTime(n.cluster.now))
		n.processReady()
	}
}

func (n *simNode) receive(m *Message) {
	if n.raft == nil {
		if m.GetKind() != MessageKind_HEARTBEAT && m.GetKind() != MessageKind_APPEND && m.GetKind() != MessageKind_INSTALL {
			return
		}
		n.disk.initialized = true
		n.start()
	}
	n.input(func(now time.Time) {
		if err := n.raft.Step(now, m); err != nil {
			n.cluster.fail("replica %d: %v", n.nodeIndex, err)
		}
	})
}

// start restores the replica from its disk.
func (n *simNode) start() {
	n.up, n.frozen = true, false
	n.writes, n.reads, n.pendingReads = map[uint64]*clientOp{}, map[uint64]*clientOp{}, nil
	n.raft, n.leaseUsable = nil, false
	if !n.disk.initialized {
		return
	}
	n.raft = New(Config{
		ID: n.id, Timing: n.cluster.timing, Seed: uint64(n.cluster.random.intN(1 << 16)), Start: n.localTime(n.cluster.now),
		HardState: n.disk.hardState, Snapshot: n.disk.snapshot, Entries: n.disk.entries, TrailingEntries: 4,
		MaxInFlightEntries: 8, MaxBatchBytes: 200, MaxInFlightBytes: 300, TrailingBytes: 100,
	})
	n.applied, n.commandCount, n.checksum = 0, 0, 0
	if n.disk.snapshot != nil {
		n.restore(n.disk.snapshot)
	}
	n.processReady()
}

// crash stops the replica; it loses everything that was not synced.
func (n *simNode) crash() {
	n.up, n.frozen, n.leaseUsable, n.raft = false, false, false, nil
	n.unsynced = nil
}

func (n *simNode) restart() {
	n.crash()
	n.start()
}

// loseDisk empties the disk and restarts the replica, under a new identity
// unless keepIDAfterDiskLoss is set.
func (n *simNode) loseDisk() {
	n.crash()
	n.cluster.lastNodeID++
	n.disk = simDisk{initialized: n.cluster.keepIDAfterDiskLoss}
	if !n.cluster.keepIDAfterDiskLoss {
		n.id = n.cluster.lastNodeID
	}
	n.start()
}

func (n *simNode) processReady() {
	for n.up {
		d, ok := n.raft.Ready()
		if !ok {
			break
		}
		if !n.sendAll(d.MessagesBeforeSync()) || !n.persist(d) {
			return
		}
		n.raft.MarkSynced(n.localTime(n.cluster.now))
		if !n.sendAll(d.MessagesAfterSync()) {
			return
		}
		if d.Snapshot() != nil {
			n.restore(d.Snapshot())
		}
		for _, e := range d.CommittedEntries() {
			n.apply(e)
		}
		n.pendingReads = append(n.pendingReads, d.ReadBarriers()...)
		n.completeReads()
	}
	n.checkLeadership()
}

// sendAll sends messages in order. It returns false if a simulated crash comes
// in between.
func (n *simNode) sendAll(messages []*Message) bool {
	for i, m := range messages {
		if i > 0 && n.cluster.randomCrash(2000) {
			n.crash()
			return false
		}
		n.cluster.send(n, m)
	}
	return true
}

// persist writes and syncs the data of d. It returns false on a simulated
// crash, which leaves either the whole record or nothing of it, and may leave a
// snapshot without the record that comes with it.
func (n *simNode) persist(d Ready) bool {
	if !d.MustSync() {
		return true
	}
	written := simDisk{initialized: true, hardState: d.HardState(), snapshot: n.disk.snapshot, entries: n.disk.entries}
	if n.cluster.syncDisabled && len(n.unsynced) > 0 {
		last := n.unsynced[len(n.unsynced)-1]
		written.snapshot, written.entries = last.snapshot, last.entries
	}
	if snapshot := d.Snapshot(); snapshot != nil {
		written.snapshot, written.entries = snapshot, nil
		if n.cluster.randomCrash(20) {
			n.disk.snapshot, n.disk.entries = snapshot, nil
			n.crash()
			return false
		}
	}
	if len(d.Entries()) > 0 {
		keptCount := d.Entries()[0].GetIndex() - written.snapshot.GetIndex() - 1
		written.entries = append(written.entries[:keptCount:keptCount], d.Entries()...)
	}
	if n.cluster.randomCrash(300) {
		if n.cluster.randomOneIn(2) {
			n.disk = written
		}
		n.crash()
		return false
	}
	if n.cluster.syncDisabled {
		n.unsynced = append(n.unsynced, written)
		return true
	}
	n.disk = written
	return true
}

func (n *simNode) restore(s *Snapshot) {
	n.applied = s.GetIndex()
	n.commandCount = binary.BigEndian.Uint64(s.GetState())
	n.checksum = binary.BigEndian.Uint64(s.GetState()[8:])
	if reference := n.cluster.referenceLog[s.GetIndex()-1]; reference.term != s.GetTerm() ||
		reference.commandCount != n.commandCount || reference.checksum != n.checksum {
		n.cluster.fail("replica %d restores index %d differently from the reference log", n.nodeIndex, s.GetIndex())
	}
}

func (n *simNode) saveSnapshot() {
	if !n.isRunning() || n.applied <= n.disk.snapshot.GetIndex() || n.cluster.syncDisabled {
		return
	}
	state := binary.BigEndian.AppendUint64(nil, n.commandCount)
	s := n.raft.MakeSnapshot(n.applied, binary.BigEndian.AppendUint64(state, n.checksum))
	n.disk.entries = n.disk.entries[s.GetIndex()-n.disk.snapshot.GetIndex():]
	n.disk.snapshot = s
	n.raft.Compact(s)
}

func (n *simNode) apply(e *Entry) {
	if e.GetIndex() != n.applied+1 {
		n.cluster.fail("replica %d applies index %d after index %d", n.nodeIndex, e.GetIndex(), n.applied)
	}
	n.applied = e.GetIndex()
	n.cluster.checkApplied(n, e)
	op := n.writes[e.GetIndex()]
	delete(n.writes, e.GetIndex())
	switch {
	case op == nil:
	case op.term != e.GetTerm():
		n.cluster.discardedOps[op.id] = true
	default:
		n.cluster.completeOp(op, e.GetIndex())
	}
}

func (n *simNode) completeReads() {
	var remaining []ReadBarrier
	for _, b := range n.pendingReads {
		if b.Index() > n.applied {
			remaining = append(remaining, b)
		} else if op := n.reads[b.ID()]; op != nil {
			delete(n.reads, b.ID())
			n.cluster.completeOp(op, n.applied)
		}
	}
	n.pendingReads = remaining
}

func (n *simNode) checkLeadership() {
	if !n.up || n.raft == nil {
		return
	}
	if n.raft.Role() != Leader {
		clear(n.writes)
		clear(n.reads)
		n.pendingReads = nil
	} else if id, known := n.cluster.leaderByTerm[n.raft.Term()]; known && id != n.id {
		n.cluster.fail("two leaders in term %d", n.raft.Term())
	} else {
		if !known && n.raft.leaderState.skipLeaseWait {
			n.cluster.transferredLeaders++
		}
		n.cluster.leaderByTerm[n.raft.Term()] = n.id
	}
	lease, ok := n.raft.Lease()
	n.lease, n.leaseUsable = lease, ok && n.applied >= lease.RequiredIndex()
	n.cluster.checkLeases()
}
