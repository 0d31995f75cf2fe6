package sqentry

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqpoint"
)

// maxOnceAttempts bounds the endpoints that one call is sent to.
const maxOnceAttempts = 4

// outcome is the result of an attempt to run a call.
type outcome struct {
	response *sqendpoint.PlainResponse
	err      error
	// notes are the request's explanations up to the outcome.
	notes []string
}

// dispatchOnce sends a call whose record says that it has begun, and records
// the outcome. It runs in the background after the caller disconnects or its
// deadline passes, since only this attempt can learn the outcome.
func (p *plainCall) dispatchOnce(ctx context.Context, call *sqcommand.Call, attempt uint32) (sloResult, error) {
	outcomes := make(chan outcome, 1)
	respond := func(o outcome) {
		select {
		case outcomes <- o:
		default:
		}
	}
	lateCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(p.r.deadline.Sub(sqclock.Now())+lateResponseWait))
	p.r.e.active.requests.Add(1)
	// The goroutine works on copies because the caller's request may end first.
	backgroundCall := *p
	requestCopy := *p.r
	requestCopy.notes = append([]string(nil), p.r.notes...)
	// The response counts against the memory limit until its outcome is
	// recorded.
	requestCopy.memory = p.r.e.active.responseMemory.NewReservation()
	backgroundCall.r = &requestCopy
	backgroundCall.respond = respond
	go func() {
		defer p.r.e.active.requests.Add(-1)
		defer cancel()
		defer requestCopy.memory.Release()
		defer func() {
			if v := recover(); v != nil {
				p.r.e.cfg.Log.Event(sqevent.HandlerPanicked, backgroundCall.r.id, fmt.Sprint(v))
				respond(outcome{err: unknownOutcome("the handler panicked")})
			}
		}()
		o := backgroundCall.runAttempts(ctx, lateCtx, call, attempt)
		o.notes = backgroundCall.r.explanations()
		respond(o)
	}()
	select {
	case o := <-outcomes:
		p.r.notes = o.notes
		if o.err != nil {
			return sloIgnored, o.err
		}
		return p.writeResponse(o.response)
	case <-ctx.Done():
		return sloIgnored, sqerror.New(sqerror.Config{
			Kind: sqerror.CallRunning, Detail: "the call still runs", Execution: sqerror.MayHaveRun, RetryAfter: time.Second,
		})
	}
}

// runAttempts sends the call to the endpoint named in its record, and to others
// while no attempt has run. ctx bounds the wait for admission, lateCtx the wait
// for the response.
func (p *plainCall) runAttempts(ctx, lateCtx context.Context, call *sqcommand.Call, attempt uint32) outcome {
	ticket, err := p.admitOnce(ctx)
	if err != nil {
		return p.recordAttempt(call, attempt, nil, err)
	}
	defer func() { p.r.e.admission.finish(sqclock.Now(), ticket, plainTokens, 0) }()
	for attempts := 1; ; attempts++ {
		response, err := p.sendTo(lateCtx, call.GetEndpoint())
		if err != nil {
			p.r.note("The call to " + call.GetEndpoint() + " failed: " + asError(err).Detail() + ".")
			err = p.sendError(lateCtx, asError(err), asError(err).Execution() != sqerror.NotRun)
		}
		o := p.recordAttempt(call, attempt, response, err)
		if attempts >= maxOnceAttempts || !p.mayTryOtherEndpoint(lateCtx, o) {
			return o
		}
		var began bool
		if call, attempt, began = p.beginElsewhere(lateCtx, call, &o); !began {
			return o
		}
	}
}

func (p *plainCall) admitOnce(ctx context.Context) (*admissionTicket, error) {
	if err := p.r.e.refuseIfStopping(); err != nil {
		return nil, err
	}
	return p.admit(ctx)
}

// recordAttempt records the outcome of an attempt.
func (p *plainCall) recordAttempt(call *sqcommand.Call, attempt uint32, response *sqendpoint.PlainResponse, err error) outcome {
	f := &sqcommand.FinishCall{Team: call.GetTeam(), Identity: call.GetIdentity(), Attempt: attempt}
	if err == nil && len(response.Body()) > maxOutcomeBytes {
		err = sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: "the answer is too large to be kept", Execution: sqerror.MayHaveRun})
	}
	switch {
	case err == nil:
		f.State = sqcommand.CallState_CALL_STATE_DONE
		f.Outcome = &sqcommand.Outcome{
			Status: uint32(response.Status()), ContentType: response.Header().Get("Content-Type"), Body: response.Body(),
		}
		p.r.e.usage.add(p.r.team(), p.r.svc.conf.GetName(), "", 0, 0)
		if !p.resent {
			return p.respondThenRecord(f, response)
		}
	case asError(err).Execution() == sqerror.NotRun && p.resent:
		// This attempt did not run, but an earlier one may have run.
		return outcome{err: unknownOutcome("an earlier attempt has no known outcome")}
	case asError(err).Execution() == sqerror.NotRun:
		f.State = sqcommand.CallState_CALL_STATE_NOT_RUN
	default:
		f.State = sqcommand.CallState_CALL_STATE_UNKNOWN
	}
	return p.recordThenRespond(f, response, err)
}

