package sqentry

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
)

const (
	// stopPollInterval is how often a stopping entry checks whether requests
	// are still running.
	stopPollInterval = 20 * time.Millisecond
	// finalFlushTimeout bounds sending the last usage batches.
	finalFlushTimeout = 5 * time.Second
	// shutdownTimeout bounds closing the servers once no request is running.
	shutdownTimeout = time.Second
)

// Run serves callers until ctx ends, then stops gracefully: it leaves the
// address list, keeps accepting requests for as long as callers keep addresses,
// and finishes running requests. Errors are of type *sqerror.Error.
func Run(ctx context.Context, cfg Config) error {
	cfg.setDefaults()
	processCtx, cancelProcess := context.WithCancel(context.Background())
	defer cancelProcess()
	e := newEntry(processCtx, cfg)
	callers, err := listen(cfg.CallerAddress)
	if err != nil {
		return err
	}
	internal, err := listen(cfg.InternalAddress)
	if err != nil {
		callers.Close()
		return err
	}
	e.callersAddress = advertisedAddress(cfg.AdvertiseCallerAddress, callers)
	e.internalAddress = advertisedAddress(cfg.AdvertiseInternalAddress, internal)
	cfg.Log.Event(sqevent.Started, "entry", cfg.Name, cfg.Zone, e.callersAddress)
	if cfg.Ready != nil {
		cfg.Ready(callers.Addr().String(), internal.Addr().String())
	}
	return e.serveUntil(ctx, processCtx, cancelProcess, callers, internal)
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.BadSetting, Detail: "cannot listen on " + address, Advice: "choose a free ip:port of this VM", Cause: err,
		})
	}
	return l, nil
}

func advertisedAddress(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

func (e *entry) serveUntil(ctx, processCtx context.Context, cancelProcess func(), callers, internal net.Listener) error {
	callersServer, internalServer := e.callersServer(), e.internalServer()
	serveErrs := make(chan error, 2)
	go serve(callersServer, callers, serveErrs)
	go serve(internalServer, internal, serveErrs)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){e.watch.Run, e.pollLoop, e.usageLoop} {
		loops.Go(func() { loop(processCtx) })
	}
	var err error
	reason := "asked to stop"
	select {
	case <-ctx.Done():
		e.stopGracefully(callersServer)
	case err = <-serveErrs:
		reason = "a server failed"
	}
	e.cfg.Log.Event(sqevent.Stopping, "entry", e.cfg.Name, reason)
	shutdown(callersServer)
	e.flushFinalUsage()
	cancelProcess()
	loops.Wait()
	shutdown(internalServer)
	e.endpointClient.Close()
	e.cfg.Log.Event(sqevent.Stopped, "entry", e.cfg.Name)
	return err
}

func (e *entry) callersServer() *http.Server {
	t := e.cfg.Timings
	return &http.Server{
		Handler:           e.callersHandler(),
		ReadHeaderTimeout: t.HeaderTimeout,
		IdleTimeout:       t.IdleTimeout,
		MaxHeaderBytes:    maxNetHTTPHeaderBytes,
		ConnState:         newConnections(e.cfg.Limits.MaxConnections).onStateChange,
		ErrorLog:          discardLogger,
	}
}

func (e *entry) internalServer() *http.Server {
	t := e.cfg.Timings
	return &http.Server{
		Handler: e.internalHandler(), ReadHeaderTimeout: t.HeaderTimeout, ReadTimeout: t.BodyTimeout, IdleTimeout: t.IdleTimeout, ErrorLog: discardLogger,
		MaxHeaderBytes: maxNetHTTPHeaderBytes,
	}
}

func serve(s *http.Server, l net.Listener, errs chan<- error) {
	err := s.Serve(l)
	if err != nil && err != http.ErrServerClosed {
		errs <- sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "a listener failed", Cause: err})
	}
}

func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// discardLogger drops net/http's log lines: they are not numbered events, and
// they quote data sent by callers.
var discardLogger = log.New(io.Discard, "", 0)

// stopGracefully leaves the address list, waits until callers use other
// entries, and then until no request is running or the grace period is over.
func (e *entry) stopGracefully(server *http.Server) {
	e.cfg.Log.Event(sqevent.EntryLeaving, e.cfg.Name, e.cfg.Timings.AddressTTL.Milliseconds())
	e.leaving.Store(true)
	e.watch.RenewNow()
	graceTimer := time.After(e.cfg.Timings.DrainTimeout)
	e.awaitUnlisted()
	// Callers may have been given the address just before. Other entries learn
	// that this one is leaving only with their next renewal.
	addressTimer := time.After(e.cfg.Timings.AddressTTL + 2*e.cfg.Timings.RenewInterval)
	select {
	case <-addressTimer:
	case <-graceTimer:
	}
	e.refusing.Store(true)
	server.SetKeepAlivesEnabled(false)
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for e.active.requests.Load() > 0 {
		select {
		case <-t.C:
		case <-graceTimer:
			e.cancelRemaining()
			return
		}
	}
}

// awaitUnlisted waits until the holder's list shows this entry as leaving.
// During a change of holder, other entries still give this entry's address to
// callers, so a fixed time from the stop signal could end too early. The wait
// is bounded by the freshness lease: a holder that does not hear from this
// entry removes it from the list when the lease expires.
func (e *entry) awaitUnlisted() {
	leaseTimer := time.After(e.cfg.Timings.MaxFreshnessLease)
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for !e.unlisted() {
		select {
		case <-t.C:
		case <-leaseTimer:
			return
		}
	}
}

// unlisted reports whether the last known list of entries shows this entry as
// leaving or not at all.
func (e *entry) unlisted() bool {
	for _, v := range e.watch.View().Entries() {
		if v.GetEntry() == e.cfg.Name {
			return v.GetLeaving()
		}
	}
	return true
}

// cancelRemaining cancels the running and queued requests, and waits briefly so
// that their callers are told that the entry is stopping.
func (e *entry) cancelRemaining() {
	e.cfg.Log.Event(sqevent.EntryGraceExpired, e.cfg.Name, e.active.requests.Load())
	e.cancelGrace()
	time.Sleep(5 * stopPollInterval)
}

// graceExpired reports whether ctx belongs to a request that outlasted the
// grace period of a planned stop.
func graceExpired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// errStopping ends a request that outlasts the grace period of a planned stop.
var errStopping = sqerror.New(sqerror.Config{
	Kind: sqerror.Leaving, Detail: "the entry's stop grace is over", Execution: sqerror.MayHaveRun, RetryAfter: time.Millisecond,
})

func (e *entry) flushFinalUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), finalFlushTimeout)
	defer cancel()
	e.flushUsage(ctx)
}
