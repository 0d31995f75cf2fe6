package sqraft

import (
	"encoding/binary"
	"time"
)

// op is an operation of a client.
type op struct {
	id    uint64
	write bool
	term  uint64
	// floor is the highest index that was over when the operation began.
	floor uint64
}

// simDisk is what a crash leaves. Without syncs, written is not in it.
type simDisk struct {
	joined   bool
	hard     *HardState
	snapshot *Snapshot
	entries  []*Entry
}

// simNode is one replica with its clock and disk.
type simNode struct {
	w      *world
	number int
	id     uint64
	up     bool
	frozen bool
	raft   *Raft
	disk   simDisk
	// unsynced is what was written but not synced, when syncs are off.
	unsynced []simDisk
	// The clock read clockBase at true time trueBase and goes at rate since.
	clockBase  time.Duration
	trueBase   time.Duration
	rate       float64
	lease      Lease
	leased     bool
	claimUntil time.Time
	claimTerm  uint64
	// heldTerm is the newest term in which any replica held the lease; heldAt
	// and olderHeldAt are when it and one of an older term last did so, on this
	// replica's clock.
	heldTerm            uint64
	heldAt, olderHeldAt time.Time
	applied             uint64
	count, sum          uint64
	writes              map[uint64]*op
	reads               map[uint64]*op
	held                []ReadBarrier
}

func (n *simNode) running() bool { return n.up && !n.frozen && n.raft != nil }

func (n *simNode) local(now time.Duration) time.Time {
	return time.Unix(0, int64(n.clockBase+time.Duration(float64(now-n.trueBase)*n.rate)))
}

func (n *simNode) setRate(rate float64) {
	n.clockBase = time.Duration(n.local(n.w.now).UnixNano())
	n.trueBase, n.rate = n.w.now, rate
}

func (n *simNode) holds(now time.Duration) bool {
	t := n.local(now)
	return n.up && n.leased && !t.Before(n.lease.ValidFrom()) && t.Before(n.lease.ValidUntil())
}

func (n *simNode) noteHeld(term uint64) {
	if term > n.heldTerm {
		n.heldTerm, n.olderHeldAt = term, n.heldAt
	}
	if term == n.heldTerm {
		n.heldAt = n.local(n.w.now)
	}
}

// input gives the replica one input and does what it then asks for.
func (n *simNode) input(f func(now time.Time)) {
	if n.running() {
		f(n.local(n.w.now))
		n.drain()
	}
}

func (n *simNode) receive(m *Message) {
	if n.raft == nil {
		if m.GetKind() != MessageKind_HEARTBEAT && m.GetKind() != MessageKind_APPEND && m.GetKind() != MessageKind_INSTALL {
			return
		}
		n.disk.joined = true
		n.start()
	}
	n.input(func(now time.Time) {
		if err := n.raft.Step(now, m); err != nil {
			n.w.fail("replica %d: %v", n.number, err)
		}
	})
}

// start restores the replica from its disk.
func (n *simNode) start() {
	n.up, n.frozen = true, false
	n.writes, n.reads, n.held = map[uint64]*op{}, map[uint64]*op{}, nil
	n.raft, n.leased = nil, false
	if !n.disk.joined {
		return
	}
	n.raft = New(Config{
		ID: n.id, Timing: n.w.timing, Seed: uint64(n.w.src.below(1 << 16)), Start: n.local(n.w.now),
		HardState: n.disk.hard, Snapshot: n.disk.snapshot, Entries: n.disk.entries, TrailingEntries: 4, MaxInFlightEntries: 8,
		MaxBatchBytes: 200,
	})
	n.applied, n.count, n.sum = 0, 0, 0
	if n.disk.snapshot != nil {
		n.restore(n.disk.snapshot)
	}
	n.drain()
}

// crash loses what was not synced.
func (n *simNode) crash() {
	n.up, n.frozen, n.leased, n.raft = false, false, false, nil
	n.unsynced = nil
}

func (n *simNode) restart() {
	n.crash()
	n.start()
}

// wipe loses the disk; the replica comes back under a new identity.
func (n *simNode) wipe() {
	n.crash()
	n.w.nextID++
	n.disk = simDisk{joined: n.w.keepID}
	if !n.w.keepID {
		n.id = n.w.nextID
	}
	n.start()
}

