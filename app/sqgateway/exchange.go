package sqgateway

import (
	"io"
	"net/http"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

const (
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 32 << 20
	// onceMaxIdle is how long a connection may have been idle that carries a request
	// which must not be repeated: the endpoint must not have closed it meanwhile.
	onceMaxIdle = 1 * time.Second
	// connectionPercent is the part of an endpoint's connections that gateways
	// share; minConnections is what each may have at least.
	connectionPercent = 80
	minConnections    = 4
	// unknownGateways is taken for the number of gateways while it is not known.
	unknownGateways = 16
)

// exchange sends the request to an endpoint and relays its answer; false means
// that the caller got nothing of it yet, or that the stream has to go on.
func (x *request) exchange(e *sqplace.Endpoint, ticket *sqplace.InFlightRequest, source string) (result, bool) {
	x.last = e.ID()
	call := x.call(e, sqattempt.SendParams{CacheSource: source, ResumeAfter: x.resumeAfter()})
	reply, err := x.g.pool.Do(x.ctx, call)
	if err != nil {
		return x.broken(err), false
	}
	defer reply.Close()
	head := x.g.cfg.Wire.Answer(reply.Status(), reply.Header())
	x.hear(e, head)
	switch {
	case head.NotRun:
		return result{outcome: sqattempt.Declined, reason: "the endpoint declined with " + http.StatusText(reply.Status()), reached: true}, false
	case reply.Status()/100 == 2 && !head.Signed:
		return result{outcome: sqattempt.Broken, reason: "the answer is not signed", reached: true}, false
	case x.streams(reply.Status()):
		return x.relay(reply, ticket)
	default:
		return x.whole(reply, ticket)
	}
}

// broken returns the result of an error of the connection.
func (x *request) broken(err error) result {
	switch sqerror.KindOf(err) {
	case sqerror.Unreachable:
		return result{outcome: sqattempt.Unsent, reason: err.Error()}
	case sqerror.Overloaded:
		return result{outcome: sqattempt.Unsent, reason: err.Error(), reached: true}
	default:
		return result{outcome: sqattempt.Broken, reason: err.Error(), reached: true}
	}
}

func (x *request) hear(e *sqplace.Endpoint, head sqattempt.Response) {
	if !head.HasLoad {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.placer.RecordLoadReport(sqclock.Now(), e.ID(), head.Load)
}

// call returns the request as the endpoint gets it.
func (x *request) call(e *sqplace.Endpoint, s sqattempt.SendParams) *sqlink.Call {
	now := sqclock.Now()
	s.Endpoint, s.Team, s.TimeLeft, s.Priority = e.ID(), x.team, x.left(now), x.priority
	h := x.r.Header.Clone()
	x.g.cfg.Wire.Prepare(h, s)
	call := &sqlink.Call{
		Endpoint: e.ID(), Address: e.Address(), Method: x.r.Method, Target: x.target(), Host: x.r.Host, Header: h, Body: x.body,
		Matches: x.matches, MaxConnections: x.maxConnections(),
	}
	if !x.route.Retryable() {
		call.MaxIdle = onceMaxIdle
	}
	return call
}

// matches reports whether an answer belongs to the request. An answer without an
// identity does: some failures have none.
func (x *request) matches(status int, h http.Header) bool {
	id := x.g.cfg.Wire.Answer(status, h).AttemptID
	return id == "" || id == x.attempt.ID
}

// maxConnections returns this gateway's part of an endpoint's connections.
func (x *request) maxConnections() int {
	s := x.table.Service(x.service)
	if s == nil || s.MaxConnections() == 0 {
		return 0
	}
	gateways := x.g.view.Load().count
	if gateways == 0 {
		gateways = unknownGateways
	}
	return max(minConnections, s.MaxConnections()*connectionPercent/100/gateways)
}

// whole reads an answer that is no stream and passes it on.
func (x *request) whole(reply *sqlink.Reply, ticket *sqplace.InFlightRequest) (result, bool) {
	body, err := io.ReadAll(io.LimitReader(reply, maxAnswerBytes+1))
	if err != nil {
		return x.broken(err), false
	}
	if len(body) > maxAnswerBytes {
		return result{outcome: sqattempt.Broken, reason: "the answer is too long", reached: true}, false
	}
	a := &answer{status: reply.Status(), header: reply.Header(), body: body}
	if a.status >= http.StatusInternalServerError || x.stream != nil {
		return result{outcome: sqattempt.Failed, reason: "the endpoint answered " + http.StatusText(a.status), answer: a, reached: true}, false
	}
	x.countRun()
	x.end(ticket, true, true)
	x.sends++
	x.pass(a)
	return result{}, true
}

// pass gives a whole answer of an endpoint to the caller. A status that would say
// that the request has not run is not passed on: the endpoint did not say so.
func (x *request) pass(a *answer) {
	if promisesNotRun(a.status) {
		x.fail(http.StatusBadGateway, "the endpoint answered "+http.StatusText(a.status)+" to a request that may have run")
		return
	}
	x.writeHead(a.status, a.header, len(a.body))
	if _, err := x.w.Write(a.body); err != nil {
		x.fail(a.status, "the caller's connection broke off")
		return
	}
	x.unboundWrites()
	x.done(a.status)
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
