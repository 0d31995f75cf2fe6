package sqreplica

import (
	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

// processReady carries out everything that the Raft state machine has ready: sync,
// send, install and apply.
func (r *Replica) processReady() error {
	for {
		rd, ok := r.raft.Ready()
		if !ok {
			break
		}
		r.sendMessages(rd.MessagesBeforeSync())
		if err := r.persist(rd); err != nil {
			return err
		}
		r.raft.MarkSynced(sqclock.Now())
		r.sendMessages(rd.MessagesAfterSync())
		if err := r.installSnapshot(rd.Snapshot()); err != nil {
			return err
		}
		for _, e := range rd.CommittedEntries() {
			r.apply(e)
		}
		r.confirmedReads = append(r.confirmedReads, rd.ReadBarriers()...)
		r.finishReads()
	}
	if r.raft.Role() != sqraft.Leader {
		r.failPending()
	}
	return nil
}

// persist syncs the snapshot before the entries, which may come after it in the
// log.
func (r *Replica) persist(rd sqraft.Ready) error {
	if s := rd.Snapshot(); s != nil {
		if err := r.disk.SaveSnapshot(s, true); err != nil {
			return err
		}
	}
	if !rd.MustSync() {
		return nil
	}
	return r.disk.Append(rd.HardState(), rd.Entries())
}

// sendMessages passes the messages to the transport, grouped by recipient.
func (r *Replica) sendMessages(messages []*sqraft.Message) {
	if len(messages) == 0 {
		return
	}
	var recipients []uint64
	batches := map[uint64][][]byte{}
	for _, m := range messages {
		m.Founding = r.identity.cfg.setupHash
		m.Deployment = r.identity.cfg.deployment
		m.Timing = r.timingHash
		m.Address = r.cfg.Address
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		if batches[m.GetTo()] == nil {
			recipients = append(recipients, m.GetTo())
		}
		batches[m.GetTo()] = append(batches[m.GetTo()], b)
	}
	members := r.raft.Members()
	for _, id := range recipients {
		to := findMember(members, id)
		if to.ID() == 0 {
			to = r.recentSenders[id]
		}
		if to.ID() != 0 {
			r.cfg.Transport.Send(r.identity, to, batches[id])
		}
	}
}

func (r *Replica) installSnapshot(s *sqraft.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := r.cfg.StateMachine.Restore(s.GetState()); err != nil {
		return err
	}
	r.appliedIndex = s.GetIndex()
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.logEvent(sqevent.ReplicaInstalled, s.GetIndex(), len(s.GetState()))
	return nil
}

func (r *Replica) apply(e *sqraft.Entry) {
	var result []byte
	if e.GetKind() == sqraft.EntryKind_COMMAND {
		result = r.cfg.StateMachine.Apply(e.GetIndex(), e.GetCommand())
	}
	r.appliedIndex = e.GetIndex()
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += len(e.GetCommand())
	p, ok := r.pendingProposals[e.GetIndex()]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.GetIndex())
	if p.term != e.GetTerm() {
		p.call.finish(nil, r.notLeaderError())
		return
	}
	p.call.finish(result, nil)
}

func (r *Replica) finishReads() {
	var remaining []sqraft.ReadBarrier
	for _, b := range r.confirmedReads {
		if b.Index() > r.appliedIndex {
			remaining = append(remaining, b)
			continue
		}
		if c := r.pendingReads[b.ID()]; c != nil {
			delete(r.pendingReads, b.ID())
			c.finish(nil, nil)
		}
	}
	r.confirmedReads = remaining
}

// failPending fails the calls whose outcome this replica can no longer know, because
// it is no longer the leader or stops.
func (r *Replica) failPending() {
	for index, p := range r.pendingProposals {
		delete(r.pendingProposals, index)
		p.call.finish(nil, outcomeUnknownError("the replica lost the lead"))
	}
	for id, c := range r.pendingReads {
		delete(r.pendingReads, id)
		c.finish(nil, r.notLeaderError())
	}
	r.confirmedReads = nil
}

// maybeSnapshot takes a snapshot and compacts the log when enough entries or bytes
// were applied.
func (r *Replica) maybeSnapshot() error {
	if r.entriesSinceSnapshot < r.cfg.SnapshotEntries && r.bytesSinceSnapshot < snapshotThresholdBytes {
		return nil
	}
	s := r.raft.MakeSnapshot(r.appliedIndex, r.cfg.StateMachine.Snapshot())
	if err := r.disk.SaveSnapshot(s, false); err != nil {
		return err
	}
	r.raft.Compact(s)
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.logEvent(sqevent.ReplicaSnapshot, s.GetIndex(), len(s.GetState()))
	return nil
}
