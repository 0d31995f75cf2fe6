package sqgateway

import (
	"net/http"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
)

// reasonStale says in logs why a gateway whose freshness lease has ended refuses.
const reasonStale = "the gateway has not heard the holder"

// serve sends the request to endpoints until it is answered.
func (x *request) serve() {
	x.g.mu.Lock()
	x.g.retry.RecordRequest(x.begun, x.service)
	x.g.demandOf(x.service).requests++
	x.g.mu.Unlock()
	for {
		now := sqclock.Now()
		if v := x.g.view.Load(); !v.fresh(now) {
			x.finish(x.stepWithout(now), reasonStale, v.retryAfter(now))
			return
		}
		choice := x.choose(now)
		if choice.Endpoint == nil {
			x.finish(x.stepWithout(now), choice.Reason, choice.RetryAfter)
			return
		}
		if x.sendOnce(choice) {
			return
		}
	}
}

// choose places the request.
func (x *request) choose(now time.Time) sqplace.Choice {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	choice := x.g.placer.Choose(now, x.query(now))
	d := x.g.demandOf(x.service)
	if choice.Endpoint == nil {
		d.refused++
		return choice
	}
	if choice.Prefill != nil {
		choice.UncachedTokens = 0
	}
	d.unread += uint64(choice.UncachedTokens + choice.PrefillUncachedTokens)
	return choice
}

// chooseDecode places a request whose prompt was read. The list may have changed
// since the prompt was sent.
func (x *request) chooseDecode(now time.Time) sqplace.Choice {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.placer.ChooseDecode(now, x.query(now))
}

// begin notes the request as in flight at the endpoint.
func (x *request) begin(now time.Time, e *sqplace.Endpoint, unread int, expected time.Duration) *sqplace.InFlightRequest {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.placer.Begin(now, e, x.query(now), unread, expected)
}

func (x *request) query(now time.Time) *sqplace.Query {
	return &sqplace.Query{
		Service: x.service, Prompt: x.attempt.Prompt, Urgent: x.urgent, TimeLeft: x.firstBy(now), Tried: x.tried,
		NoRemotePrefill: x.direct || x.stream != nil,
	}
}

// firstBy returns the time until the first event must be there: at the deadline,
// or before if the caller will not wait so long for a sign.
func (x *request) firstBy(now time.Time) time.Duration {
	left := x.left(now)
	if p := x.route.AbandonAfter(); p > 0 && x.stream == nil {
		left = min(left, x.begun.Add(p).Sub(now))
	}
	return left
}

// stepWithout returns what to do if no endpoint can take the request.
func (x *request) stepWithout(now time.Time) sqattempt.Step {
	outcome := sqattempt.Declined
	if x.sends == 0 {
		outcome = sqattempt.Unsent
	}
	return sqattempt.Next(sqattempt.State{Outcome: outcome, MayHaveRun: x.mayHaveRun, Sends: x.sends, TimeLeft: x.left(now)})
}

// result is how one send ended.
type result struct {
	outcome sqattempt.Outcome
	reason  string
	// answer is set if the endpoint failed by itself.
	answer *answer
	// reached is false if there was no connection.
	reached bool
}

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// sendOnce sends the request to one endpoint, after another one has read its
// prompt if the choice says so; true means that it is answered.
func (x *request) sendOnce(choice sqplace.Choice) bool {
	x.expected = choice.ExpectedLatency
	if choice.Prefill == nil {
		return x.sendTo(choice.Endpoint, choice, "")
	}
	source, err := x.prefill(choice)
	if err != nil {
		return x.afterPrefill(choice, err)
	}
	now := sqclock.Now()
	if v := x.g.view.Load(); !v.fresh(now) {
		x.release(choice.Prefill, source)
		x.finish(x.stepWithout(now), reasonStale, v.retryAfter(now))
		return true
	}
	decode := x.chooseDecode(now)
	if decode.Endpoint == nil {
		x.release(choice.Prefill, source)
		x.finish(x.stepWithout(now), decode.Reason, refusedRetry)
		return true
	}
	return x.sendTo(decode.Endpoint, choice, source)
}

// sendTo sends the request to an endpoint, which fetches the KV cache from the
// source if there is one.
func (x *request) sendTo(e *sqplace.Endpoint, choice sqplace.Choice, source string) bool {
	begun := sqclock.Now()
	expected := choice.ExpectedLatency
	if source != "" {
		// Reading was no part of it, so nothing can be learnt from it.
		expected = 0
	}
	ticket := x.begin(begun, e, choice.UncachedTokens, expected)
	res, answered := x.exchange(e, ticket, source)
	if answered {
		return true
	}
	x.end(ticket, false, res.reached)
	if source != "" && (res.outcome == sqattempt.Declined || res.outcome == sqattempt.Unsent) {
		x.release(choice.Prefill, source)
	}
	return x.after(begun, e, res)
}

func (x *request) end(ticket *sqplace.InFlightRequest, ok, reached bool) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := sqclock.Now()
	x.g.demandOf(x.service).busy += ticket.DecodeTime(now)
	if x.callerLeft() {
		ticket.Abandon()
		return
	}
	ticket.End(now, ok, reached)
}

// after decides what follows a send that came to nothing.
func (x *request) after(begun time.Time, e *sqplace.Endpoint, res result) bool {
	now := sqclock.Now()
	if res.outcome == sqattempt.Broken || res.outcome == sqattempt.Failed {
		x.mayHaveRun = true
		if x.ctx.Err() == nil {
			// A request that was taken back had most likely not begun to run.
			x.countRun()
		}
	}
	if res.outcome != sqattempt.Unsent {
		x.sends++
	}
	x.tried = append(x.tried, e.ID())
	s := sqattempt.State{
		Outcome: res.outcome, Repeatable: x.route.Retryable(), MayHaveRun: x.mayHaveRun, Sends: x.sends,
		MaxSends: x.route.MaxAttempts(), TimeLeft: x.left(now), HasBudget: true, HasAlternative: true,
	}
	step := sqattempt.Next(s)
	if step == sqattempt.Resend && res.outcome != sqattempt.Unsent && !x.takeBudget(now) {
		s.HasBudget = false
		step = sqattempt.Next(s)
	}
	if step == sqattempt.Resend && x.ctx.Err() != nil {
		step = sqattempt.GiveUp
	}
	x.g.log.Event(sqevent.SendFailed, x.attempt.ID, e.ID(), res.outcome.String(), step.String(),
		now.Sub(begun).Milliseconds(), res.reason)
	if step == sqattempt.Resend {
		x.g.meter.resent.Inc()
		return false
	}
	if step == sqattempt.PassOn && x.stream == nil {
		x.pass(res.answer)
		return true
	}
	x.finish(step, res.reason, refusedRetry)
	return true
}

func (x *request) takeBudget(now time.Time) bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.retry.AllowRetry(now, x.service)
}

// finish gives the final answer of a request that no endpoint answered.
func (x *request) finish(step sqattempt.Step, reason string, retryAfter time.Duration) {
	switch {
	case step != sqattempt.Refuse && x.ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "the deadline passed")
	case step != sqattempt.Refuse:
		x.fail(http.StatusBadGateway, reason)
	case x.callerLeft():
		x.fail(http.StatusServiceUnavailable, reason)
	default:
		x.refuse(http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// countRun counts the request for billing, once.
func (x *request) countRun() {
	if x.counted || x.team == "" {
		return
	}
	x.counted = true
	now := sqclock.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.counter.Add(x.g.view.Load().date(now), x.team)
}
