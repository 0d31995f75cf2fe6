package sqengine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

func (e *Engine) router() *echo.Echo {
	r := sqserver.NewRouter()
	r.POST("/v1/chat/completions", e.handleCompletion)
	r.POST("/v1/cancel", e.waitWhilePaused(e.handleCancel))
	r.GET("/v1/load", e.waitWhilePaused(e.handleLoad))
	r.GET("/v1/cacheEvents", e.waitWhilePaused(e.handleCacheEvents))
	r.POST("/v1/orders", e.inOrderOfArrival(e.waitWhilePaused(e.handleOrder)))
	r.GET("/v1/status", e.waitWhilePaused(e.handleStatus))
	r.POST("/v1/kv/export", e.waitWhilePaused(e.handleKVExport))
	r.POST("/v1/kv/import", e.waitWhilePaused(e.handleKVImport))
	r.GET("/v1/kv/data", e.waitWhilePaused(e.handleKVData))
	r.POST("/standin/crash", sqserver.CrashHandler(e))
	r.GET("/standin/records", sqserver.RecordsHandler(e.cfg.Record))
	e.faults.RegisterRoutes(r, func(description string) {
		e.record(sqrecord.Entry{Kind: sqrecord.FaultSet, Detail: description})
	})
	return r
}

// waitWhilePaused delays a request while the engine is paused.
func (e *Engine) waitWhilePaused(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.faults.WaitWhilePaused(c.Request().Context().Done())
		return h(c)
	}
}

// inOrderOfArrival handles one request at a time. After a pause, the requests that waited
// are handled in the order in which they came, as by a process that was stopped.
func (e *Engine) inOrderOfArrival(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		handled := make(chan struct{})
		defer close(handled)
		e.mu.Lock()
		previous := e.lastArrival
		e.lastArrival = handled
		e.mu.Unlock()
		if previous != nil {
			<-previous
		}
		return h(c)
	}
}

type cancelRequest struct {
	RequestID string `json:"requestId"`
}

func (e *Engine) handleCancel(c echo.Context) error {
	var req cancelRequest
	if err := sqserver.Decode(c, &req); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[req.RequestID]; ok {
		e.record(sessionEntry(s, sqrecord.RequestCanceled, s.endCause))
		e.endSession(s, endedCanceled)
		delete(e.sessions, req.RequestID)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (e *Engine) handleLoad(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.delayedLoadReport(time.Now()))
}

func (e *Engine) handleCacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.cfg.scaled(e.cfg.TimeModel.CacheEventDelay))
	return c.JSON(http.StatusOK, e.cache.eventsAfter(after, cutoff))
}
