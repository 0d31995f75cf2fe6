package sqentry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstream"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
)

// Bounds of one answer's attempts.
const (
	// maxLegs bounds the streams that one answer may take.
	maxLegs = 12
	// maxResumes bounds how often one engine may be asked to go on after it cut
	// or garbled the stream.
	maxResumes = 2
	// firstTokenFloor and betweenFloor are the least times after which an engine
	// that gives nothing is taken for dead.
	firstTokenFloor = 5 * time.Second
	betweenFloor    = 2 * time.Second
	minSilence      = 100 * time.Millisecond
	// silenceFactor multiplies what is expected of it.
	silenceFactor = 4
	// silenceParts bounds a silence to a part of the time that is left, so that
	// another engine can still give the answer.
	silenceParts = 3
)

// Finish reason of an engine that only prefills.
const finishPrefilled = "prefilled"

// Causes for which an answer changes its stream without anything having failed.
var (
	errMove      = sqerror.New(sqerror.Config{Kind: sqerror.NoEndpoint, Detail: "the engine leaves"})
	errPrefilled = sqerror.New(sqerror.Config{Kind: sqerror.NoEndpoint, Detail: "the engine has prefilled"})
	errDead      = sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Detail: "the engine answers no polls", Run: sqerror.MayHaveRun})
)

// answerRun gives one answer, over as many streams as it takes.
type answerRun struct {
	e        *entry
	request  *request
	key      usageKey
	caller   *caller
	chat     sqendpoint.ChatRequest
	query    sqroute.QueryConfig
	sink     sink
	answer   *sqstream.Answer
	admitted *admitted

	legs    int
	resumes map[string]int
	losses  losses
	started bool
	// imported is true while the stream goes on with a KV cache from elsewhere.
	imported bool
	tokens   int
	usage    sqendpoint.Usage
	firstAt  time.Time
	lastAt   time.Time

	mu       sync.Mutex
	endpoint string
	cancel   context.CancelCauseFunc
	// stayUntil holds back a move for which there was no other engine.
	stayUntil time.Time
	eventAt   time.Time
}

// leg is one stream of an answer.
type leg struct {
	endpoint  string
	requestID string
	// attempt matches the run that the stream belongs to.
	attempt *sqstream.Attempt
	// resume goes on with a run that the engine knows.
	resume bool
	// imported is true when its KV cache came from another engine.
	imported bool
	cached   int
	expected time.Duration
	// decode is the engine planned to go on after the first token.
	decode string
}

// run gives the whole answer or returns why not.
func (r *answerRun) run(ctx context.Context) error {
	r.resumes = map[string]int{}
	r.e.boundWrites(r.request, r.request.deadline.Sub(sqclock.Now())+r.e.cfg.Timings.ConnectTimeout)
	next, err := r.fresh()
	for err == nil {
		r.legs++
		err = r.give(ctx, &next)
		if err == nil {
			return r.sink.end(r.total())
		}
		next, err = r.after(ctx, &next, err)
	}
	return err
}

// fresh plans a stream that begins anew at the best engine.
func (r *answerRun) fresh() (leg, error) {
	choice, why := r.e.fleet.route(sqclock.Now(), r.query)
	r.request.note(why...)
	if !choice.OK() {
		return leg{}, r.noEngine()
	}
	id := r.request.id
	if r.legs > 0 {
		// A late stream of an earlier attempt must never pass for this one.
		id += "-" + strconv.Itoa(r.legs+1)
	}
	return leg{
		endpoint: choice.Endpoint(), requestID: id, attempt: sqstream.NewAttempt(r.answer, id), cached: choice.CachedTokens(),
		expected: choice.FirstToken(), decode: choice.Decode(),
	}, nil
}

func (r *answerRun) noEngine() *sqerror.Error {
	run := sqerror.NotRun
	if r.started {
		run = sqerror.MayHaveRun
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NoEndpoint, Detail: "no other open engine has the model", Run: run,
		RetryAfter: comeBack(sqerror.NoEndpoint),
	})
}

// total returns the usage of the whole answer.
func (r *answerRun) total() sqendpoint.Usage {
	u := r.usage
	if u.PromptTokens == 0 {
		u.PromptTokens = int64(r.query.PromptTokens)
	}
	u.CompletionTokens = int64(r.tokens)
	return u
}

// book counts what the team used.
func (r *answerRun) book() {
	if !r.started {
		return
	}
	u := r.total()
	r.e.usage.add(r.key.team, r.key.service, r.key.model, u.PromptTokens, u.CompletionTokens)
}

// broken reports whether err is the engine's fault.
func broken(err error) bool {
	if err == nil || errors.Is(err, errMove) || errors.Is(err, errPrefilled) {
		return false
	}
	k := sqerror.KindOf(err)
	return k == sqerror.EndpointFailed || k == sqerror.BadAnswer
}

// attach notes where the answer comes from, for those who interrupt it.
func (r *answerRun) attach(endpoint string, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoint = endpoint
	r.cancel = cancel
	r.eventAt = sqclock.Now()
}

func (r *answerRun) where() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoint
}

// interrupt ends the present stream with a cause.
func (r *answerRun) interrupt(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel(cause)
	}
}
