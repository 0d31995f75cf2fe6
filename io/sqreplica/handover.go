package sqreplica

import (
	"context"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

// TransferLeadership gives up the lease of this replica for the rest of its term
// and returns when another replica leads. The new leader does not wait for the end
// of the lease, so the caller must first finish everything that it does under the
// lease: no write may still be in flight. Lease reports the end of the lease
// before any other replica can act as leader. The error is NotHolder on replicas
// without the lease, and when no other replica became leader before ctx was done;
// an ordinary election follows then.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	_, err := r.submit(ctx, &call{kind: callTransfer})
	return err
}

// startTransfer starts a leadership transfer. It publishes the end of the lease
// before any message of the transfer is sent.
func (r *Replica) startTransfer(c *call) {
	if err := r.raft.TransferLeadership(sqclock.Now()); err != nil {
		c.finish(nil, err)
		return
	}
	r.publishView()
	r.logEvent(sqevent.ReplicaTransferStarted, r.raft.Term())
	r.transferCall = c
}

// finishTransfer completes the transfer call once another replica leads.
func (r *Replica) finishTransfer() {
	if r.transferCall == nil || r.raft.Role() == sqraft.Leader || r.raft.Leader() == 0 {
		return
	}
	r.transferCall.finish(nil, nil)
	r.transferCall = nil
}
