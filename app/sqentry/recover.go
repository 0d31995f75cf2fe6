package sqentry

import (
	"context"
	"errors"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
)

// Timeouts and delays of the calls made besides the stream itself.
const (
	transferTimeout = 5 * time.Second
	cancelTimeout   = time.Second
	// moveRetryDelay is how long a response stays at a draining engine before
	// the next attempt to move it.
	moveRetryDelay = time.Second
)

// nextStream decides how a response continues after a stream ended early.
func (r *responseRelay) nextStream(ctx context.Context, plan *streamPlan, err error) (streamPlan, error) {
	if ctx.Err() != nil || endsResponse(err) {
		r.cancelAtEngine(plan)
		return streamPlan{}, r.endError(ctx, err)
	}
	if r.streamCount >= maxStreams {
		r.cancelAtEngine(plan)
		return streamPlan{}, r.withRunState(err)
	}
	switch {
	case errors.Is(err, errPrefilled):
		return r.moveToDecode(ctx, plan)
	case errors.Is(err, errEngineLeaving):
		return r.moveAway(ctx, plan)
	case sqerror.KindOf(err) == sqerror.NoEndpoint:
		// The write guard blocked the request: the engine started to drain
		// after it was chosen.
		r.request.note("Not sent to " + plan.endpoint + ": it takes no new work.")
		return r.planNewStream()
	}
	return r.retryStream(plan, err)
}

// endsResponse reports whether err ends the response, whatever other engines
// could do.
func endsResponse(err error) bool {
	switch sqerror.KindOf(err) {
	case sqerror.BadKey, sqerror.StaleEntry, sqerror.Canceled, sqerror.DeadlineExceeded, sqerror.BadRequest,
		sqerror.Leaving, sqerror.Overloaded:
		return true
	}
	return false
}

