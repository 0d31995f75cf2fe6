package sqentry

import (
	"context"
	"errors"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstream"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
)

// give receives one stream and passes on what is new. It returns nil when the
// answer is whole.
func (r *answerRun) give(ctx context.Context, l *leg) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.attach(l.endpoint, cancel)
	defer r.attach("", nil)
	q := sqroute.NewQuery(r.query)
	d, ok := r.e.fleet.begin(sqclock.Now(), l.endpoint, &q, l.cached, l.imported || l.resume, l.resume)
	if !ok {
		return errMove
	}
	result := sqroute.DispatchResult{}
	r.imported = l.imported
	err := r.receive(ctx, l, d, &result)
	if errors.Is(err, errPrefilled) {
		result.Complete, result.OutputTokens, result.CachedTokens = true, 1, int(r.usage.CachedTokens)
	}
	result.Failed = broken(err)
	r.e.fleet.done(sqclock.Now(), d, result)
	return err
}

func (r *answerRun) receive(ctx context.Context, l *leg, d *dispatch, result *sqroute.DispatchResult) error {
	stream, err := r.e.client.Chat(ctx, r.chatConfig(l, d))
	if err != nil {
		r.started = r.started || asError(err).Execution() != sqerror.NotRun
		return err
	}
	r.started = true
	for first := true; ; first = false {
		ev, err := stream.Next()
		if err == nil && ev == nil {
			err = sqerror.New(sqerror.Config{Kind: sqerror.BadAnswer, Detail: "the stream ended before its last event", Execution: sqerror.MayHaveRun})
		}
		if err != nil {
			stream.Close()
			return err
		}
		if first {
			r.sawFirst(d)
		}
		last, err := r.pass(l.attempt, ev, stream.EventBuffered())
		if err != nil {
			stream.Close()
			return err
		}
		if last {
			r.complete(ev, result)
			go stream.Drain()
			return nil
		}
	}
}

func (r *answerRun) chatConfig(l *leg, d *dispatch) sqendpoint.ChatConfig {
	req := r.chat
	req.RequestID = l.requestID
	checked := l.endpoint
	if l.resume {
		position := l.attempt.ResumePosition()
		req.ResumePosition = &position
	}
	if l.resume && !l.imported {
		// Work that runs at a draining engine may go on there.
		checked = ""
	}
	svc := r.request.svc
	return sqendpoint.ChatConfig{
		Address: d.address(), Request: req, WriteCheck: r.e.guard(r.caller, checked, false, 0),
		FirstTokenTimeout: r.silence(max(firstTokenFloor, silenceFactor*svc.firstToken(), silenceFactor*l.expected)),
		InterTokenTimeout: r.silence(max(betweenFloor, silenceFactor*svc.betweenTokens())),
	}
}

// silence returns how long a stream may give nothing.
func (r *answerRun) silence(limit time.Duration) time.Duration {
	left := r.request.deadline.Sub(sqclock.Now())
	return max(minSilence, min(limit, left/silenceParts))
}

func (r *answerRun) sawFirst(d *dispatch) {
	now := sqclock.Now()
	r.e.fleet.firstToken(now, d)
	r.e.admission.prefilled(now, r.admitted)
}

// pass hands an event to the caller if it is new, and reports whether it was the
// last one.
func (r *answerRun) pass(matcher *sqstream.Attempt, ev *sqendpoint.Event, more bool) (bool, error) {
	finish := ev.Finish
	if finish == finishPrefilled {
		finish = ""
	}
	if limit := r.chat.MaxTokens; limit > 0 && ev.Content != "" && ev.Position >= int64(limit) {
		return false, sqerror.New(sqerror.Config{
			Kind: sqerror.BadAnswer, Detail: "the answer goes on beyond max_tokens", Execution: sqerror.MayHaveRun,
		})
	}
	verdict, err := matcher.Accept(&sqstream.Event{ID: ev.ID, Position: ev.Position, Text: ev.Content, FinishReason: finish})
	if err != nil {
		r.e.cfg.Log.Event(sqevent.EndpointBadAnswer, r.where(), r.request.id, err.Error())
		return false, err
	}
	if ev.Usage != nil {
		r.usage.PromptTokens = max(r.usage.PromptTokens, ev.Usage.PromptTokens)
		if !r.imported {
			r.usage.CachedTokens = max(r.usage.CachedTokens, ev.Usage.CachedTokens)
		}
	}
	if verdict == sqstream.Deliver {
		if err := r.deliver(ev, finish, more); err != nil {
			return false, err
		}
	}
	if ev.Finish == finishPrefilled {
		return false, errPrefilled
	}
	return matcher.Finished(), nil
}

// touch notes that the stream gave something.
func (r *answerRun) touch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventAt = now
}

func (r *answerRun) deliver(ev *sqendpoint.Event, finish string, more bool) error {
	now := sqclock.Now()
	r.touch(now)
	if ev.Content != "" {
		if r.tokens == 0 {
			r.firstAt = now
		}
		r.tokens++
		r.lastAt = now
	}
	var usage *sqendpoint.Usage
	if finish != "" {
		total := r.total()
		usage = &total
	}
	err := r.sink.token(ev.Position, ev.Content, finish, usage, more)
	if sqerror.KindOf(err) == sqerror.Overloaded {
		return err
	}
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.Canceled, Detail: "the caller left", Execution: sqerror.MayHaveRun, Cause: err})
	}
	return nil
}

func (r *answerRun) complete(ev *sqendpoint.Event, result *sqroute.DispatchResult) {
	result.Complete = true
	result.OutputTokens = r.tokens
	if ev.Usage != nil {
		result.CachedTokens = int(ev.Usage.CachedTokens)
	}
	r.e.lengths.learn(r.key, r.chat.MaxTokens, r.tokens)
}
