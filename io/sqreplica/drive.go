package sqreplica

import (
	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

// drain does all that the consensus asks for.
func (r *Replica) drain() error {
	for {
		d, ok := r.raft.Ready()
		if !ok {
			break
		}
		r.sendAll(d.MessagesBeforeSync())
		if err := r.save(d); err != nil {
			return err
		}
		r.raft.MarkSynced(sqclock.Now())
		r.sendAll(d.MessagesAfterSync())
		if err := r.install(d.Snapshot()); err != nil {
			return err
		}
		for _, e := range d.CommittedEntries() {
			r.apply(e)
		}
		r.held = append(r.held, d.ReadBarriers()...)
		r.releaseReads()
	}
	if r.raft.Role() != sqraft.Leader {
		r.abandon()
	}
	return nil
}

// save syncs the snapshot first: the entries may follow it.
func (r *Replica) save(d sqraft.Ready) error {
	if s := d.Snapshot(); s != nil {
		if err := r.disk.SaveSnapshot(s, true); err != nil {
			return err
		}
	}
	if !d.MustSync() {
		return nil
	}
	return r.disk.Append(d.HardState(), d.Entries())
}

// sendAll hands the messages over, those to one member together.
func (r *Replica) sendAll(messages []*sqraft.Message) {
	if len(messages) == 0 {
		return
	}
	var order []uint64
	batches := map[uint64][][]byte{}
	for _, m := range messages {
		m.Founding = r.identity.cfg.founding
		m.Deployment = r.identity.cfg.deployment
		m.Timing = r.timing
		m.Address = r.cfg.Address
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		if batches[m.GetTo()] == nil {
			order = append(order, m.GetTo())
		}
		batches[m.GetTo()] = append(batches[m.GetTo()], b)
	}
	members := r.raft.Members()
	for _, id := range order {
		to := find(members, id)
		if to.ID() == 0 {
			to = r.senders[id]
		}
		if to.ID() != 0 {
			r.cfg.Transport.Send(r.identity, to, batches[id])
		}
	}
}

func (r *Replica) install(s *sqraft.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := r.cfg.StateMachine.Restore(s.GetState()); err != nil {
		return err
	}
	r.applied = s.GetIndex()
	r.entriesSince, r.bytesSince = 0, 0
	r.event(sqevent.ReplicaInstalled, s.GetIndex(), len(s.GetState()))
	return nil
}

func (r *Replica) apply(e *sqraft.Entry) {
	var result []byte
	if e.GetKind() == sqraft.EntryKind_COMMAND {
		result = r.cfg.StateMachine.Apply(e.GetIndex(), e.GetCommand())
	}
	r.applied = e.GetIndex()
	r.entriesSince++
	r.bytesSince += len(e.GetCommand())
	w, ok := r.waiting[e.GetIndex()]
	if !ok {
		return
	}
	delete(r.waiting, e.GetIndex())
	if w.term != e.GetTerm() {
		w.call.finish(nil, r.replaced())
		return
	}
	w.call.finish(result, nil)
}

func (r *Replica) releaseReads() {
	var rest []sqraft.ReadBarrier
	for _, b := range r.held {
		if b.Index() > r.applied {
			rest = append(rest, b)
			continue
		}
		if c := r.reads[b.ID()]; c != nil {
			delete(r.reads, b.ID())
			c.finish(nil, nil)
		}
	}
	r.held = rest
}

// abandon ends the calls whose outcome this replica can no longer tell.
func (r *Replica) abandon() {
	for index, w := range r.waiting {
		delete(r.waiting, index)
		w.call.finish(nil, outcomeUnknown("the replica lost the lead"))
	}
	for id, c := range r.reads {
		delete(r.reads, id)
		c.finish(nil, r.replaced())
	}
	r.held = nil
}

// maybeSnapshot replaces the log by a snapshot when enough was applied.
func (r *Replica) maybeSnapshot() error {
	if r.entriesSince < r.cfg.SnapshotEntries && r.bytesSince < snapshotBytes {
		return nil
	}
	s := r.raft.MakeSnapshot(r.applied, r.cfg.StateMachine.Snapshot())
	if err := r.disk.SaveSnapshot(s, false); err != nil {
		return err
	}
	r.raft.Compact(s)
	r.entriesSince, r.bytesSince = 0, 0
	r.event(sqevent.ReplicaSnapshot, s.GetIndex(), len(s.GetState()))
	return nil
}
