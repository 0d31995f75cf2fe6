package sqentry

import (
	"context"
	"net/http"
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqroute"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
)

// plainTokens is the number of tokens that a request to a plain service
// counts for in its team's limits.
const plainTokens = 1

// plainDuration is the predicted duration of a request to a plain
// service.
const plainDuration = 10 * time.Millisecond

// plainCall holds the state of one request to a plain service.
type plainCall struct {
	r     *request
	path  string
	body  []byte
	query sqroute.QueryConfig
	// freshnessEpoch is the epoch of the freshness lease in which a once-only
	// call began.
	freshnessEpoch uint64
	once           bool
	lost           lostConnections
	// resent is true when an earlier attempt of the call may have run.
	resent bool
	// respond passes the outcome of a once-only call to the handler that waits
	// for it; only the first call has an effect.
	respond func(outcome)
}

// plain forwards a request to a plain service.
func (e *entry) plain(r *request) (sloResult, error) {
	req := r.req
	r.svc = e.routes.Load().plainServiceFor(req.URL.Path)
	if r.svc == nil {
		return sloIgnored, r.markMayHaveRun(e.unknownRouteError())
	}
	if err := r.authorize(); err != nil {
		return sloIgnored, r.markMayHaveRun(err)
	}
	if err := r.setDeadline(); err != nil {
		return sloIgnored, err
	}
	path, ok := endpointPath(req.URL, r.caller.key)
	if !ok {
		return sloIgnored, badRequest("write the path in its plain form and the key into the header alone")
	}
	p := &plainCall{r: r, path: path, once: r.svc.isOnceCall(req.Method, req.URL.Path)}
	var err error
	if p.body, err = r.readBody(); err != nil {
		return sloIgnored, err
	}
	p.query = sqroute.QueryConfig{
		Kind: r.svc.conf.GetName(), PromptTokens: plainTokens, SpotAllowed: r.svc.conf.GetCheapAllowed(), Deadline: r.deadline,
	}
	e.retries.addRequest()
	if p.once {
		return p.runOnce()
	}
	return p.runPlain()
}

// unknownRouteError returns the error for a path that no service has. An entry
// without a configuration cannot know that and reports itself as stale.
func (e *entry) unknownRouteError() error {
	v := e.watch.View()
	if v.Version() == 0 && !v.Fresh(sqclock.Now()) {
		return e.staleError()
	}
	return notRunError(sqerror.UnknownRoute, "no service has the route")
}

// markMayHaveRun changes "not run" to "may have run" in a refusal of a
// once-only call: an entry that has not read the call's record doesn't know
// whether an earlier attempt with the same identity ran.
func (r *request) markMayHaveRun(err error) error {
	e := asError(err)
	if e.Kind() != sqerror.StaleEntry && e.Kind() != sqerror.Overloaded || !r.mayBeOnceCall() {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind: e.Kind(), Detail: e.Detail(), Execution: sqerror.MayHaveRun, RetryAfter: e.RetryAfter(), RedirectAddress: e.RedirectAddress(),
	})
}

// mayBeOnceCall reports whether the request may be a once-only call. If the
// service is not known yet, any request with an idempotency key may be one.
func (r *request) mayBeOnceCall() bool {
	if r.svc == nil {
		return r.req.Header.Get(headerIdentity) != ""
	}
	return r.svc.isOnceCall(r.req.Method, r.req.URL.Path)
}

// runPlain runs a request that is not a once-only call.
func (p *plainCall) runPlain() (sloResult, error) {
	r := p.r
	if err := r.e.refuseIfStopping(); err != nil {
		return sloIgnored, err
	}
	ctx, cancel := r.context()
	defer cancel()
	ticket, err := p.admit(ctx)
	if err != nil {
		return sloIgnored, err
	}
	response, err := p.sendAdmitted(ctx, ticket, isIdempotentMethod(r.req.Method))
	if err != nil {
		return sloIgnored, err
	}
	r.e.usage.add(r.team(), r.svc.conf.GetName(), "", 0, 0)
	return p.writeResponse(response)
}

func (p *plainCall) admit(ctx context.Context) (*admissionTicket, error) {
	if !p.r.e.fleet.estimate(sqclock.Now(), p.query).OK() {
		return nil, notRunError(sqerror.NoEndpoint, "no open endpoint has the service")
	}
	return p.r.admit(ctx, sqadmit.RequestConfig{
		Pool: poolName(p.r.svc.conf.GetName(), ""), PromptTokens: plainTokens, ExpectedDuration: plainDuration,
	})
}

