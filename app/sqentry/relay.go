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

// relayStream receives one engine stream and passes its new events on to the
// caller. It returns nil when the response is complete.
func (r *responseRelay) relayStream(ctx context.Context, plan *streamPlan) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.setStream(plan.endpoint, cancel)
	defer r.setStream("", nil)
	q := sqroute.NewQuery(r.query)
	d, ok := r.e.fleet.startDispatch(sqclock.Now(), plan.endpoint, &q, plan.cachedTokens, plan.kvImported || plan.resume, plan.resume)
	if !ok {
		return errEngineLeaving
	}
	result := sqroute.DispatchResult{}
	r.kvImported = plan.kvImported
	err := r.receive(ctx, plan, d, &result)
	if errors.Is(err, errPrefilled) {
		result.Complete, result.OutputTokens, result.CachedTokens = true, 1, int(r.usage.CachedTokens)
	}
	result.Failed = isEndpointFault(err)
	r.e.fleet.finishDispatch(sqclock.Now(), d, result)
	return err
}

func (r *responseRelay) receive(ctx context.Context, plan *streamPlan, d *dispatch, result *sqroute.DispatchResult) error {
	stream, err := r.e.endpointClient.Chat(ctx, r.chatConfig(plan, d))
	if err != nil {
		r.mayHaveStarted = r.mayHaveStarted || asError(err).Execution() != sqerror.NotRun
		return err
	}
	r.mayHaveStarted = true
	for first := true; ; first = false {
		ev, err := stream.Next()
		if err == nil && ev == nil {
			err = sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: "the stream ended before its last event", Execution: sqerror.MayHaveRun})
		}
		if err != nil {
			stream.Close()
			return err
		}
		if first {
			r.recordFirstEvent(d)
		}
		last, err := r.handleEvent(plan.attempt, ev, stream.EventBuffered())
		if err != nil {
			stream.Close()
			return err
		}
		if last {
			r.recordCompletion(ev, result)
			go stream.Drain()
			return nil
		}
	}
}

func (r *responseRelay) chatConfig(plan *streamPlan, d *dispatch) sqendpoint.ChatConfig {
	req := r.chat
	req.RequestID = plan.requestID
	guardedEndpoint := plan.endpoint
	if plan.resume {
		position := plan.attempt.ResumePosition()
		req.ResumePosition = &position
	}
	if plan.resume && !plan.kvImported {
		// A request that already runs at a draining engine may go on there, so
		// the write guard doesn't check the engine's state.
		guardedEndpoint = ""
	}
	svc := r.request.svc
	return sqendpoint.ChatConfig{
		Address: d.address(), Request: req, WriteCheck: r.e.writeGuard(r.caller, guardedEndpoint, false, 0),
		FirstTokenTimeout: r.silenceLimit(max(minFirstTokenTimeout, silenceFactor*svc.firstTokenLimit(), silenceFactor*plan.expectedFirstToken)),
		InterTokenTimeout: r.silenceLimit(max(minBetweenTimeout, silenceFactor*svc.betweenTokensLimit())),
	}
}

// silenceLimit returns how long a stream may send nothing before its engine is
// considered dead.
func (r *responseRelay) silenceLimit(limit time.Duration) time.Duration {
	left := r.request.deadline.Sub(sqclock.Now())
	return max(minSilenceLimit, min(limit, left/silenceDivisor))
}

func (r *responseRelay) recordFirstEvent(d *dispatch) {
	now := sqclock.Now()
	r.e.fleet.recordFirstToken(now, d)
	r.e.admission.prefillDone(now, r.ticket)
}

// handleEvent passes an event on to the caller unless it was delivered before.
// It reports whether the event was the last one.
func (r *responseRelay) handleEvent(attempt *sqstream.Attempt, ev *sqendpoint.Event, hasMore bool) (bool, error) {
	finish := ev.Finish
	if finish == finishPrefilled {
		finish = ""
	}
	if limit := r.chat.MaxTokens; limit > 0 && ev.Content != "" && ev.Position >= int64(limit) {
		return false, sqerror.New(sqerror.Config{
			Kind: sqerror.BadResponse, Detail: "the answer goes on beyond max_tokens", Execution: sqerror.MayHaveRun,
		})
	}
	action, err := attempt.Accept(&sqstream.Event{ID: ev.ID, Position: ev.Position, Text: ev.Content, FinishReason: finish})
	if err != nil {
		r.e.cfg.Log.Event(sqevent.EndpointBadResponse, r.currentEndpoint(), r.request.id, err.Error())
		return false, err
	}
	if ev.Usage != nil {
		r.usage.PromptTokens = max(r.usage.PromptTokens, ev.Usage.PromptTokens)
		if !r.kvImported {
			r.usage.CachedTokens = max(r.usage.CachedTokens, ev.Usage.CachedTokens)
		}
	}
	if action == sqstream.Deliver {
		if err := r.deliver(ev, finish, hasMore); err != nil {
			return false, err
		}
	}
	if ev.Finish == finishPrefilled {
		return false, errPrefilled
	}
	return attempt.Finished(), nil
}

// recordEvent records when the stream last sent an event.
func (r *responseRelay) recordEvent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEventAt = now
}

func (r *responseRelay) deliver(ev *sqendpoint.Event, finish string, hasMore bool) error {
	now := sqclock.Now()
	r.recordEvent(now)
	if ev.Content != "" {
		if r.outputTokens == 0 {
			r.firstTokenAt = now
		}
		r.outputTokens++
		r.lastTokenAt = now
	}
	var usage *sqendpoint.Usage
	if finish != "" {
		total := r.totalUsage()
		usage = &total
	}
	err := r.writer.writeToken(ev.Position, ev.Content, finish, usage, hasMore)
	if sqerror.KindOf(err) == sqerror.Overloaded {
		return err
	}
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.Canceled, Detail: "the caller left", Execution: sqerror.MayHaveRun, Cause: err})
	}
	return nil
}

func (r *responseRelay) recordCompletion(ev *sqendpoint.Event, result *sqroute.DispatchResult) {
	result.Complete = true
	result.OutputTokens = r.outputTokens
	if ev.Usage != nil {
		result.CachedTokens = int(ev.Usage.CachedTokens)
	}
	r.e.responseLengths.record(r.key, r.chat.MaxTokens, r.outputTokens)
}
