package sqgateway

import (
	"net/http"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

// dispatch sends the request to one endpoint after another until the caller has a
// final response.
func (x *request) dispatch() {
	// No endpoints are ordered for requests that are not sent, so this comes first.
	if x.refuseQuarantined(x.receivedAt) || !x.chargeQuota() {
		return
	}
	x.g.mu.Lock()
	x.g.retryBudget.RecordRequest(x.receivedAt, x.service)
	x.g.demandFor(x.service).requests++
	x.g.mu.Unlock()
	for {
		now := sqclock.Now()
		if v := x.g.view.Load(); !v.fresh(now) {
			x.finishUnanswered(x.stepWithoutEndpoint(now), v.staleReason(), v.retryAfter(now))
			return
		}
		if x.refuseQuarantined(now) {
			return
		}
		choice := x.choose(now)
		if choice.Wait > 0 {
			if !x.awaitRoom(now, choice.Wait) {
				x.finishUnanswered(x.stepWithoutEndpoint(now), choice.Reason, choice.RetryAfter)
				return
			}
			continue
		}
		if choice.Endpoint == nil {
			if choice.StaleList {
				x.g.metrics.staleListRefusals.Inc()
				choice.RetryAfter = x.g.view.Load().retryAfter(now)
			}
			x.finishUnanswered(x.stepWithoutEndpoint(now), choice.Reason, choice.RetryAfter)
			return
		}
		if x.quotaExpired(now) {
			if !x.renewQuota() {
				return
			}
			// The room that was chosen may be taken meanwhile.
			continue
		}
		if x.sendOnce(choice) {
			return
		}
	}
}

// choose selects the endpoints for the request. It adds the uncached prompt tokens,
// or the refusal, to the demand of the service.
func (x *request) choose(now time.Time) sqplace.Choice {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.updateConnections()
	choice := x.g.placer.Choose(now, x.query(now))
	if choice.Wait > 0 {
		return choice
	}
	d := x.g.demandFor(x.service)
	if choice.Endpoint == nil {
		d.refused++
		return choice
	}
	if choice.PrefillEndpoint != nil {
		choice.UncachedTokens = 0
	}
	d.uncachedTokens += uint64(choice.UncachedTokens + choice.PrefillUncachedTokens)
	return choice
}

// chooseDecode chooses the decode engine after a remote prefill, of the version that
// prefilled the prompt. The choice made before the prefill may be outdated, since the list
// of endpoints may have changed.
func (x *request) chooseDecode(now time.Time, prefiller *sqplace.Endpoint) sqplace.Choice {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.updateConnections()
	q := x.query(now)
	q.SameVersion, q.Version = true, prefiller.Version()
	return x.g.placer.ChooseDecode(now, q)
}

// startDispatch records the request as in flight at the endpoint.
func (x *request) startDispatch(now time.Time, e *sqplace.Endpoint, uncachedTokens int,
	expectedLatency time.Duration) *sqplace.Dispatch {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.placer.StartDispatch(now, e, x.query(now), uncachedTokens, expectedLatency)
}

func (x *request) query(now time.Time) *sqplace.Query {
	q := &sqplace.Query{
		Service: x.service, Prompt: x.attempt.Prompt, Urgent: x.urgent, TimeLeft: x.firstEventTimeLeft(now),
		Tried: x.triedEndpoints, NoRemotePrefill: x.noRemotePrefill || x.stream != nil,
		BodyBytes: len(x.body), Waited: x.waitedForRoom,
	}
	x.countConnections(q)
	if x.origin != nil {
		q.SameVersion, q.Version = true, x.origin.Version
	}
	return q
}

// firstEventTimeLeft returns the time within which the first event must arrive. It
// ends at the deadline, or earlier if callers of the route disconnect before.
func (x *request) firstEventTimeLeft(now time.Time) time.Duration {
	timeLeft := x.timeLeft(now)
	if abandonAfter := x.route.AbandonAfter(); abandonAfter > 0 && x.stream == nil {
		timeLeft = min(timeLeft, x.receivedAt.Add(abandonAfter).Sub(now))
	}
	return timeLeft
}

// stepWithoutEndpoint returns the next step if no endpoint can take the request.
func (x *request) stepWithoutEndpoint(now time.Time) sqattempt.Step {
	outcome := sqattempt.Declined
	if x.sends == 0 {
		outcome = sqattempt.Unsent
	}
	return sqattempt.Next(sqattempt.State{Outcome: outcome, MayHaveRun: x.mayHaveRun, Sends: x.sends,
		TimeLeft: x.timeLeft(now)})
}

// sendResult is the result of one send to an endpoint.
type sendResult struct {
	outcome sqattempt.Outcome
	reason  string
	// response is set if the endpoint responded with an error of its own.
	response *bufferedResponse
	// reached is false if no connection to the endpoint could be made.
	reached bool
	// connectionLost is set if the endpoint ended the connection before its response was
	// complete.
	connectionLost bool
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// framing is how the endpoint marked the end of the body.
	framing sqlink.Framing
}

// sendOnce sends the request to one endpoint, after a remote prefill if the choice
// has one. It returns true if the caller has a final response.
func (x *request) sendOnce(choice sqplace.Choice) bool {
	x.expectedLatency = choice.ExpectedLatency
	if choice.PrefillEndpoint == nil {
		return x.sendTo(choice.Endpoint, choice, "")
	}
	cacheSource, err := x.prefill(choice)
	if err != nil {
		return x.handlePrefillFailure(choice, err)
	}
	decode, ok := x.awaitDecode(choice, cacheSource)
	if !ok {
		return true
	}
	if decode.Endpoint == nil {
		x.releaseHandle(choice.PrefillEndpoint, cacheSource)
		if x.origin == nil && !x.noRemotePrefill {
			// Engines of other versions may serve the request from the beginning.
			x.noRemotePrefill = true
			return false
		}
		x.finishUnanswered(x.stepWithoutEndpoint(sqclock.Now()), decode.Reason, decode.RetryAfter)
		return true
	}
	return x.sendTo(decode.Endpoint, choice, cacheSource)
}

// sendTo sends the request to an endpoint, which fetches the KV cache from
// cacheSource if that is not "". It returns true if the caller has a final response.
func (x *request) sendTo(e *sqplace.Endpoint, choice sqplace.Choice, cacheSource string) bool {
	sentAt := sqclock.Now()
	expectedLatency := choice.ExpectedLatency
	if cacheSource != "" {
		// The send excludes the prefill, so its latency must not correct the
		// estimates; 0 makes the placer ignore it.
		expectedLatency = 0
	}
	x.sendFirstEventAt = time.Time{}
	dispatch := x.startDispatch(sentAt, e, choice.UncachedTokens, expectedLatency)
	res, answered := x.exchange(e, dispatch, cacheSource)
	if answered {
		return true
	}
	x.finishDispatch(dispatch, false, res.reached)
	if cacheSource != "" && (res.outcome == sqattempt.Declined || res.outcome == sqattempt.Unsent) {
		x.releaseHandle(choice.PrefillEndpoint, cacheSource)
	}
	return x.handleFailedSend(sentAt, e, res)
}

// finishDispatch records the end of a send. A send that the caller abandoned says
// nothing about the endpoint.
func (x *request) finishDispatch(dispatch *sqplace.Dispatch, ok, reached bool) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := sqclock.Now()
	x.g.demandFor(x.service).decodeTime += dispatch.DecodeTime(now)
	if x.callerDisconnected() {
		dispatch.Abandon()
		return
	}
	dispatch.Finish(now, ok, reached)
}

