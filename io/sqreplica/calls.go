package sqreplica

import (
	"context"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

type callKind int

const (
	callPropose callKind = iota
	callBarrier
	callAddLearner
	callPromote
	callRemove
	callTransfer
)

// call is one request to the goroutine of Run.
type call struct {
	kind     callKind
	command  []byte
	member   Member
	memberID uint64
	done     chan outcome
}

type outcome struct {
	result []byte
	err    error
}

func (c *call) finish(result []byte, err error) { c.done <- outcome{result, err} }

// startCall passes a call to Raft. The caller holds mu.
func (r *Replica) startCall(c *call) {
	now := sqclock.Now()
	var index, term uint64
	var err error
	switch c.kind {
	case callBarrier:
		r.startRead(c)
		return
	case callTransfer:
		r.startTransfer(c)
		return
	case callPropose:
		index, term, err = r.raft.Propose(now, c.command)
	case callAddLearner:
		index, term, err = r.raft.AddLearner(now, c.member)
	case callPromote:
		index, term, err = r.raft.PromoteLearner(now, c.memberID)
	case callRemove:
		index, term, err = r.raft.RemoveMember(now, c.memberID)
	}
	if err != nil {
		c.finish(nil, err)
		return
	}
	r.pendingProposals[index] = pendingProposal{term: term, call: c}
}

func (r *Replica) startRead(c *call) {
	r.lastReadID++
	if err := r.raft.Read(sqclock.Now(), r.lastReadID); err != nil {
		c.finish(nil, err)
		return
	}
	r.pendingReads[r.lastReadID] = c
}

// submit queues c for Run and waits for its outcome.
func (r *Replica) submit(ctx context.Context, c *call) ([]byte, error) {
	c.done = make(chan outcome, 1)
	if err := r.inbox.addCall(c); err != nil {
		return nil, err
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
		if c.kind == callTransfer {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.NotHolder, Detail: "no other replica took over in time",
			})
		}
		if c.kind == callBarrier {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.NotHolder, Execution: sqerror.NotRun, Detail: "no quorum confirmed the lead in time",
			})
		}
		return nil, outcomeUnknownError("the caller did not wait for the outcome")
	}
}

// Propose commits command and returns the result of applying it here. Errors
// are NotHolder, with the leader's address when known, if command was not and
// never will be committed; OutcomeUnknown if it may have been or may still be
// committed; NotBootstrapped, Overloaded and Stopped if it was not proposed.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.submit(ctx, &call{kind: callPropose, command: command})
}

// ReadBarrier returns when every entry committed before the call is applied here.
// On a replica that is not the leader it returns NotHolder.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	_, err := r.submit(ctx, &call{kind: callBarrier})
	return err
}

// AddLearner adds an empty replica without a vote. It returns MemberChange when
// another change is not committed yet or the identity is already a member.
func (r *Replica) AddLearner(ctx context.Context, m Member) error {
	_, err := r.submit(ctx, &call{kind: callAddLearner, member: m})
	return err
}

// PromoteLearner gives a learner its vote. It returns MemberChange, with a time
// after which to retry, when the learner has not synced all committed entries.
func (r *Replica) PromoteLearner(ctx context.Context, id uint64) error {
	_, err := r.submit(ctx, &call{kind: callPromote, memberID: id})
	return err
}

// RemoveMember removes a member other than the leader from the membership.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	_, err := r.submit(ctx, &call{kind: callRemove, memberID: id})
	return err
}

// notLeaderError returns the error of a call that certainly had no effect: this
// replica is not the leader, or another leader replaced the entry.
func (r *Replica) notLeaderError() error {
	var address string
	if r.raft != nil && r.raft.Role() != sqraft.Leader {
		address = findMember(r.raft.Members(), r.raft.Leader()).Address()
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Execution: sqerror.NotRun, RedirectAddress: address, RetryAfter: r.cfg.HeartbeatInterval,
	})
}

func outcomeUnknownError(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Execution: sqerror.MayHaveRun, Detail: detail})
}
