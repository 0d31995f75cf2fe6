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

// Bounds of the calls beside a stream.
const (
	moveTimeout   = 5 * time.Second
	cancelTimeout = time.Second
	// stayTime is how long an answer stays at a draining engine before the next
	// try to move it.
	stayTime = time.Second
)

// after decides how an answer goes on when a stream ended before it was whole.
func (r *answerRun) after(ctx context.Context, l *leg, err error) (leg, error) {
	if ctx.Err() != nil || final(err) {
		r.cancelAt(l)
		return leg{}, r.ended(ctx, err)
	}
	if r.legs >= maxLegs {
		r.cancelAt(l)
		return leg{}, r.withRun(err)
	}
	switch {
	case errors.Is(err, errPrefilled):
		return r.handOver(ctx, l)
	case errors.Is(err, errMove):
		return r.move(ctx, l)
	case sqerror.KindOf(err) == sqerror.NoEndpoint:
		// The guard stopped it: the engine began to leave after it was chosen.
		r.request.note("Not sent to " + l.endpoint + ": it takes no new work.")
		return r.fresh()
	}
	return r.retry(l, err)
}

// final reports whether err ends the answer whatever the engines can do.
func final(err error) bool {
	switch sqerror.KindOf(err) {
	case sqerror.BadKey, sqerror.StaleEntry, sqerror.Canceled, sqerror.DeadlineExceeded, sqerror.BadRequest,
		sqerror.Leaving, sqerror.Overloaded:
		return true
	}
	return false
}

