package sqreplica

import (
	"context"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

// TransferLeadership gives up the authority of this replica for the rest of its term and
// returns when another one leads. That one does not wait for the end of the
// lease, so the caller first ends all that the lease allowed: no write may still
// be on its way. Authority is false before any other replica can go ahead. It
// gives NotHolder on replicas without the lease, and when nobody took over in
// time; then an ordinary election follows.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	_, err := r.do(ctx, &call{kind: callHandOver})
	return err
}

// startHandOver makes the end of the authority visible before the consensus
// sends anything.
func (r *Replica) startHandOver(c *call) {
	if err := r.raft.TransferLeadership(sqclock.Now()); err != nil {
		c.finish(nil, err)
		return
	}
	r.publish()
	r.event(sqevent.ReplicaHandsOver, r.raft.Term())
	r.handOver = c
}

// finishHandOver ends the call once another replica leads.
func (r *Replica) finishHandOver() {
	if r.handOver == nil || r.raft.Role() == sqraft.Leader || r.raft.Leader() == 0 {
		return
	}
	r.handOver.finish(nil, nil)
	r.handOver = nil
}
