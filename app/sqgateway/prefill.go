package sqgateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqlink"
)

// releaseTimeout is the timeout of a call that releases a KV cache handle.
const releaseTimeout = 500 * time.Millisecond

// prefill sends the prompt to a prefill engine and returns the address and handle
// from which a decode engine can fetch the KV cache, as "ip:port/handle".
func (x *request) prefill(choice sqplace.Choice) (string, error) {
	e := choice.PrefillEndpoint
	x.lastPrefillEndpoint = e.ID()
	now := sqclock.Now()
	dispatch := x.startDispatch(now, e, choice.PrefillUncachedTokens, choice.PrefillLatency)
	handle, reached, err := x.requestPrefill(e)
	if err != nil {
		x.finishDispatch(dispatch, false, reached)
		return "", err
	}
	x.g.mu.Lock()
	dispatch.RecordFirstToken(sqclock.Now())
	x.g.mu.Unlock()
	x.finishDispatch(dispatch, true, true)
	return e.Address() + "/" + handle, nil
}

// requestPrefill sends the prompt to an engine and returns the handle of the KV
// cache. Reached is false if no connection to the engine could be made.
func (x *request) requestPrefill(e *sqplace.Endpoint) (handle string, reached bool, err error) {
	sentAt := sqclock.Now()
	reply, err := x.g.pool.Do(x.ctx, x.newCall(e, sqattempt.SendParams{Prefill: true}))
	x.recordQuotaSent(err)
	if err != nil {
		return "", x.connectionFailure(err).reached, err
	}
	defer reply.Close()
	x.g.recordConnection(x.service, reply)
	x.g.recordReports(sentAt, e, reply, x.g.cfg.Wire.ParseResponse(reply.Status(), reply.Header()))
	body, err := io.ReadAll(io.LimitReader(reply, maxReadBytes+1))
	if err != nil {
		return "", true, err
	}
	if len(body) > maxReadBytes {
		return "", true, sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: "the response to the prefill is too long"})
	}
	if reply.Status() != http.StatusOK {
		return "", true, prefillError(reply.Status())
	}
	handle, err = x.g.cfg.Wire.ParsePrefillHandle(body)
	return handle, true, err
}

// handlePrefillFailure disables remote prefill for the request after a failed
// prefill. The request itself has not run. It returns true if the caller got a
// final response, and false if the request is to be sent to a decode engine.
func (x *request) handlePrefillFailure(choice sqplace.Choice, err error) bool {
	now := sqclock.Now()
	x.g.log.Event(sqevent.PrefillFailed, x.attempt.ID, choice.PrefillEndpoint.ID(), now.Sub(x.receivedAt).Milliseconds(),
		err.Error())
	x.noRemotePrefill = true
	mayHaveCrashed := x.ctx.Err() == nil && sqendpoint.ConnectionLost(err)
	if mayHaveCrashed {
		x.recordLostConnection(now, choice.PrefillEndpoint)
	}
	if x.ctx.Err() != nil {
		x.finishUnanswered(sqattempt.GiveUp, "the deadline passed while the prompt was read", 0)
		return true
	}
	if mayHaveCrashed && !x.mayResendAfterCrash() {
		x.finishUnanswered(sqattempt.GiveUp, "the engine crashed while it read the prompt, as others did before", 0)
		return true
	}
	if x.connectionFailure(err).outcome != sqattempt.Unsent && !x.takeRetry(now) {
		x.finishUnanswered(x.stepWithoutEndpoint(now), "the prompt was not read and the retry budget is spent",
			defaultRetryAfter)
		return true
	}
	return false
}

// releaseHandle releases a KV cache that no engine will fetch. The call runs in
// the background and may outlast the request.
func (x *request) releaseHandle(e *sqplace.Endpoint, cacheSource string) {
	_, handle, _ := strings.Cut(cacheSource, "/")
	call := &sqlink.Call{
		Endpoint: e.ID(), Address: e.Address(), Method: http.MethodDelete, Host: e.Address(), Header: http.Header{},
		Target:  x.g.cfg.Wire.ReleasePath(handle),
		Allowed: func() bool { return x.g.admitRelease(e.ID()) },
	}
	id := x.attempt.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		sentAt := sqclock.Now()
		reply, err := x.g.pool.Do(ctx, call)
		if err != nil {
			x.g.log.Event(sqevent.PrefillFailed, id, e.ID(), 0, "the handle was not given back: "+err.Error())
			return
		}
		x.g.recordReports(sentAt, e, reply, x.g.cfg.Wire.ParseResponse(reply.Status(), reply.Header()))
		reply.Close()
	}()
}

// prefillError returns the error for a response of a prefill engine with a
// status other than 200.
func prefillError(status int) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.EndpointFailed, Execution: sqerror.NotRun, Detail: "the endpoint answered " + http.StatusText(status),
	})
}