// ended types the end of an answer whose context is over or that was stopped.
func (r *answerRun) ended(ctx context.Context, err error) error {
	switch {
	case graceOver(ctx):
		return r.withRun(errStopping)
	case ctx.Err() == nil:
		return r.withRun(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return r.withRun(sqerror.New(sqerror.Config{Kind: sqerror.DeadlineExceeded, Detail: "the deadline passed", Cause: err}))
	}
	return r.withRun(sqerror.New(sqerror.Config{Kind: sqerror.Canceled, Detail: "the caller left", Cause: err}))
}

// withRun says of a failure whether an engine may have started in any stream.
func (r *answerRun) withRun(err error) error {
	e := asError(err)
	run := sqerror.NotRun
	if r.started {
		run = sqerror.MayHaveRun
	}
	after := e.RetryAfter()
	if after == 0 {
		after = comeBack(e.Kind())
	}
	return sqerror.New(sqerror.Config{
		Kind: e.Kind(), Detail: e.Detail(), Execution: run, RetryAfter: after, RedirectAddress: e.RedirectAddress(), Cause: e.Unwrap(),
	})
}

// retry goes on after a failure: at the same engine if only the stream broke,
// else anew at another one.
func (r *answerRun) retry(l *leg, err error) (leg, error) {
	if !r.e.retries.mayRetry(&r.losses, err) {
		r.request.note("Not tried again: the retry budget of this entry is used up.")
		r.cancelAt(l)
		return leg{}, r.withRun(err)
	}
	r.e.gauges.retries.Inc()
	r.request.note("The stream from " + l.endpoint + " failed at position " + itoa(r.answer.NextPosition()) + ": " + asError(err).Detail() + ".")
	if sqendpoint.Resumable(err) && !l.attempt.Diverged() && r.resumes[l.endpoint] < maxResumes {
		r.resumes[l.endpoint]++
		r.request.note("Resumed at " + l.endpoint + ".")
		next := *l
		next.resume = true
		next.imported = false
		return next, nil
	}
	r.cancelAt(l)
	if !forgot(l, err) {
		r.query.Excluded = append(r.query.Excluded, l.endpoint)
	}
	next, err2 := r.fresh()
	if err2 != nil {
		return leg{}, r.withRun(err)
	}
	r.moved(l, next.endpoint, "anew")
	return next, nil
}

// forgot reports whether the engine lives and only does not know the request, as
// after an import that was lost: it can still give the answer anew.
func forgot(l *leg, err error) bool {
	return l.resume && sqerror.KindOf(err) == sqerror.NotFound
}

// handOver goes on at a decode engine after the prefill.
func (r *answerRun) handOver(ctx context.Context, l *leg) (leg, error) {
	to := l.decode
	if to == "" || !r.e.fleet.accepts(to) {
		var why []string
		to, why = r.e.fleet.routeDecode(sqclock.Now(), r.query, l.endpoint)
		r.request.note(why...)
	}
	if to != "" {
		if next, ok := r.transfer(ctx, l, to); ok {
			return next, nil
		}
	}
	r.request.note("Goes on at " + l.endpoint + ": no other engine took its KV cache over.")
	next := *l
	next.resume = true
	next.imported = false
	return next, nil
}

// move leaves an engine that drains or leaves.
func (r *answerRun) move(ctx context.Context, l *leg) (leg, error) {
	if l.attempt.ResumePosition() == 0 {
		// Nothing is computed yet that would be worth moving.
		r.cancelAt(l)
		r.query.Excluded = append(r.query.Excluded, l.endpoint)
		next, err := r.fresh()
		if err == nil {
			r.moved(l, next.endpoint, "anew")
			return next, nil
		}
		return r.stay(l), nil
	}
	to, why := r.e.fleet.routeDecode(sqclock.Now(), r.query, l.endpoint)
	r.request.note(why...)
	if to == "" {
		return r.stay(l), nil
	}
	if next, ok := r.transfer(ctx, l, to); ok {
		return next, nil
	}
	r.cancelAt(l)
	r.query.Excluded = append(r.query.Excluded, l.endpoint)
	next, err := r.fresh()
	if err != nil {
		return r.stay(l), nil
	}
	r.moved(l, next.endpoint, "anew")
	return next, nil
}

// stay goes on at an engine that is about to leave, for want of another.
func (r *answerRun) stay(l *leg) leg {
	r.mu.Lock()
	r.stayUntil = sqclock.Now().Add(stayTime)
	r.mu.Unlock()
	next := *l
	next.resume = true
	next.imported = false
	return next
}

// transfer takes the KV cache from one engine to another.
func (r *answerRun) transfer(ctx context.Context, l *leg, to string) (leg, bool) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	fromAddress, toAddress := r.e.fleet.address(l.endpoint), r.e.fleet.address(to)
	export, err := r.e.client.ExportKV(ctx, fromAddress, l.requestID, r.e.guard(r.caller, "", false, 0))
	if err == nil {
		err = r.e.client.ImportKV(ctx, toAddress, export.Handle, fromAddress, r.e.guard(r.caller, to, false, 0))
	}
	if err != nil {
		r.request.note("The KV cache could not go from " + l.endpoint + " to " + to + ": " + asError(err).Detail() + ".")
		return leg{}, false
	}
	r.cancelAt(l)
	r.moved(l, to, "with its KV cache")
	return leg{endpoint: to, requestID: l.requestID, attempt: l.attempt, resume: true, imported: true}, true
}

func (r *answerRun) moved(l *leg, to, how string) {
	r.request.note("Goes on at " + to + " " + how + ", from position " + itoa(r.answer.NextPosition()) + ".")
	r.e.gauges.moves.Inc()
	r.e.cfg.Log.Event(sqevent.StreamMoved, r.request.id, l.endpoint, to, r.answer.NextPosition(), how)
}

// cancelAt frees the request's place at an engine that it has left.
func (r *answerRun) cancelAt(l *leg) {
	address := r.e.fleet.address(l.endpoint)
	if !r.started || address == "" {
		return
	}
	id := l.requestID
	go func() {
		ctx, cancel := context.WithTimeout(r.e.life, cancelTimeout)
		defer cancel()
		_ = r.e.client.Cancel(ctx, address, id)
	}()
}

// failed tells the caller of a stream that has begun why it ends. Otherwise the
// error goes into the usual refusal.
func (r *answerRun) failed(err error) error {
	typed := asError(err)
	if r.sink.begun() {
		r.sink.fail(refusalEvent(typed, r.request.id))
	}
	return typed
}
