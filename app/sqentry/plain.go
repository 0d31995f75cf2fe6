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

// plainTokens is what a request to a plain service counts for in its team's
// limits.
const plainTokens = 1

// expectedPlain is the predicted time of a request to a plain service.
const expectedPlain = 10 * time.Millisecond

// plainCall is one request to a plain service.
type plainCall struct {
	r     *request
	path  string
	body  []byte
	query sqroute.QueryConfig
	// epoch is the freshness in which a call that must not be repeated began.
	epoch  uint64
	once   bool
	losses losses
	// again is true when an earlier attempt may have run.
	again bool
	// tell gives the outcome of a call that must not be repeated to its caller;
	// only the first one counts.
	tell func(outcome)
}

// plain passes a request to a plain service.
func (e *entry) plain(r *request) (grade, error) {
	req := r.req
	r.svc = e.routes.Load().plainFor(req.URL.Path)
	if r.svc == nil {
		return gradeNone, r.unseen(e.unknownRoute())
	}
	if err := r.authorise(); err != nil {
		return gradeNone, r.unseen(err)
	}
	if err := r.setDeadline(); err != nil {
		return gradeNone, err
	}
	path, ok := endpointPath(req.URL, r.caller.key)
	if !ok {
		return gradeNone, badRequest("write the path in its plain form and the key into the header alone")
	}
	p := &plainCall{r: r, path: path, once: r.svc.isOnce(req.Method, req.URL.Path)}
	var err error
	if p.body, err = r.body(); err != nil {
		return gradeNone, err
	}
	p.query = sqroute.QueryConfig{
		Kind: r.svc.conf.GetName(), PromptTokens: plainTokens, CheapAllowed: r.svc.conf.GetCheapAllowed(), Deadline: r.deadline,
	}
	e.retries.earn()
	if p.once {
		return p.runOnce()
	}
	return p.runPlain()
}

// unknownRoute refuses a path that no service has; an entry that knows no
// configuration cannot say so.
func (e *entry) unknownRoute() error {
	v := e.watch.View()
	if v.Version() == 0 && !v.Fresh(sqclock.Now()) {
		return e.stale()
	}
	return notRun(sqerror.UnknownRoute, "no service has the route")
}

// unseen keeps a refusal true for a call that must not be repeated: an entry
// that has not read the records does not know whether an earlier attempt of the
// same identity ran.
func (r *request) unseen(err error) error {
	e := asError(err)
	if e.Kind() != sqerror.StaleEntry && e.Kind() != sqerror.Overloaded || !r.mayBeOnce() {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind: e.Kind(), Detail: e.Detail(), Execution: sqerror.MayHaveRun, RetryAfter: e.RetryAfter(), RedirectAddress: e.RedirectAddress(),
	})
}

// mayBeOnce reports whether the request may be a call that must not be repeated.
// An entry that has no configuration yet, or has not looked at it, goes by the
// identity that the request bears.
func (r *request) mayBeOnce() bool {
	if r.svc == nil {
		return r.req.Header.Get(headerIdentity) != ""
	}
	return r.svc.isOnce(r.req.Method, r.req.URL.Path)
}

// runPlain runs a request that is not marked as once only.
func (p *plainCall) runPlain() (grade, error) {
	r := p.r
	if err := r.e.refuseLeaving(); err != nil {
		return gradeNone, err
	}
	ctx, cancel := r.context()
	defer cancel()
	ad, err := p.admit(ctx)
	if err != nil {
		return gradeNone, err
	}
	answer, err := p.sendAdmitted(ctx, ad, repeatable(r.req.Method))
	if err != nil {
		return gradeNone, err
	}
	r.e.usage.add(r.team(), r.svc.conf.GetName(), "", 0, 0)
	return p.give(answer)
}

func (p *plainCall) admit(ctx context.Context) (*admitted, error) {
	if !p.r.e.fleet.estimate(sqclock.Now(), p.query).OK() {
		return nil, notRun(sqerror.NoEndpoint, "no open endpoint has the service")
	}
	return p.r.admit(ctx, sqadmit.RequestConfig{
		Pool: poolName(p.r.svc.conf.GetName(), ""), PromptTokens: plainTokens, PredictedDuration: expectedPlain,
	})
}

