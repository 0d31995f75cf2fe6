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

// Paths that the entry serves itself.
const (
	pathAddresses = "/sequoiadock/addresses"
	pathChat      = "/v1/chat/completions"
)

// maxNetHTTPHeaderBytes is the header size above which net/http rejects a
// request. Below it the entry rejects large headers with its own error format.
const maxNetHTTPHeaderBytes = 1 << 20

// handler handles the requests of one route. It returns nil after it has
// written the response.
type handler func(r *request) (sloResult, error)

// callersHandler returns the HTTP handler for callers.
func (e *entry) callersHandler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = func(error, echo.Context) {}
	router.Any("/*", e.serve)
	return router
}

// handlerFor returns the handler for the request's path.
func (e *entry) handlerFor(req *http.Request) (handler, error) {
	switch req.URL.Path {
	case pathAddresses:
		return e.serveAddresses, requireMethod(req, http.MethodGet)
	case pathChat:
		return e.chat, requireMethod(req, http.MethodPost)
	}
	return e.plain, nil
}

func requireMethod(req *http.Request, method string) error {
	if req.Method == method {
		return nil
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.WrongMethod, Detail: "wrong method", Advice: "use " + method, Execution: sqerror.NotRun,
	})
}

// serve handles every request of a caller and records its decision.
func (e *entry) serve(c echo.Context) error {
	r := &request{e: e, c: c, req: c.Request(), id: e.nextRequestID(), arrived: sqclock.Now(), memory: e.active.responseMemory.NewReservation()}
	requests := e.active.requests.Add(1)
	defer e.active.requests.Add(-1)
	// Bounds how long a caller that doesn't read the response can hold the
	// request.
	e.setWriteDeadline(r, e.cfg.Timings.MaxDeadline)
	c.Response().Header().Set(headerDecision, r.id)
	result, err := e.handle(r, requests)
	if err == nil {
		r.finish(result, nil)
		return nil
	}
	typed := asError(err)
	r.finish(sloResultOf(typed.Kind()), typed)
	if c.Response().Committed {
		return nil
	}
	return writeRefusal(c, typed, r.id)
}

func (e *entry) setWriteDeadline(r *request, d time.Duration) {
	_ = http.NewResponseController(r.c.Response()).SetWriteDeadline(time.Now().Add(d))
}

// handle runs the handler of the request; a panic ends only this request.
func (e *entry) handle(r *request, requests int64) (result sloResult, err error) {
	defer func() {
		if p := recover(); p != nil {
			e.cfg.Log.Event(sqevent.HandlerPanicked, r.id, fmt.Sprint(p))
			err = sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Detail: "the handler panicked", Execution: sqerror.MayHaveRun})
		}
	}()
	if requests > int64(e.cfg.Limits.MaxRunning) {
		return sloIgnored, r.markMayHaveRun(notRunError(sqerror.Overloaded, "too many requests at a time"))
	}
	if headerSize(r.req) > e.cfg.Limits.MaxHeaderBytes {
		return sloIgnored, notRunError(sqerror.TooLarge, "the headers are too large")
	}
	h, err := e.handlerFor(r.req)
	if err != nil {
		return sloIgnored, err
	}
	return h(r)
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

// refuseIfStopping refuses new work once callers had time to switch to other
// entries.
func (e *entry) refuseIfStopping() error {
	if !e.refusing.Load() {
		return nil
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.Leaving, Detail: "the entry is stopping", Execution: sqerror.NotRun,
		RetryAfter: retryAfter(sqerror.Leaving), RedirectAddress: e.otherEntry(),
	})
}

// serveAddresses sends the list of entries to use.
func (e *entry) serveAddresses(r *request) (sloResult, error) {
	zone := r.c.QueryParam("zone")
	if len(zone) > 100 || strings.ContainsAny(zone, "\r\n") {
		return sloIgnored, badRequest("the zone is no name")
	}
	list := addressList{Addresses: e.addressesFor(zone), KeepMillis: e.cfg.Timings.AddressTTL.Milliseconds()}
	return sloIgnored, r.c.JSON(http.StatusOK, list)
}
