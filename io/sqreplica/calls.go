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
	callAdd
	callPromote
	callRemove
	callHandOver
)

// call is one request to the driver.
type call struct {
	kind    callKind
	command []byte
	member  Member
	id      uint64
	done    chan outcome
}

type outcome struct {
	result []byte
	err    error
}

func (c *call) finish(result []byte, err error) { c.done <- outcome{result, err} }

// start hands a call to the consensus. The caller holds mu.
func (r *Replica) start(c *call) {
	now := sqclock.Now()
	var index, term uint64
	var err error
	switch c.kind {
	case callBarrier:
		r.startRead(c)
		return
	case callHandOver:
		r.startHandOver(c)
		return
	case callPropose:
		index, term, err = r.raft.Propose(now, c.command)
	case callAdd:
		index, term, err = r.raft.AddLearner(now, c.member)
	case callPromote:
		index, term, err = r.raft.PromoteLearner(now, c.id)
	case callRemove:
		index, term, err = r.raft.RemoveMember(now, c.id)
	}
	if err != nil {
		c.finish(nil, err)
		return
	}
	r.waiting[index] = waiter{term: term, call: c}
}

func (r *Replica) startRead(c *call) {
	r.nextRead++
	if err := r.raft.Read(sqclock.Now(), r.nextRead); err != nil {
		c.finish(nil, err)
		return
	}
	r.reads[r.nextRead] = c
}

// do hands c to the driver and waits for its outcome.
func (r *Replica) do(ctx context.Context, c *call) ([]byte, error) {
	c.done = make(chan outcome, 1)
	if err := r.inbox.addCall(c); err != nil {
		return nil, err
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-ctx.Done():
		if c.kind == callHandOver {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.NotHolder, Detail: "no other replica took over in time",
			})
		}
		if c.kind == callBarrier {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.NotHolder, Run: sqerror.NotRun, Detail: "no quorum confirmed the lead in time",
			})
		}
		return nil, outcomeUnknown("the caller did not wait for the outcome")
	}
}

// Propose commits command and returns the result of applying it here. Errors
// are NotHolder, with the leader's address when known, if command was not and
// never will be committed; OutcomeUnknown if it may be; NotSetUp, Overloaded
// and Stopped if it was not proposed.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.do(ctx, &call{kind: callPropose, command: command})
}

// Barrier returns when everything committed before the call is applied here.
// On a replica that is not the leader it gives NotHolder.
func (r *Replica) Barrier(ctx context.Context) error {
	_, err := r.do(ctx, &call{kind: callBarrier})
	return err
}

// AddLearner adds an empty replica that has no vote. It gives MemberChange when
// another change is not committed yet or the identity is a member.
func (r *Replica) AddLearner(ctx context.Context, m Member) error {
	_, err := r.do(ctx, &call{kind: callAdd, member: m})
	return err
}

// PromoteLearner gives a learner its vote. It gives MemberChange when the learner has
// not synced all that is committed, with a time to come back.
func (r *Replica) PromoteLearner(ctx context.Context, id uint64) error {
	_, err := r.do(ctx, &call{kind: callPromote, id: id})
	return err
}

// RemoveMember takes a member other than the leader out of the membership.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	_, err := r.do(ctx, &call{kind: callRemove, id: id})
	return err
}

// replaced is the error of a call that certainly had no effect.
func (r *Replica) replaced() error {
	var address string
	if r.raft != nil && r.raft.Role() != sqraft.Leader {
		address = find(r.raft.Members(), r.raft.Leader()).Address()
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Run: sqerror.NotRun, Elsewhere: address, RetryAfter: r.cfg.HeartbeatInterval,
	})
}

func outcomeUnknown(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Run: sqerror.MayHaveRun, Detail: detail})
}
