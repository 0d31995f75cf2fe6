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
	// maxIdentityLength bounds an idempotency key, in bytes.
	maxIdentityLength = 200
	// maxOutcomeBytes bounds a response that is recorded for resends.
	maxOutcomeBytes = 256 << 10
	// lateResponseWait is how long after the caller's deadline the entry still
	// waits for the response of a call: a late outcome is better than an
	// unknown one.
	lateResponseWait = 20 * time.Second
	// recordTimeout bounds the wait for a commit that the response to the
	// caller depends on.
	recordTimeout = 5 * time.Second
)

// runOnce runs a call that must not be repeated. It begins the call's record
// before any check that can refuse the call: a resend must learn that an
// earlier attempt ran, and "not run" must hold for the identity and not only
// for this attempt.
func (p *plainCall) runOnce() (sloResult, error) {
	identity, err := idempotencyKey(p.r.req.Header)
	if err != nil {
		return sloIgnored, err
	}
	if !p.r.e.watch.Refresh(p.r.req.Context()) {
		return sloIgnored, p.r.markMayHaveRun(p.r.e.staleError())
	}
	p.freshnessEpoch = p.r.e.watch.View().Epoch()
	ctx, cancel := p.r.context()
	defer cancel()
	call := p.newCall(identity)
	pending := p.r.e.pendingOutcomes.find(callID{call.GetTeam(), identity})
	state, err := p.r.e.onceCalls.Begin(ctx, call)
	if err != nil {
		// This attempt was not sent, but an earlier one may have been.
		return sloIgnored, unknownOutcome("the record of the call could not be written in time")
	}
	p.r.note("The record of the call says " + state.GetState().String() + ".")
	switch state.GetState() {
	case sqcommand.CallState_CALL_STATE_STARTED:
		return p.dispatchOnce(ctx, call, state.GetAttempt())
	case sqcommand.CallState_CALL_STATE_DONE:
		return p.replay(state.GetOutcome())
	case sqcommand.CallState_CALL_STATE_RUNNING:
		if pending.awaitRecorded(ctx) {
			return p.replay(pending.outcome)
		}
		return sloIgnored, sqerror.New(sqerror.Config{
			Kind: sqerror.CallRunning, Execution: sqerror.MayHaveRun, RetryAfter: retryAfter(sqerror.CallRunning),
		})
	case sqcommand.CallState_CALL_STATE_UNKNOWN:
		if p.r.svc.conf.GetRecognisesIdentity() {
			p.r.note("Sent again: the service recognises a repeated identity.")
			p.resent = true
			return p.dispatchOnce(ctx, call, state.GetAttempt())
		}
		return sloIgnored, unknownOutcome("an earlier attempt has no known outcome")
	case sqcommand.CallState_CALL_STATE_MISMATCH:
		return sloIgnored, notRunError(sqerror.IdentityReused, "the identity came with another request")
	}
	return sloIgnored, unknownOutcome("the record of the call is in an unknown state")
}

func unknownOutcome(detail string) *sqerror.Error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.CallUnknown, Detail: detail, Execution: sqerror.MayHaveRun, RetryAfter: time.Second,
	})
}

func idempotencyKey(h http.Header) (string, error) {
	values := h.Values(headerIdentity)
	if len(values) != 1 || len(values[0]) == 0 || len(values[0]) > maxIdentityLength {
		return "", notRunError(sqerror.NoIdentity, "no identity")
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c >= 0x7f {
			return "", notRunError(sqerror.NoIdentity, "the identity has other than visible ASCII characters")
		}
	}
	return values[0], nil
}

// newCall returns the record of the call. Its digest covers everything that the
// service will see of the request.
func (p *plainCall) newCall(identity string) *sqcommand.Call {
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
		Endpoint: choice.Endpoint(), Entry: p.r.e.cfg.Name, Run: p.r.e.runID,
	}
}

// replay sends the recorded outcome in response to a resend.
func (p *plainCall) replay(recorded *sqcommand.Outcome) (sloResult, error) {
	if recorded == nil {
		// An operator settled that the call ran; the response itself is
		// unknown.
		return sloIgnored, unknownOutcome("an operator found that the call ran; its answer is not known")
	}
	c := p.r.c
	if recorded.GetContentType() != "" {
		c.Response().Header().Set("Content-Type", recorded.GetContentType())
	}
	c.Response().WriteHeader(int(recorded.GetStatus()))
	_, _ = c.Response().Write(recorded.GetBody())
	return sloGood, nil
}
