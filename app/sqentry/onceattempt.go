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

// maxOnceTries bounds the endpoints that one call is offered to.
const maxOnceTries = 4

// outcome is what a dispatch came to.
type outcome struct {
	answer *sqendpoint.PlainResponse
	err    error
	// lines are those of the decision until then.
	lines []string
}

// dispatch sends a call that has begun and records how it ended. It goes on when
// the caller leaves or its deadline passes, since only it can learn the outcome.
func (p *plainCall) dispatch(ctx context.Context, call *sqcommand.Call, attempt uint32) (grade, error) {
	ends := make(chan outcome, 1)
	tell := func(o outcome) {
		select {
		case ends <- o:
		default:
		}
	}
	late, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(p.r.deadline.Sub(sqclock.Now())+lateAnswer))
	p.r.e.running.count.Add(1)
	// The goroutine has a request of its own: the caller's may be over before.
	background := *p
	copied := *p.r
	copied.lines = append([]string(nil), p.r.lines...)
	// The answer stays counted until its record is in.
	copied.answer = &holding{memory: &p.r.e.running.answering}
	background.r = &copied
	background.tell = tell
	go func() {
		defer p.r.e.running.count.Add(-1)
		defer cancel()
		defer copied.answer.release()
		defer func() {
			if v := recover(); v != nil {
				p.r.e.cfg.Log.Event(sqevent.HandlerPanicked, background.r.id, fmt.Sprint(v))
				tell(outcome{err: unknown("the handler panicked")})
			}
		}()
		o := background.dispatchLate(ctx, late, call, attempt)
		o.lines = background.r.sentences()
		tell(o)
	}()
	select {
	case o := <-ends:
		p.r.lines = o.lines
		if o.err != nil {
			return gradeNone, o.err
		}
		return p.give(o.answer)
	case <-ctx.Done():
		return gradeNone, sqerror.New(sqerror.Config{
			Kind: sqerror.CallRunning, Detail: "the call still runs", Execution: sqerror.MayHaveRun, RetryAfter: time.Second,
		})
	}
}

// dispatchLate sends the call to the endpoint that its record names. The
// caller's context bounds the wait for its turn, the late one the answer.
func (p *plainCall) dispatchLate(ctx, late context.Context, call *sqcommand.Call, attempt uint32) outcome {
	ad, err := p.turn(ctx)
	if err != nil {
		return p.finish(call, attempt, nil, err)
	}
	defer func() { p.r.e.admission.finish(sqclock.Now(), ad, plainTokens, 0) }()
	for tries := 1; ; tries++ {
		answer, err := p.sendTo(late, call.GetEndpoint())
		if err != nil {
			p.r.note("The call to " + call.GetEndpoint() + " failed: " + asError(err).Detail() + ".")
			err = p.failure(late, asError(err), asError(err).Execution() != sqerror.NotRun)
		}
		o := p.finish(call, attempt, answer, err)
		if tries >= maxOnceTries || !p.mayGoElsewhere(late, o) {
			return o
		}
		var began bool
		if call, attempt, began = p.beginElsewhere(late, call, &o); !began {
			return o
		}
	}
}

func (p *plainCall) turn(ctx context.Context) (*admitted, error) {
	if err := p.r.e.refuseLeaving(); err != nil {
		return nil, err
	}
	return p.admit(ctx)
}

// finish records how an attempt ended.
func (p *plainCall) finish(call *sqcommand.Call, attempt uint32, answer *sqendpoint.PlainResponse, err error) outcome {
	f := &sqcommand.FinishCall{Team: call.GetTeam(), Identity: call.GetIdentity(), Attempt: attempt}
	if err == nil && len(answer.Body()) > maxOutcome {
		err = sqerror.New(sqerror.Config{Kind: sqerror.BadAnswer, Detail: "the answer is too large to be kept", Execution: sqerror.MayHaveRun})
	}
	switch {
	case err == nil:
		f.State = sqcommand.CallState_CALL_STATE_DONE
		f.Outcome = &sqcommand.Outcome{
			Status: uint32(answer.Status()), ContentType: answer.Header().Get("Content-Type"), Body: answer.Body(),
		}
		p.r.e.usage.add(p.r.team(), p.r.svc.conf.GetName(), "", 0, 0)
		if !p.again {
			return p.tellAndRecord(f, answer)
		}
	case asError(err).Execution() == sqerror.NotRun && p.again:
		// This attempt did not run, but an earlier one may have.
		return outcome{err: unknown("an earlier attempt has no known outcome")}
	case asError(err).Execution() == sqerror.NotRun:
		f.State = sqcommand.CallState_CALL_STATE_NOT_RUN
	default:
		f.State = sqcommand.CallState_CALL_STATE_UNKNOWN
	}
	return p.record(f, answer, err)
}

