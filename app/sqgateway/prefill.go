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
	"sequoiadock/io/sqlink"
)

// releaseTimeout bounds the giving back of a handle.
const releaseTimeout = 500 * time.Millisecond

// prefill has a prompt read by a prefill engine and returns where its KV cache
// can be fetched.
func (x *request) prefill(choice sqplace.Choice) (string, error) {
	e := choice.Prefill
	x.lastPrefill = e.ID()
	now := sqclock.Now()
	ticket := x.begin(now, e, choice.PrefillUncachedTokens, choice.PrefillLatency)
	handle, reached, err := x.readAhead(e)
	if err != nil {
		x.end(ticket, false, reached)
		return "", err
	}
	x.g.mu.Lock()
	ticket.RecordFirstToken(sqclock.Now())
	x.g.mu.Unlock()
	x.end(ticket, true, true)
	return e.Address() + "/" + handle, nil
}

// readAhead makes the call for a handle; reached is false without a connection.
func (x *request) readAhead(e *sqplace.Endpoint) (handle string, reached bool, err error) {
	reply, err := x.g.pool.Do(x.ctx, x.call(e, sqattempt.SendParams{Prefill: true}))
	if err != nil {
		return "", x.broken(err).reached, err
	}
	defer reply.Close()
	x.hear(e, x.g.cfg.Wire.Answer(reply.Status(), reply.Header()))
	body, err := io.ReadAll(io.LimitReader(reply, readBytes))
	if err != nil {
		return "", true, err
	}
	if reply.Status() != http.StatusOK {
		return "", true, errDeclined(reply.Status())
	}
	handle, err = x.g.cfg.Wire.Handle(body)
	return handle, true, err
}

// afterPrefill goes on without the engine that did not read the prompt. The
// request itself has not run; true means that it is answered.
func (x *request) afterPrefill(choice sqplace.Choice, err error) bool {
	now := sqclock.Now()
	x.g.log.Event(sqevent.PrefillFailed, x.attempt.ID, choice.Prefill.ID(), now.Sub(x.begun).Milliseconds(), err.Error())
	x.direct = true
	if x.ctx.Err() != nil {
		x.finish(sqattempt.GiveUp, "the deadline passed while the prompt was read", 0)
		return true
	}
	if x.broken(err).outcome != sqattempt.Unsent && !x.takeBudget(now) {
		x.finish(x.stepWithout(now), "the prompt was not read and the retry budget is spent", refusedRetry)
		return true
	}
	return false
}

// release gives back a KV cache that nobody will fetch. It goes on after the
// request has ended.
func (x *request) release(e *sqplace.Endpoint, source string) {
	_, handle, _ := strings.Cut(source, "/")
	call := &sqlink.Call{
		Endpoint: e.ID(), Address: e.Address(), Method: http.MethodDelete, Host: e.Address(), Header: http.Header{},
		Target: x.g.cfg.Wire.ReleasePath(handle),
	}
	id := x.attempt.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reply, err := x.g.pool.Do(ctx, call)
		if err != nil {
			x.g.log.Event(sqevent.PrefillFailed, id, e.ID(), 0, "the handle was not given back: "+err.Error())
			return
		}
		reply.Close()
	}()
}

func errDeclined(status int) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.EndpointFailed, Run: sqerror.NotRun, Detail: "the endpoint answered " + http.StatusText(status),
	})
}