// handleFailedSend decides on the next step after a send without a usable
// response. It returns true if the caller has a final response.
func (x *request) handleFailedSend(sentAt time.Time, e *sqplace.Endpoint, res sendResult) bool {
	now := sqclock.Now()
	if res.outcome == sqattempt.Broken || res.outcome == sqattempt.Failed {
		x.mayHaveRun = true
		if x.ctx.Err() == nil {
			// A request that was canceled had most likely not started to run.
			x.countForBilling()
		}
	}
	if res.outcome != sqattempt.Unsent {
		x.sends++
	}
	x.triedEndpoints = append(x.triedEndpoints, e.ID())
	mayHaveCrashed := res.connectionLost && x.mayHaveCrashed(now)
	if mayHaveCrashed {
		x.recordLostConnection(now, e)
	}
	state := sqattempt.State{
		Outcome: res.outcome, Retryable: x.route.Retryable(), MayHaveRun: x.mayHaveRun, Sends: x.sends,
		MaxSends: x.route.MaxSends(), TimeLeft: x.timeLeft(now), HasBudget: true,
		HasAlternative: !mayHaveCrashed || x.mayResendAfterCrash(),
	}
	step := sqattempt.Next(state)
	if step == sqattempt.Resend && res.outcome != sqattempt.Unsent && !x.takeRetry(now) {
		state.HasBudget = false
		step = sqattempt.Next(state)
	}
	if step == sqattempt.Resend && x.ctx.Err() != nil {
		step = sqattempt.GiveUp
	}
	x.g.log.Event(sqevent.SendFailed, x.attempt.ID, e.ID(), res.outcome.String(), step.String(),
		now.Sub(sentAt).Milliseconds(), res.reason, !x.sendFirstEventAt.IsZero(), x.attempt.Prompt.SharedParts(), x.content, e.Version())
	if step == sqattempt.Resend {
		x.g.metrics.resends.Inc()
		if res.outcome == sqattempt.Broken || res.outcome == sqattempt.Failed {
			x.chargeRetry()
		}
		return false
	}
	if step == sqattempt.PassOn && x.stream == nil {
		x.writeResponse(res.response)
		return true
	}
	x.finishUnanswered(step, res.reason, x.retryAfter(now))
	return true
}

// takeRetry takes one retry from the retry budget and reports whether there was one.
func (x *request) takeRetry(now time.Time) bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.retryBudget.AllowRetry(now, x.service)
}

// finishUnanswered writes the final response to a request that no endpoint
// answered.
func (x *request) finishUnanswered(step sqattempt.Step, reason string, retryAfter time.Duration) {
	switch {
	case step != sqattempt.Refuse && x.g.stop.grace.Err() != nil:
		x.fail(http.StatusBadGateway, "the gateway stops")
	case step != sqattempt.Refuse && x.ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "the deadline passed")
	case step != sqattempt.Refuse:
		x.fail(http.StatusBadGateway, reason)
	case x.callerDisconnected():
		x.fail(http.StatusServiceUnavailable, reason)
	default:
		x.refuse(http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// countForBilling counts the request in the current billing window, once per
// request.
func (x *request) countForBilling() {
	if x.billed || x.team == "" {
		return
	}
	x.billed = true
	now := sqclock.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.billingCounter.Add(x.g.view.Load().trueTime(now), x.team)
}