// endError returns the typed error of a response whose context is over or that
// was stopped.
func (r *responseRelay) endError(ctx context.Context, err error) error {
	switch {
	case graceExpired(ctx):
		return r.withRunState(errStopping)
	case ctx.Err() == nil:
		return r.withRunState(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return r.withRunState(sqerror.New(sqerror.Config{Kind: sqerror.DeadlineExceeded, Detail: "the deadline passed", Cause: err}))
	}
	return r.withRunState(sqerror.New(sqerror.Config{Kind: sqerror.Canceled, Detail: "the caller left", Cause: err}))
}

// withRunState returns err marked MayHaveRun if any stream may have started at
// an engine, else NotRun.
func (r *responseRelay) withRunState(err error) error {
	e := asError(err)
	run := sqerror.NotRun
	if r.mayHaveStarted {
		run = sqerror.MayHaveRun
	}
	delay := e.RetryAfter()
	if delay == 0 {
		delay = retryAfter(e.Kind())
	}
	return sqerror.New(sqerror.Config{
		Kind: e.Kind(), Detail: e.Detail(), Execution: run, RetryAfter: delay, RedirectAddress: e.RedirectAddress(), Cause: e.Unwrap(),
	})
}

// retryStream plans the stream after a failure: it resumes at the same engine
// if only the stream broke, and otherwise starts over at another engine.
func (r *responseRelay) retryStream(plan *streamPlan, err error) (streamPlan, error) {
	if !r.e.retries.mayRetry(&r.lost, err) {
		r.request.note("Not tried again: the retry budget of this entry is used up.")
		r.cancelAtEngine(plan)
		return streamPlan{}, r.withRunState(err)
	}
	r.e.metrics.retries.Inc()
	r.request.note("The stream from " + plan.endpoint + " failed at position " + itoa(r.response.NextPosition()) + ": " + asError(err).Detail() + ".")
	if sqendpoint.Resumable(err) && !plan.attempt.Diverged() && r.resumeCounts[plan.endpoint] < maxResumesPerEngine {
		r.resumeCounts[plan.endpoint]++
		r.request.note("Resumed at " + plan.endpoint + ".")
		next := *plan
		next.resume = true
		next.kvImported = false
		return next, nil
	}
	r.cancelAtEngine(plan)
	if !requestUnknown(plan, err) {
		r.query.Excluded = append(r.query.Excluded, plan.endpoint)
	}
	next, planErr := r.planNewStream()
	if planErr != nil {
		return streamPlan{}, r.withRunState(err)
	}
	r.recordMove(plan, next.endpoint, "anew")
	return next, nil
}

// requestUnknown reports whether the engine is alive but doesn't know the
// request, as after a lost KV import. Such an engine can still produce the
// response from the prompt.
func requestUnknown(plan *streamPlan, err error) bool {
	return plan.resume && sqerror.KindOf(err) == sqerror.NotFound
}

// moveToDecode continues at a decode engine after the prefill, or at the
// prefill engine if no transfer succeeds.
func (r *responseRelay) moveToDecode(ctx context.Context, plan *streamPlan) (streamPlan, error) {
	to := plan.decodeEngine
	if to == "" || !r.e.fleet.acceptsNewWork(to) {
		var why []string
		to, why = r.e.fleet.routeDecode(sqclock.Now(), r.query, plan.endpoint)
		r.request.note(why...)
	}
	if to != "" {
		if next, ok := r.transferKV(ctx, plan, to); ok {
			return next, nil
		}
	}
	r.request.note("Goes on at " + plan.endpoint + ": no other engine took its KV cache over.")
	next := *plan
	next.resume = true
	next.kvImported = false
	return next, nil
}

// moveAway moves the response off an engine that is draining or leaving.
func (r *responseRelay) moveAway(ctx context.Context, plan *streamPlan) (streamPlan, error) {
	if plan.attempt.ResumePosition() == 0 {
		// No token has been generated, so there is no KV cache worth moving.
		r.cancelAtEngine(plan)
		r.query.Excluded = append(r.query.Excluded, plan.endpoint)
		next, err := r.planNewStream()
		if err == nil {
			r.recordMove(plan, next.endpoint, "anew")
			return next, nil
		}
		return r.stayAtEngine(plan), nil
	}
	to, why := r.e.fleet.routeDecode(sqclock.Now(), r.query, plan.endpoint)
	r.request.note(why...)
	if to == "" {
		return r.stayAtEngine(plan), nil
	}
	if next, ok := r.transferKV(ctx, plan, to); ok {
		return next, nil
	}
	r.cancelAtEngine(plan)
	r.query.Excluded = append(r.query.Excluded, plan.endpoint)
	next, err := r.planNewStream()
	if err != nil {
		return r.stayAtEngine(plan), nil
	}
	r.recordMove(plan, next.endpoint, "anew")
	return next, nil
}

// stayAtEngine resumes at an engine that is draining or leaving because no
// other engine is available.
func (r *responseRelay) stayAtEngine(plan *streamPlan) streamPlan {
	r.mu.Lock()
	r.nextMoveAt = sqclock.Now().Add(moveRetryDelay)
	r.mu.Unlock()
	next := *plan
	next.resume = true
	next.kvImported = false
	return next
}

// transferKV moves the request's KV cache from the plan's engine to another
// one.
func (r *responseRelay) transferKV(ctx context.Context, plan *streamPlan, to string) (streamPlan, bool) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	fromAddress, toAddress := r.e.fleet.address(plan.endpoint), r.e.fleet.address(to)
	export, err := r.e.endpointClient.ExportKV(ctx, fromAddress, plan.requestID, r.e.writeGuard(r.caller, "", false, 0))
	if err == nil {
		err = r.e.endpointClient.ImportKV(ctx, toAddress, export.Handle, fromAddress, r.e.writeGuard(r.caller, to, false, 0))
	}
	if err != nil {
		r.request.note("The KV cache could not go from " + plan.endpoint + " to " + to + ": " + asError(err).Detail() + ".")
		return streamPlan{}, false
	}
	r.cancelAtEngine(plan)
	r.recordMove(plan, to, "with its KV cache")
	return streamPlan{endpoint: to, requestID: plan.requestID, attempt: plan.attempt, resume: true, kvImported: true}, true
}

func (r *responseRelay) recordMove(plan *streamPlan, to, how string) {
	r.request.note("Goes on at " + to + " " + how + ", from position " + itoa(r.response.NextPosition()) + ".")
	r.e.metrics.moves.Inc()
	r.e.cfg.Log.Event(sqevent.StreamMoved, r.request.id, plan.endpoint, to, r.response.NextPosition(), how)
}

// cancelAtEngine cancels the request at an engine that the response has left,
// so that the engine frees its resources.
func (r *responseRelay) cancelAtEngine(plan *streamPlan) {
	address := r.e.fleet.address(plan.endpoint)
	if !r.mayHaveStarted || address == "" {
		return
	}
	id := plan.requestID
	go func() {
		ctx, cancel := context.WithTimeout(r.e.processCtx, cancelTimeout)
		defer cancel()
		_ = r.e.endpointClient.Cancel(ctx, address, id)
	}()
}

// reportFailure ends a stream that has started with an error event. If none
// has, the returned error is sent as a normal error response.
func (r *responseRelay) reportFailure(err error) error {
	typed := asError(err)
	if r.writer.started() {
		r.writer.writeError(refusalEvent(typed, r.request.id))
	}
	return typed
}