// sendAdmitted sends a request whose turn has come, and gives its place back.
func (p *plainCall) sendAdmitted(ctx context.Context, ad *admitted, repeat bool) (*sqendpoint.PlainResponse, error) {
	defer func() { p.r.e.admission.finish(sqclock.Now(), ad, plainTokens, 0) }()
	return p.send(ctx, repeat)
}

// repeatable reports whether HTTP itself says that a request may be repeated.
func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// send tries endpoints until one answers. A request that may not be repeated
// goes to another one only when the first provably did not start it.
func (p *plainCall) send(ctx context.Context, repeat bool) (*sqendpoint.PlainResponse, error) {
	started := false
	for {
		answer, id, err := p.sendOnce(ctx)
		if err == nil {
			return answer, nil
		}
		e := asError(err)
		started = started || e.Execution() != sqerror.NotRun
		if ctx.Err() != nil || final(err) || id == "" || started && !repeat {
			return nil, p.failure(ctx, e, started)
		}
		p.r.note("The request to " + id + " failed: " + e.Detail() + ".")
		if e.Kind() != sqerror.NoEndpoint && !p.r.e.retries.mayRetry(&p.losses, err) {
			p.r.note("Not tried again: the retry budget of this entry is used up.")
			return nil, p.failure(ctx, e, started)
		}
		p.r.e.gauges.retries.Inc()
		p.query.Excluded = append(p.query.Excluded, id)
	}
}

func (p *plainCall) failure(ctx context.Context, e *sqerror.Error, started bool) error {
	run := sqerror.NotRun
	if started {
		run = sqerror.MayHaveRun
	}
	kind := e.Kind()
	switch {
	case graceOver(ctx):
		kind = sqerror.Leaving
	case ctx.Err() == context.DeadlineExceeded:
		kind = sqerror.DeadlineExceeded
	case ctx.Err() != nil:
		kind = sqerror.Canceled
	}
	return sqerror.New(sqerror.Config{
		Kind: kind, Detail: e.Detail(), Execution: run, RetryAfter: comeBack(kind), RedirectAddress: e.RedirectAddress(), Cause: e.Unwrap(),
	})
}

// sendOnce sends the request to one endpoint and returns which; "" means that
// there was none.
func (p *plainCall) sendOnce(ctx context.Context) (*sqendpoint.PlainResponse, string, error) {
	choice, why := p.r.e.fleet.route(sqclock.Now(), p.query)
	p.r.note(why...)
	if !choice.OK() {
		return nil, "", notRun(sqerror.NoEndpoint, "no open endpoint has the service")
	}
	answer, err := p.sendTo(ctx, choice.Endpoint())
	return answer, choice.Endpoint(), err
}

// sendTo sends the request to an endpoint.
func (p *plainCall) sendTo(ctx context.Context, id string) (*sqendpoint.PlainResponse, error) {
	e, r := p.r.e, p.r
	q := sqroute.NewQuery(p.query)
	d, ok := e.fleet.begin(sqclock.Now(), id, &q, 0, false, false)
	if !ok {
		return nil, notRun(sqerror.NoEndpoint, "the endpoint takes no new work")
	}
	req := r.req
	answer, err := e.client.SendPlain(ctx, sqendpoint.PlainConfig{
		Address: d.address(), Method: req.Method, Path: p.path, Body: p.body,
		Header:     endpointHeader(req.Header, r.id, r.caller.key),
		WriteCheck: e.guard(r.caller, id, p.once, p.epoch), Watchdog: p.once, MaxResponseBytes: e.cfg.Limits.Answer, ReserveMemory: r.answer.take,
	})
	now := sqclock.Now()
	if err == nil {
		e.fleet.firstToken(now, d)
	}
	e.fleet.done(now, d, sqroute.DispatchResult{Failed: broken(err)})
	return answer, err
}

// give writes a service's answer to the caller.
func (p *plainCall) give(a *sqendpoint.PlainResponse) (grade, error) {
	c := p.r.c
	answerHeader(c.Response().Header(), a.Header())
	c.Response().WriteHeader(a.Status())
	if p.r.req.Method != http.MethodHead {
		_, _ = c.Response().Write(a.Body())
	}
	if a.Status() >= http.StatusInternalServerError {
		return gradeFailed, nil
	}
	return gradeGood, nil
}