func (n *simNode) drain() {
	for n.up {
		d, ok := n.raft.Ready()
		if !ok {
			break
		}
		if !n.sendAll(d.MessagesBeforeSync()) || !n.save(d) {
			return
		}
		n.raft.MarkSynced(n.local(n.w.now))
		if !n.sendAll(d.MessagesAfterSync()) {
			return
		}
		if d.Snapshot() != nil {
			n.restore(d.Snapshot())
		}
		for _, e := range d.CommittedEntries() {
			n.apply(e)
		}
		n.held = append(n.held, d.ReadBarriers()...)
		n.release()
	}
	n.publish()
}

// sendAll sends messages unless a crash comes in between.
func (n *simNode) sendAll(messages []*Message) bool {
	for i, m := range messages {
		if i > 0 && n.w.accident(2000) {
			n.crash()
			return false
		}
		n.w.send(n, m)
	}
	return true
}

// save writes and syncs; a crash in between leaves the record whole or none, and
// may leave a snapshot without the record that comes with it.
func (n *simNode) save(d Ready) bool {
	if !d.MustSync() {
		return true
	}
	next := simDisk{joined: true, hard: d.HardState(), snapshot: n.disk.snapshot, entries: n.disk.entries}
	if n.w.noSync && len(n.unsynced) > 0 {
		last := n.unsynced[len(n.unsynced)-1]
		next.snapshot, next.entries = last.snapshot, last.entries
	}
	if s := d.Snapshot(); s != nil {
		next.snapshot, next.entries = s, nil
		if n.w.accident(20) {
			n.disk.snapshot, n.disk.entries = s, nil
			n.crash()
			return false
		}
	}
	if len(d.Entries()) > 0 {
		keep := d.Entries()[0].GetIndex() - next.snapshot.GetIndex() - 1
		next.entries = append(next.entries[:keep:keep], d.Entries()...)
	}
	if n.w.accident(300) {
		if n.w.chance(2) {
			n.disk = next
		}
		n.crash()
		return false
	}
	if n.w.noSync {
		n.unsynced = append(n.unsynced, next)
		return true
	}
	n.disk = next
	return true
}

func (n *simNode) restore(s *Snapshot) {
	n.applied = s.GetIndex()
	n.count = binary.BigEndian.Uint64(s.GetState())
	n.sum = binary.BigEndian.Uint64(s.GetState()[8:])
	if f := n.w.truth[s.GetIndex()-1]; f.term != s.GetTerm() || f.count != n.count || f.sum != n.sum {
		n.w.fail("replica %d restores another state at %d than the single copy", n.number, s.GetIndex())
	}
}

func (n *simNode) snapshot() {
	if !n.running() || n.applied <= n.disk.snapshot.GetIndex() || n.w.noSync {
		return
	}
	state := binary.BigEndian.AppendUint64(nil, n.count)
	s := n.raft.MakeSnapshot(n.applied, binary.BigEndian.AppendUint64(state, n.sum))
	n.disk.entries = n.disk.entries[s.GetIndex()-n.disk.snapshot.GetIndex():]
	n.disk.snapshot = s
	n.raft.Compact(s)
}

func (n *simNode) apply(e *Entry) {
	if e.GetIndex() != n.applied+1 {
		n.w.fail("replica %d applies %d after %d", n.number, e.GetIndex(), n.applied)
	}
	n.applied = e.GetIndex()
	n.w.learn(n, e)
	o := n.writes[e.GetIndex()]
	delete(n.writes, e.GetIndex())
	switch {
	case o == nil:
	case o.term != e.GetTerm():
		n.w.dead[o.id] = true
	default:
		n.w.finish(o, e.GetIndex())
	}
}

func (n *simNode) release() {
	var rest []ReadBarrier
	for _, b := range n.held {
		if b.Index() > n.applied {
			rest = append(rest, b)
		} else if o := n.reads[b.ID()]; o != nil {
			delete(n.reads, b.ID())
			n.w.finish(o, n.applied)
		}
	}
	n.held = rest
}

func (n *simNode) publish() {
	if !n.up || n.raft == nil {
		return
	}
	if n.raft.Role() != Leader {
		clear(n.writes)
		clear(n.reads)
		n.held = nil
	} else if id, known := n.w.elected[n.raft.Term()]; known && id != n.id {
		n.w.fail("two leaders in term %d", n.raft.Term())
	} else {
		if !known && n.raft.lead.noWait {
			n.w.handed++
		}
		n.w.elected[n.raft.Term()] = n.id
	}
	lease, ok := n.raft.Lease()
	n.lease, n.leased = lease, ok && n.applied >= lease.RequiredIndex()
	n.w.judgeLeases()
}