// sendAdmitted sends an admitted request and releases its admission.
func (p *plainCall) sendAdmitted(ctx context.Context, ticket *admissionTicket, mayRepeat bool) (*sqendpoint.PlainResponse, error) {
	defer func() { p.r.e.admission.finish(sqclock.Now(), ticket, plainTokens, 0) }()
	return p.sendWithRetries(ctx, mayRepeat)
}

// isIdempotentMethod reports whether HTTP defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// sendWithRetries tries endpoints until one responds. A request that may not be
// repeated goes to another endpoint only if the previous one provably did not
// start it.
func (p *plainCall) sendWithRetries(ctx context.Context, mayRepeat bool) (*sqendpoint.PlainResponse, error) {
	started := false
	for {
		response, id, err := p.routeAndSend(ctx)
		if err == nil {
			return response, nil
		}
		e := asError(err)
		started = started || e.Execution() != sqerror.NotRun
		if ctx.Err() != nil || endsResponse(err) || id == "" || started && !mayRepeat {
			return nil, p.sendError(ctx, e, started)
		}
		p.r.note("The request to " + id + " failed: " + e.Detail() + ".")
		if e.Kind() != sqerror.NoEndpoint && !p.r.e.retries.mayRetry(&p.lost, err) {
			p.r.note("Not tried again: the retry budget of this entry is used up.")
			return nil, p.sendError(ctx, e, started)
		}
		p.r.e.metrics.retries.Inc()
		p.query.Excluded = append(p.query.Excluded, id)
	}
}

func (p *plainCall) sendError(ctx context.Context, e *sqerror.Error, started bool) error {
	run := sqerror.NotRun
	if started {
		run = sqerror.MayHaveRun
	}
	kind := e.Kind()
	switch {
	case graceExpired(ctx):
		kind = sqerror.Leaving
	case ctx.Err() == context.DeadlineExceeded:
		kind = sqerror.DeadlineExceeded
	case ctx.Err() != nil:
		kind = sqerror.Canceled
	}
	return sqerror.New(sqerror.Config{
		Kind: kind, Detail: e.Detail(), Execution: run, RetryAfter: retryAfter(kind), RedirectAddress: e.RedirectAddress(), Cause: e.Unwrap(),
	})
}

// routeAndSend sends the request to the endpoint that the router chooses and
// returns its ID; "" means that no endpoint is available.
func (p *plainCall) routeAndSend(ctx context.Context) (*sqendpoint.PlainResponse, string, error) {
	choice, why := p.r.e.fleet.route(sqclock.Now(), p.query)
	p.r.note(why...)
	if !choice.OK() {
		return nil, "", notRunError(sqerror.NoEndpoint, "no open endpoint has the service")
	}
	response, err := p.sendTo(ctx, choice.Endpoint())
	return response, choice.Endpoint(), err
}

func (p *plainCall) sendTo(ctx context.Context, id string) (*sqendpoint.PlainResponse, error) {
	e, r := p.r.e, p.r
	q := sqroute.NewQuery(p.query)
	d, ok := e.fleet.startDispatch(sqclock.Now(), id, &q, 0, false, false)
	if !ok {
		return nil, notRunError(sqerror.NoEndpoint, "the endpoint takes no new work")
	}
	req := r.req
	response, err := e.endpointClient.SendPlain(ctx, sqendpoint.PlainConfig{
		Address: d.address(), Method: req.Method, Path: p.path, Body: p.body,
		Header:     endpointHeader(req.Header, r.id, r.caller.key),
		WriteCheck: e.writeGuard(r.caller, id, p.once, p.freshnessEpoch), Watchdog: p.once, MaxResponseBytes: e.cfg.Limits.MaxResponseBytes, ReserveMemory: r.memory.Reserve,
	})
	now := sqclock.Now()
	if err == nil {
		e.fleet.recordFirstToken(now, d)
	}
	e.fleet.finishDispatch(now, d, sqroute.DispatchResult{Failed: isEndpointFault(err)})
	return response, err
}

// writeResponse copies a service's response to the caller.
func (p *plainCall) writeResponse(response *sqendpoint.PlainResponse) (sloResult, error) {
	c := p.r.c
	copyResponseHeader(c.Response().Header(), response.Header())
	c.Response().WriteHeader(response.Status())
	if p.r.req.Method != http.MethodHead {
		_, _ = c.Response().Write(response.Body())
	}
	if response.Status() >= http.StatusInternalServerError {
		return sloFailed, nil
	}
	return sloGood, nil
}
