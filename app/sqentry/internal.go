package sqentry

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// internalHandler returns the HTTP handler for operators: the twirp service,
// metrics and the health check.
func (e *entry) internalHandler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	rpc := sqrpc.NewEntryServer(&operatorService{e: e})
	router.Any(rpc.PathPrefix()+"*", echo.WrapHandler(rpc))
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		e.metrics.write(c.Response())
		return nil
	})
	router.GET("/healthz", func(c echo.Context) error {
		if !e.watch.Fresh(sqclock.Now()) {
			return c.String(http.StatusServiceUnavailable, "not fresh\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	return router
}

// operatorService implements sqrpc.Entry.
type operatorService struct {
	e *entry
}

// Explain returns the decision record of a request.
func (s *operatorService) Explain(_ context.Context, req *sqrpc.ExplainRequest) (*sqrpc.ExplainResponse, error) {
	lines := s.e.decisions.lines(req.GetDecision())
	if lines == nil {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{
			Kind: sqerror.NotFound, Detail: "this entry keeps no decision of that identity",
		}))
	}
	return &sqrpc.ExplainResponse{Lines: lines}, nil
}

// EntryStatus returns the entry's state.
func (s *operatorService) EntryStatus(context.Context, *sqrpc.EntryStatusRequest) (*sqrpc.EntryStatusResponse, error) {
	e := s.e
	v := e.watch.View()
	return &sqrpc.EntryStatusResponse{
		Entry: e.cfg.Name, Version: v.Version(), Fresh: v.Fresh(sqclock.Now()),
		Running: uint32(max(0, e.active.requests.Load())), Queued: uint32(e.admission.queueLength()), Leaving: e.leaving.Load(),
	}, nil
}