// mayGoElsewhere reports whether an attempt that provably did not run may be
// followed by one at another endpoint.
func (p *plainCall) mayGoElsewhere(late context.Context, o outcome) bool {
	if o.err == nil || late.Err() != nil || p.again {
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
		return p.r.e.retries.mayRetry(&p.losses, e)
	}
	return false
}

// beginElsewhere begins the call anew for another endpoint. The record has to
// name the endpoint that a call was sent to: an operator who settles a call of
// unknown outcome looks there.
func (p *plainCall) beginElsewhere(late context.Context, call *sqcommand.Call, o *outcome) (*sqcommand.Call, uint32, bool) {
	p.query.Excluded = append(p.query.Excluded, call.GetEndpoint())
	choice, why := p.r.e.fleet.route(sqclock.Now(), p.query)
	if !choice.OK() {
		return nil, 0, false
	}
	p.r.note(why...)
	next := proto.CloneOf(call)
	next.Endpoint = choice.Endpoint()
	state, err := p.r.e.calls.Begin(late, next)
	if err != nil || state.GetState() != sqcommand.CallState_CALL_STATE_STARTED {
		// A resend may have begun in between; it knows more.
		o.err = sqerror.New(sqerror.Config{
			Kind: sqerror.CallRunning, Detail: "another attempt began", Execution: sqerror.MayHaveRun, RetryAfter: comeBack(sqerror.CallRunning),
		})
		return nil, 0, false
	}
	p.r.e.gauges.retries.Inc()
	return next, state.GetAttempt(), true
}

// tellAndRecord gives an answer to the caller and commits it meanwhile: what the
// caller hears can change no more, for the call ran and its record lets no other
// attempt begin. The commit is tried until it is in or the process ends, and a
// planned stop waits for it. If the process is killed before, resends hear that
// the call may have run.
func (p *plainCall) tellAndRecord(f *sqcommand.FinishCall, answer *sqendpoint.PlainResponse) outcome {
	e := p.r.e
	id := callID{f.GetTeam(), f.GetIdentity()}
	rec := e.recording.begin(id, f.GetOutcome())
	o := outcome{answer: answer, lines: p.r.sentences()}
	p.tell(o)
	sqpoint.StopIfRequested(sqpoint.OutcomeReturned)
	err := e.calls.Finish(e.life, f)
	e.recording.end(id, rec, err)
	if err != nil {
		e.cfg.Log.Event(sqevent.CallRecordFailed, p.r.id, asError(err).Error())
	}
	return o
}

// record commits the end of an attempt before the caller hears of it. A caller
// who hears "not run" may send the call again at once, and a call of unknown
// outcome that was sent again may be sent once more until its end is recorded.
func (p *plainCall) record(f *sqcommand.FinishCall, answer *sqendpoint.PlainResponse, sendErr error) outcome {
	ctx, cancel := context.WithTimeout(p.r.e.life, recordTime)
	defer cancel()
	if err := p.r.e.calls.Finish(ctx, f); err != nil {
		p.r.e.cfg.Log.Event(sqevent.CallRecordFailed, p.r.id, asError(err).Error())
		if f.GetState() != sqcommand.CallState_CALL_STATE_NOT_RUN {
			return outcome{err: unknown("the outcome of the call is not recorded yet")}
		}
	}
	if sendErr != nil && f.GetState() == sqcommand.CallState_CALL_STATE_UNKNOWN {
		p.r.note("The outcome is unknown: " + asError(sendErr).Detail() + ".")
		return outcome{err: unknown(asError(sendErr).Detail())}
	}
	return outcome{answer: answer, err: sendErr}
}
