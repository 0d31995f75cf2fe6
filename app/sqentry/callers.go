package sqentry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
)

// Paths of the entry's own routes.
const (
	pathAddresses = "/sequoiadock/addresses"
	pathChat      = "/v1/chat/completions"
)

// hardHeader is the header size at which net/http itself gives up; below it the
// entry answers in its own form.
const hardHeader = 1 << 20

// action is what a route does with a request. When it returns nil, the answer
// was given.
type action func(r *request) (grade, error)

// callersHandler returns the routes that callers see.
func (e *entry) callersHandler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = func(error, echo.Context) {}
	router.Any("/*", e.serve)
	return router
}

// actionFor chooses by path and method.
func (e *entry) actionFor(req *http.Request) (action, error) {
	switch req.URL.Path {
	case pathAddresses:
		return e.addresses, need(req, http.MethodGet)
	case pathChat:
		return e.chat, need(req, http.MethodPost)
	}
	return e.plain, nil
}

func need(req *http.Request, method string) error {
	if req.Method == method {
		return nil
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.WrongMethod, Detail: "wrong method", Advice: "use " + method, Run: sqerror.NotRun,
	})
}

// serve handles every request of a caller.
func (e *entry) serve(c echo.Context) error {
	r := &request{e: e, c: c, req: c.Request(), id: e.nextID(), arrived: sqclock.Now(), answer: &holding{memory: &e.running.answering}}
	held := e.running.count.Add(1)
	defer e.running.count.Add(-1)
	// A slow or absent reader must not hold the request for ever.
	e.boundWrites(r, e.cfg.Timings.MaxDeadline)
	c.Response().Header().Set(headerDecision, r.id)
	g, err := e.guarded(r, held)
	if err == nil {
		r.end(g, nil)
		return nil
	}
	typed := asError(err)
	r.end(gradeOf(typed.Kind()), typed)
	if c.Response().Committed {
		return nil
	}
	return writeRefusal(c, typed, r.id)
}

func (e *entry) boundWrites(r *request, d time.Duration) {
	_ = http.NewResponseController(r.c.Response()).SetWriteDeadline(time.Now().Add(d))
}

// guarded runs the request's action; a panic ends only that request.
func (e *entry) guarded(r *request, held int64) (g grade, err error) {
	defer func() {
		if p := recover(); p != nil {
			e.cfg.Log.Event(sqevent.HandlerPanicked, r.id, fmt.Sprint(p))
			err = sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Detail: "the handler panicked", Run: sqerror.MayHaveRun})
		}
	}()
	if held > int64(e.cfg.Limits.MaxRequests) {
		return gradeNone, r.unseen(notRun(sqerror.Overloaded, "too many requests at a time"))
	}
	if headerSize(r.req) > e.cfg.Limits.MaxHeaderBytes {
		return gradeNone, notRun(sqerror.TooLarge, "the headers are too large")
	}
	act, err := e.actionFor(r.req)
	if err != nil {
		return gradeNone, err
	}
	return act(r)
}

func headerSize(req *http.Request) int {
	n := len(req.RequestURI)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// refuseLeaving refuses new work once callers had time to go elsewhere.
func (e *entry) refuseLeaving() error {
	if !e.closed.Load() {
		return nil
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.Leaving, Detail: "the entry is stopping", Run: sqerror.NotRun,
		RetryAfter: comeBack(sqerror.Leaving), Elsewhere: e.elsewhere(),
	})
}

// addresses tells a caller which entries to use.
func (e *entry) addresses(r *request) (grade, error) {
	zone := r.c.QueryParam("zone")
	if len(zone) > 100 || strings.ContainsAny(zone, "\r\n") {
		return gradeNone, badRequest("the zone is no name")
	}
	answer := addressList{Addresses: e.addressesFor(zone), KeepMillis: e.cfg.Timings.AddressTTL.Milliseconds()}
	return gradeNone, r.c.JSON(http.StatusOK, answer)
}
