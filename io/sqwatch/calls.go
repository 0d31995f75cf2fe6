package sqwatch

import (
	"context"
	"sync"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// Limits of the batches in which calls are committed.
const (
	// maxConcurrentCommits is above one, so that a call can be committed while
	// earlier commits are in flight and waits for one commit, not for two.
	maxConcurrentCommits = 8
	// maxBatchCalls is the maximum number of calls in one commit.
	maxBatchCalls = 512
)

// Submitter commits commands. Client implements it.
type Submitter interface {
	Submit(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error)
	OperationID() string
}

// CallRecorderConfig configures a CallRecorder.
type CallRecorderConfig struct {
	// Context ends when the process stops; commits continue until then, also after
	// their callers stop waiting.
	Context   context.Context
	Submitter Submitter
}

// CallRecorder records calls that must not be repeated, many in one commit. It is
// safe for concurrent use.
type CallRecorder struct {
	beginBatcher  *batcher
	finishBatcher *batcher
}

// NewCallRecorder returns a recorder configured by cfg.
func NewCallRecorder(cfg CallRecorderConfig) *CallRecorder {
	return &CallRecorder{
		beginBatcher:  &batcher{cfg: cfg, build: beginCommand},
		finishBatcher: &batcher{cfg: cfg, build: finishCommand},
	}
}

// Begin commits the intent to send a call and returns its state. If ctx ends
// first, Begin returns OutcomeUnknown, the caller must not send the call, and a
// record that is still committed is closed as not run later.
func (c *CallRecorder) Begin(ctx context.Context, call *sqcommand.Call) (*sqcommand.CallResult, error) {
	pc := &pendingCall{begin: call, done: make(chan struct{})}
	c.beginBatcher.add(pc)
	select {
	case <-pc.done:
		return pc.result, pc.err
	case <-ctx.Done():
	}
	if c.beginBatcher.remove(pc) {
		return nil, notCommittedError(ctx)
	}
	go c.closeUnsentCall(pc)
	return nil, notCommittedError(ctx)
}

// closeUnsentCall waits for the commit of pc, whose caller has stopped waiting, and
// records the call as not run: otherwise every resend would be told that the call
// is still running.
func (c *CallRecorder) closeUnsentCall(pc *pendingCall) {
	<-pc.done
	if pc.err != nil || pc.result.GetState() != sqcommand.CallState_CALL_STATE_STARTED {
		return
	}
	c.finishBatcher.add(&pendingCall{done: make(chan struct{}), finish: &sqcommand.FinishCall{
		Team:     pc.begin.GetTeam(),
		Identity: pc.begin.GetIdentity(),
		State:    sqcommand.CallState_CALL_STATE_NOT_RUN,
		Attempt:  pc.result.GetAttempt(),
	}})
}

// Finish commits the end of a call. If ctx ends first, the commit continues in the
// background and Finish returns OutcomeUnknown, because the outcome may not be
// recorded yet.
func (c *CallRecorder) Finish(ctx context.Context, f *sqcommand.FinishCall) error {
	pc := &pendingCall{finish: f, done: make(chan struct{})}
	c.finishBatcher.add(pc)
	select {
	case <-pc.done:
		return pc.err
	case <-ctx.Done():
		return notCommittedError(ctx)
	}
}

// Pending returns the number of begin and finish records that are not yet
// committed.
func (c *CallRecorder) Pending() int {
	return c.beginBatcher.pendingCount() + c.finishBatcher.pendingCount()
}

func notCommittedError(ctx context.Context) error {
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.OutcomeUnknown,
		Detail: "the record of the call was not committed in time",
		Cause:  context.Cause(ctx),
	})
}

// pendingCall is the begin or finish record of a call that is not yet committed.
type pendingCall struct {
	begin  *sqcommand.Call
	finish *sqcommand.FinishCall
	done   chan struct{}
	result *sqcommand.CallResult
	err    error
}

// batcher commits calls in batches: a call that is added while the maximum number
// of commits is in flight joins the next commit.
type batcher struct {
	cfg   CallRecorderConfig
	build func(batch []*pendingCall) *sqcommand.Command

	mu            sync.Mutex
	pending       []*pendingCall
	activeCommits int
	inFlight      int
}

func (b *batcher) add(pc *pendingCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, pc)
	if b.activeCommits < maxConcurrentCommits {
		b.activeCommits++
		go b.commitLoop()
	}
}

// remove removes pc from the pending calls. It returns false if pc is already part
// of a commit.
func (b *batcher) remove(pc *pendingCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range b.pending {
		if p == pc {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return true
		}
	}
	return false
}

func (b *batcher) pendingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) + b.inFlight
}

func (b *batcher) commitLoop() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.commit(batch)
	}
}

func (b *batcher) nextBatch() []*pendingCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatchCalls)
	if n == 0 {
		b.activeCommits--
		return nil
	}
	batch := append([]*pendingCall(nil), b.pending[:n]...)
	b.pending = append(b.pending[:0], b.pending[n:]...)
	b.inFlight += n
	return batch
}

func (b *batcher) commit(batch []*pendingCall) {
	cmd := b.build(batch)
	cmd.OperationId = b.cfg.Submitter.OperationID()
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	result, err := b.cfg.Submitter.Submit(b.cfg.Context, cmd)
	for i, pc := range batch {
		pc.err = err
		if err == nil {
			pc.result, pc.err = callResult(result, i)
		}
		close(pc.done)
	}
	b.mu.Lock()
	b.inFlight -= len(batch)
	b.mu.Unlock()
}

func callResult(r *sqcommand.Result, i int) (*sqcommand.CallResult, error) {
	if i >= len(r.GetCalls()) {
		return nil, sqerror.New(sqerror.Config{
			Kind:   sqerror.OutcomeUnknown,
			Detail: "the holder's answer leaves out a call",
		})
	}
	return r.GetCalls()[i], nil
}

func beginCommand(batch []*pendingCall) *sqcommand.Command {
	calls := make([]*sqcommand.Call, len(batch))
	for i, pc := range batch {
		calls[i] = pc.begin
	}
	return &sqcommand.Command{Body: &sqcommand.Command_BeginCalls{
		BeginCalls: &sqcommand.BeginCalls{Calls: calls},
	}}
}

func finishCommand(batch []*pendingCall) *sqcommand.Command {
	calls := make([]*sqcommand.FinishCall, len(batch))
	for i, pc := range batch {
		calls[i] = pc.finish
	}
	return &sqcommand.Command{Body: &sqcommand.Command_FinishCalls{
		FinishCalls: &sqcommand.FinishCalls{Calls: calls},
	}}
}
