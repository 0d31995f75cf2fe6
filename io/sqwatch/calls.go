package sqwatch

import (
	"context"
	"sync"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// Bounds of the batches that calls are committed in.
const (
	// maxCommits lets a call start its commit while earlier ones are still under
	// way, so that it waits for one commit and not for two.
	maxCommits = 8
	// maxBatch is the number of calls in one commit.
	maxBatch = 512
)

// Submitter commits commands; Client is one.
type Submitter interface {
	Submit(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error)
	OperationID() string
}

// CallRecorderConfig configures Calls.
type CallRecorderConfig struct {
	// Context ends when the process stops; commits go on until then.
	Context context.Context
	Submit  Submitter
}

// CallRecorder records calls that must not be repeated, many in one commit. It is safe
// for concurrent use.
type CallRecorder struct {
	begin  *batcher
	finish *batcher
}

// NewCallRecorder returns the recorder of calls.
func NewCallRecorder(cfg CallRecorderConfig) *CallRecorder {
	return &CallRecorder{
		begin:  &batcher{cfg: cfg, build: beginCommand},
		finish: &batcher{cfg: cfg, build: finishCommand},
	}
}

// Begin commits the intent to send a call and returns its state. When ctx ends
// first, the call is not sent, and the record is closed as not run later.
func (c *CallRecorder) Begin(ctx context.Context, call *sqcommand.Call) (*sqcommand.CallResult, error) {
	j := &job{begin: call, done: make(chan struct{})}
	c.begin.add(j)
	select {
	case <-j.done:
		return j.result, j.err
	case <-ctx.Done():
	}
	if c.begin.abandon(j) {
		return nil, gaveUp(ctx)
	}
	go c.closeUnsent(j)
	return nil, gaveUp(ctx)
}

// closeUnsent waits for a begin that its caller no longer waits for, and closes
// the record: otherwise every resend would hear that the call still runs.
func (c *CallRecorder) closeUnsent(j *job) {
	<-j.done
	if j.err != nil || j.result.GetState() != sqcommand.CallState_CALL_STATE_STARTED {
		return
	}
	c.finish.add(&job{done: make(chan struct{}), finish: &sqcommand.FinishCall{
		Team:     j.begin.GetTeam(),
		Identity: j.begin.GetIdentity(),
		State:    sqcommand.CallState_CALL_STATE_NOT_RUN,
		Attempt:  j.result.GetAttempt(),
	}})
}

// Finish commits the end of a call. When ctx ends first, the commit goes on in
// the background and the error says that the outcome is not recorded yet.
func (c *CallRecorder) Finish(ctx context.Context, f *sqcommand.FinishCall) error {
	j := &job{finish: f, done: make(chan struct{})}
	c.finish.add(j)
	select {
	case <-j.done:
		return j.err
	case <-ctx.Done():
		return gaveUp(ctx)
	}
}

// Pending returns the number of calls that wait for a commit.
func (c *CallRecorder) Pending() int {
	return c.begin.waiting() + c.finish.waiting()
}

func gaveUp(ctx context.Context) error {
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.OutcomeUnknown,
		Detail: "the record of the call was not committed in time",
		Cause:  context.Cause(ctx),
	})
}

// job is one call on its way into a commit.
type job struct {
	begin  *sqcommand.Call
	finish *sqcommand.FinishCall
	done   chan struct{}
	result *sqcommand.CallResult
	err    error
}

// batcher commits jobs together: a job that comes while the commits are all
// under way joins the next one.
type batcher struct {
	cfg   CallRecorderConfig
	build func(jobs []*job) *sqcommand.Command

	mu      sync.Mutex
	pending []*job
	commits int
	held    int
}

func (b *batcher) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, j)
	if b.commits < maxCommits {
		b.commits++
		go b.run()
	}
}

// abandon takes j back and reports whether that was in time.
func (b *batcher) abandon(j *job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range b.pending {
		if p == j {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return true
		}
	}
	return false
}

func (b *batcher) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) + b.held
}

func (b *batcher) run() {
	for {
		jobs := b.take()
		if len(jobs) == 0 {
			return
		}
		b.commit(jobs)
	}
}

func (b *batcher) take() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatch)
	if n == 0 {
		b.commits--
		return nil
	}
	jobs := append([]*job(nil), b.pending[:n]...)
	b.pending = append(b.pending[:0], b.pending[n:]...)
	b.held += n
	return jobs
}

func (b *batcher) commit(jobs []*job) {
	cmd := b.build(jobs)
	cmd.OperationId = b.cfg.Submit.OperationID()
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	result, err := b.cfg.Submit.Submit(b.cfg.Context, cmd)
	for i, j := range jobs {
		j.err = err
		if err == nil {
			j.result, j.err = callResult(result, i)
		}
		close(j.done)
	}
	b.mu.Lock()
	b.held -= len(jobs)
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

func beginCommand(jobs []*job) *sqcommand.Command {
	calls := make([]*sqcommand.Call, len(jobs))
	for i, j := range jobs {
		calls[i] = j.begin
	}
	return &sqcommand.Command{Body: &sqcommand.Command_BeginCalls{
		BeginCalls: &sqcommand.BeginCalls{Calls: calls},
	}}
}

func finishCommand(jobs []*job) *sqcommand.Command {
	calls := make([]*sqcommand.FinishCall, len(jobs))
	for i, j := range jobs {
		calls[i] = j.finish
	}
	return &sqcommand.Command{Body: &sqcommand.Command_FinishCalls{
		FinishCalls: &sqcommand.FinishCalls{Calls: calls},
	}}
}
