package sqgateway

import (
	"net/http"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqlink"
)

const (
	// atMostOnceMaxIdle is the maximum idle time of a connection that is reused for
	// a request that must not be retried. The longer a connection has been idle,
	// the more likely the endpoint has closed it.
	atMostOnceMaxIdle = 1 * time.Second
	// The gateways share sharedConnectionPercent of an endpoint's connections in
	// equal parts. Each gateway may open at least minConnections.
	sharedConnectionPercent = 80
	minConnections          = 4
	// assumedGatewayCount stands in for the number of gateways while that is unknown.
	assumedGatewayCount = 16
)

// exchange sends the request to an endpoint and forwards the response. It returns
// false if the caller has not got a complete response: nothing was forwarded, or
// the stream has to be resumed on another endpoint.
func (x *request) exchange(e *sqplace.Endpoint, dispatch *sqplace.Dispatch,
	cacheSource string) (sendResult, bool) {
	x.lastEndpoint, x.lastVersion = e.ID(), e.Version()
	call := x.newCall(e, sqattempt.SendParams{CacheSource: cacheSource, ResumeAfter: x.resumeAfter()})
	sentAt := sqclock.Now()
	reply, err := x.g.pool.Do(x.ctx, call)
	x.recordQuotaSent(err)
	if err != nil {
		return x.connectionFailure(err), false
	}
	defer reply.Close()
	x.g.recordConnection(x.service, reply)
	response := x.g.cfg.Wire.ParseResponse(reply.Status(), reply.Header())
	x.g.recordReports(sentAt, e, reply, response)
	switch {
	case response.NotRun:
		return sendResult{outcome: sqattempt.Declined,
			reason: "the endpoint declined with " + http.StatusText(reply.Status()), reached: true}, false
	case reply.Status()/100 == 2 && !response.Signed:
		return sendResult{outcome: sqattempt.Broken, reason: "the answer is not signed", reached: true}, false
	case x.isStream(reply.Status()):
		return x.relayStream(reply, dispatch)
	default:
		return x.forwardResponse(reply, dispatch)
	}
}

// connectionFailure returns the result of a send that failed with a connection
// error.
func (x *request) connectionFailure(err error) sendResult {
	switch sqerror.KindOf(err) {
	case sqerror.Unreachable:
		return sendResult{outcome: sqattempt.Unsent, reason: err.Error()}
	case sqerror.Overloaded:
		return sendResult{outcome: sqattempt.Unsent, reason: err.Error(), reached: true}
	default:
		return sendResult{outcome: sqattempt.Broken, reason: err.Error(), reached: true, connectionLost: sqendpoint.ConnectionLost(err)}
	}
}

// newCall returns the request in the form that is sent to the endpoint.
func (x *request) newCall(e *sqplace.Endpoint, params sqattempt.SendParams) *sqlink.Call {
	now := sqclock.Now()
	params.Endpoint, params.Team, params.TimeLeft, params.Priority = e.ID(), x.team, x.timeLeft(now), x.priority
	h := x.r.Header.Clone()
	x.g.cfg.Wire.RewriteHeaders(h, params)
	call := &sqlink.Call{
		Endpoint: e.ID(), Address: e.Address(), Method: x.r.Method, Target: x.target(), Host: x.r.Host,
		Header: h, Body: x.body,
		OwnerOf: x.ownerOf, MaxConnections: x.maxConnections(),
		Allowed: func() bool { return x.g.admit(e.ID()) },
	}
	if !x.route.Retryable() {
		call.MaxIdle = atMostOnceMaxIdle
	}
	return call
}

// ownerOf returns whether a response belongs to the request. Some error responses name no
// attempt.
func (x *request) ownerOf(status int, h http.Header) sqlink.Owner {
	switch x.g.cfg.Wire.ParseResponse(status, h).AttemptID {
	case x.attempt.ID:
		return sqlink.OwnerThis
	case "":
		return sqlink.OwnerUnknown
	default:
		return sqlink.OwnerOther
	}
}

// maxConnections returns the maximum number of connections from this gateway to
// an endpoint of the service; 0 means no limit.
func (x *request) maxConnections() int {
	s := x.table.Service(x.service)
	if s == nil || s.MaxConnections() == 0 {
		return 0
	}
	gateways := x.g.view.Load().gatewayCount
	if gateways == 0 {
		gateways = assumedGatewayCount
	}
	return max(minConnections, s.MaxConnections()*sharedConnectionPercent/100/gateways)
}

// forwardResponse forwards a response that is not a stream. The results are those of
// exchange.
func (x *request) forwardResponse(reply *sqlink.Response, dispatch *sqplace.Dispatch) (sendResult, bool) {
	body, isWhole, err := x.readBody(reply)
	status := reply.Status()
	failed := status >= http.StatusInternalServerError || x.stream != nil
	switch {
	case err != nil:
		return x.connectionFailure(err), false
	case failed && !isWhole:
		return sendResult{outcome: sqattempt.Broken, reason: "the error response is too long", reached: true}, false
	case !isWhole && !impliesNotRun(status):
		x.relayLongBody(reply, dispatch, body)
		return sendResult{}, true
	}
	response := &bufferedResponse{status: status, header: reply.Header(), body: body, framing: reply.Framing()}
	if failed {
		return sendResult{outcome: sqattempt.Failed, reason: "the endpoint answered " + http.StatusText(status),
			response: response, reached: true}, false
	}
	x.countForBilling()
	x.finishDispatch(dispatch, true, true)
	x.recordTraitsAnswered(sqclock.Now())
	x.sends++
	x.writeResponse(response)
	return sendResult{}, true
}

// writeResponse writes a complete response of an endpoint to the caller. A status
// that implies that the request has not run is replaced by 502 Bad Gateway, because
// the endpoint did not declare the request as not run.
func (x *request) writeResponse(response *bufferedResponse) {
	if impliesNotRun(response.status) {
		x.fail(http.StatusBadGateway,
			"the endpoint answered "+http.StatusText(response.status)+" to a request that may have run")
		return
	}
	x.writeHeader(response.status, response.header, len(response.body))
	if _, err := x.w.Write(response.body); err != nil {
		x.fail(response.status, "the caller's connection broke off")
		return
	}
	x.clearWriteDeadline()
	x.recordAnswered(response.status, response.framing)
}

// impliesNotRun reports whether a caller takes the status to mean that the request
// has not run and may be sent again.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
