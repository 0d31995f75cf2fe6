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
	r.POST("/v1/cancel", e.whenAwake(e.handleCancel))
	r.GET("/v1/load", e.whenAwake(e.handleLoad))
	r.GET("/v1/cacheEvents", e.whenAwake(e.handleCacheEvents))
	r.POST("/v1/orders", e.whenAwake(e.handleOrder))
	r.GET("/v1/status", e.whenAwake(e.handleStatus))
	r.POST("/v1/kv/export", e.whenAwake(e.handleExport))
	r.POST("/v1/kv/import", e.whenAwake(e.handleImport))
	r.GET("/v1/kv/data", e.whenAwake(e.handleData))
	r.POST("/standin/crash", sqserver.CrashHandler(e))
	r.GET("/standin/records", sqserver.RecordsHandler(e.cfg.Record))
	e.faults.RegisterRoutes(r, func(what string) {
		e.record(sqrecord.Entry{Kind: sqrecord.FaultSet, Detail: what})
	})
	return r
}

// whenAwake holds a call back while the engine is paused.
func (e *Engine) whenAwake(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.faults.WaitWhilePaused(c.Request().Context().Done())
		return h(c)
	}
}

type cancelRequest struct {
	RequestID string `json:"requestId"`
}

func (e *Engine) handleCancel(c echo.Context) error {
	var q cancelRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[q.RequestID]; ok {
		e.record(entryOf(s, sqrecord.RequestCanceled, s.ended))
		e.end(s, endedCanceled)
		delete(e.sessions, q.RequestID)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (e *Engine) handleLoad(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.lateLoad(time.Now()))
}

func (e *Engine) handleCacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := time.Now().Add(-e.cfg.scaled(e.cfg.TimeModel.CacheEventDelay))
	return c.JSON(http.StatusOK, e.cache.after(after, before))
}
