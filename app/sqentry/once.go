package sqentry

import (
	"crypto/sha256"
	"net/http"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

const (
	// maxIdentity bounds the length of an identity.
	maxIdentity = 200
	// maxOutcome bounds an answer that is kept for resends, in bytes.
	maxOutcome = 256 << 10
	// lateAnswer is how long the entry waits for the answer of a call beyond the
	// caller's deadline: a late outcome is better than an unknown one.
	lateAnswer = 20 * time.Second
	// recordTime bounds the wait for a record that the answer depends on.
	recordTime = 5 * time.Second
)

// runOnce runs a call that must not be repeated. The record is asked first,
// before anything may refuse the call: a resend whose first attempt ran must
// hear of it, and "not run" must be true of the identity.
func (p *plainCall) runOnce() (grade, error) {
	identity, err := identityOf(p.r.req.Header)
	if err != nil {
		return gradeNone, err
	}
	if !p.r.e.watch.Refresh(p.r.req.Context()) {
		return gradeNone, p.r.unseen(p.r.e.stale())
	}
	p.epoch = p.r.e.watch.View().Epoch()
	ctx, cancel := p.r.context()
	defer cancel()
	call := p.call(identity)
	recording := p.r.e.recording.find(callID{call.GetTeam(), identity})
	state, err := p.r.e.calls.Begin(ctx, call)
	if err != nil {
		// It was not sent, but an earlier attempt may have been.
		return gradeNone, unknown("the record of the call could not be written in time")
	}
	p.r.note("The record of the call says " + state.GetState().String() + ".")
	switch state.GetState() {
	case sqcommand.CallState_CALL_STATE_STARTED:
		return p.dispatch(ctx, call, state.GetAttempt())
	case sqcommand.CallState_CALL_STATE_DONE:
		return p.replay(state.GetOutcome())
	case sqcommand.CallState_CALL_STATE_RUNNING:
		if recording.recorded(ctx) {
			return p.replay(recording.outcome)
		}
		return gradeNone, sqerror.New(sqerror.Config{
			Kind: sqerror.CallRunning, Execution: sqerror.MayHaveRun, RetryAfter: comeBack(sqerror.CallRunning),
		})
	case sqcommand.CallState_CALL_STATE_UNKNOWN:
		if p.r.svc.conf.GetRecognisesIdentity() {
			p.r.note("Sent again: the service recognises a repeated identity.")
			p.again = true
			return p.dispatch(ctx, call, state.GetAttempt())
		}
		return gradeNone, unknown("an earlier attempt has no known outcome")
	case sqcommand.CallState_CALL_STATE_MISMATCH:
		return gradeNone, notRun(sqerror.IdentityReused, "the identity came with another request")
	}
	return gradeNone, unknown("the record of the call is in an unknown state")
}

func unknown(detail string) *sqerror.Error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.CallUnknown, Detail: detail, Execution: sqerror.MayHaveRun, RetryAfter: time.Second,
	})
}

func identityOf(h http.Header) (string, error) {
	values := h.Values(headerIdentity)
	if len(values) != 1 || len(values[0]) == 0 || len(values[0]) > maxIdentity {
		return "", notRun(sqerror.NoIdentity, "no identity")
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c >= 0x7f {
			return "", notRun(sqerror.NoIdentity, "the identity has other than visible ASCII characters")
		}
	}
	return values[0], nil
}

// call returns the record of the call. The digest covers all that the service
// will see of it.
func (p *plainCall) call(identity string) *sqcommand.Call {
	req := p.r.req
	h := sha256.New()
	for _, part := range []string{req.Method, p.path, req.Header.Get("Content-Type")} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(p.body)
	choice := p.r.e.fleet.estimate(sqclock.Now(), p.query)
	return &sqcommand.Call{
		Team: p.r.team(), Identity: identity, BodySha256: h.Sum(nil), Service: p.r.svc.conf.GetName(),
		Endpoint: choice.Endpoint(), Entry: p.r.e.cfg.Name, Run: p.r.e.run,
	}
}

// replay gives the recorded outcome to a resend.
func (p *plainCall) replay(o *sqcommand.Outcome) (grade, error) {
	if o == nil {
		// An operator settled that the call ran; its answer is not known.
		return gradeNone, unknown("an operator found that the call ran; its answer is not known")
	}
	c := p.r.c
	if o.GetContentType() != "" {
		c.Response().Header().Set("Content-Type", o.GetContentType())
	}
	c.Response().WriteHeader(int(o.GetStatus()))
	_, _ = c.Response().Write(o.GetBody())
	return gradeGood, nil
}