// mayTryOtherEndpoint reports whether the attempt provably did not run and
// another endpoint may be tried.
func (p *plainCall) mayTryOtherEndpoint(lateCtx context.Context, o outcome) bool {
	if o.err == nil || lateCtx.Err() != nil || p.resent {
		return false
	}
	e := asError(o.err)
	if e.Execution() != sqerror.NotRun {
		return false
	}
	switch e.Kind() {
	case sqerror.NoEndpoint:
		return true
	case sqerror.EndpointFailed:
		return p.r.e.retries.mayRetry(&p.lost, e)
	}
	return false
}

// beginElsewhere begins the call again with another endpoint in its
// record. The record must name the endpoint that the call is sent to, because
// an operator who settles a call of unknown outcome looks there.
func (p *plainCall) beginElsewhere(lateCtx context.Context, call *sqcommand.Call, o *outcome) (*sqcommand.Call, uint32, bool) {
	p.query.Excluded = append(p.query.Excluded, call.GetEndpoint())
	choice, why := p.r.e.fleet.route(sqclock.Now(), p.query)
	if !choice.OK() {
		return nil, 0, false
	}
	p.r.note(why...)
	next := proto.CloneOf(call)
	next.Endpoint = choice.Endpoint()
	state, err := p.r.e.onceCalls.Begin(lateCtx, next)
	if err != nil || state.GetState() != sqcommand.CallState_CALL_STATE_STARTED {
		// A resend may have begun an attempt in between, whose outcome counts.
		o.err = sqerror.New(sqerror.Config{
			Kind: sqerror.CallRunning, Detail: "another attempt began", Execution: sqerror.MayHaveRun, RetryAfter: retryAfter(sqerror.CallRunning),
		})
		return nil, 0, false
	}
	p.r.e.metrics.retries.Inc()
	return next, state.GetAttempt(), true
}

// respondThenRecord responds to the caller and commits the outcome
// concurrently. Responding first is safe: the call ran, and its record lets no
// other attempt begin, so the outcome can't change. The commit is retried until
// it succeeds or the process ends, and a planned stop waits for it. If the
// process is killed before, resends get "may have run".
func (p *plainCall) respondThenRecord(f *sqcommand.FinishCall, response *sqendpoint.PlainResponse) outcome {
	e := p.r.e
	id := callID{f.GetTeam(), f.GetIdentity()}
	pending := e.pendingOutcomes.add(id, f.GetOutcome())
	o := outcome{response: response, notes: p.r.explanations()}
	p.respond(o)
	sqpoint.StopIfRequested(sqpoint.OutcomeReturned)
	err := e.onceCalls.Finish(e.processCtx, f)
	e.pendingOutcomes.resolve(id, pending, err)
	if err != nil {
		e.cfg.Log.Event(sqevent.CallRecordFailed, p.r.id, asError(err).Error())
	}
	return o
}

// recordThenRespond commits the outcome of an attempt before the caller gets
// it. A caller who gets "not run" may resend the call at once. A resent call
// whose earlier outcome is unknown may be sent again until its outcome is
// recorded.
func (p *plainCall) recordThenRespond(f *sqcommand.FinishCall, response *sqendpoint.PlainResponse, sendErr error) outcome {
	ctx, cancel := context.WithTimeout(p.r.e.processCtx, recordTimeout)
	defer cancel()
	if err := p.r.e.onceCalls.Finish(ctx, f); err != nil {
		p.r.e.cfg.Log.Event(sqevent.CallRecordFailed, p.r.id, asError(err).Error())
		if f.GetState() != sqcommand.CallState_CALL_STATE_NOT_RUN {
			return outcome{err: unknownOutcome("the outcome of the call is not recorded yet")}
		}
	}
	if sendErr != nil && f.GetState() == sqcommand.CallState_CALL_STATE_UNKNOWN {
		p.r.note("The outcome is unknown: " + asError(sendErr).Detail() + ".")
		return outcome{err: unknownOutcome(asError(sendErr).Detail())}
	}
	return outcome{response: response, err: sendErr}
}
