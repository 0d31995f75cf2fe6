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
	// stopPoll is how often a stopping entry looks whether work is left.
	stopPoll = 20 * time.Millisecond
	// flushTime bounds the last usage batch.
	flushTime = 5 * time.Second
	// shutdownTime bounds the close of the servers once no work is left.
	shutdownTime = time.Second
)

// Run serves callers until ctx ends, then stops gracefully: it leaves the
// address list, goes on accepting for the time that callers keep addresses, and
// finishes what runs. Errors are of type *sqerror.Error.
func Run(ctx context.Context, cfg Config) error {
	cfg.setDefaults()
	life, end := context.WithCancel(context.Background())
	defer end()
	e := newEntry(life, cfg)
	callers, err := listen(cfg.CallersListen)
	if err != nil {
		return err
	}
	internal, err := listen(cfg.InternalListen)
	if err != nil {
		callers.Close()
		return err
	}
	e.callers = advertised(cfg.CallersAdvertise, callers)
	e.internal = advertised(cfg.InternalAdvertise, internal)
	cfg.Log.Event(sqevent.Started, "entry", cfg.Name, cfg.Zone, e.callers)
	if cfg.Ready != nil {
		cfg.Ready(callers.Addr().String(), internal.Addr().String())
	}
	return e.serveUntil(ctx, life, end, callers, internal)
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

func advertised(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

func (e *entry) serveUntil(ctx, life context.Context, end func(), callers, internal net.Listener) error {
	front, back := e.callersServer(), e.internalServer()
	failed := make(chan error, 2)
	go serve(front, callers, failed)
	go serve(back, internal, failed)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){e.watch.Run, e.pollLoop, e.usageLoop} {
		loops.Go(func() { loop(life) })
	}
	var err error
	reason := "asked to stop"
	select {
	case <-ctx.Done():
		e.stop(front)
	case err = <-failed:
		reason = "a server failed"
	}
	e.cfg.Log.Event(sqevent.Stopping, "entry", e.cfg.Name, reason)
	shutdown(front)
	e.flushLast()
	end()
	loops.Wait()
	shutdown(back)
	e.client.Close()
	e.cfg.Log.Event(sqevent.Stopped, "entry", e.cfg.Name)
	return err
}

func (e *entry) callersServer() *http.Server {
	t := e.cfg.Timings
	return &http.Server{
		Handler:           e.callersHandler(),
		ReadHeaderTimeout: t.Header,
		IdleTimeout:       t.Idle,
		MaxHeaderBytes:    hardHeader,
		ConnState:         newConnections(e.cfg.Limits.Connections).changed,
		ErrorLog:          silent,
	}
}

func (e *entry) internalServer() *http.Server {
	t := e.cfg.Timings
	return &http.Server{
		Handler: e.internalHandler(), ReadHeaderTimeout: t.Header, ReadTimeout: t.Body, IdleTimeout: t.Idle, ErrorLog: silent,
	}
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	err := s.Serve(l)
	if err != nil && err != http.ErrServerClosed {
		failed <- sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "a listener failed", Cause: err})
	}
}

func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// silent drops net/http's own lines: they are no numbered events, and they
// quote what callers sent.
var silent = log.New(io.Discard, "", 0)

// stop leaves the address list, waits until callers have gone elsewhere, and
// then until nothing runs or the grace is over.
func (e *entry) stop(front *http.Server) {
	e.cfg.Log.Event(sqevent.EntryLeaving, e.cfg.Name, e.cfg.Timings.Keep.Milliseconds())
	e.leaving.Store(true)
	e.watch.RenewNow()
	grace := time.After(e.cfg.Timings.StopGrace)
	e.awaitUnlisted()
	// Callers may hold an address that was told just before; other entries hear
	// of the leaving with their next renewal.
	keep := time.After(e.cfg.Timings.Keep + 2*e.cfg.Timings.WatchEvery)
	select {
	case <-keep:
	case <-grace:
	}
	e.closed.Store(true)
	front.SetKeepAlivesEnabled(false)
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for e.running.count.Load() > 0 {
		select {
		case <-t.C:
		case <-grace:
			e.endRest()
			return
		}
	}
}

// awaitUnlisted waits until the holder's list shows the leaving. While the
// holder changes, other entries still tell this entry's address to callers; a
// time counted from the signal would then end too early. A holder that does not
// hear from this entry takes it off the list when its lease ends.
func (e *entry) awaitUnlisted() {
	gone := time.After(e.cfg.Timings.Fresh)
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for !e.unlisted() {
		select {
		case <-t.C:
		case <-gone:
			return
		}
	}
}

// unlisted reports whether the list of entries, as last heard, shows the leaving.
func (e *entry) unlisted() bool {
	for _, v := range e.watch.View().Entries() {
		if v.GetEntry() == e.cfg.Name {
			return v.GetLeaving()
		}
	}
	return true
}

// endRest tells the callers of what still runs or waits that the entry stops.
func (e *entry) endRest() {
	e.cfg.Log.Event(sqevent.EntryGraceExpired, e.cfg.Name, e.running.count.Load())
	e.endGrace()
	time.Sleep(5 * stopPoll)
}

// graceOver reports whether ctx is that of a request which outlasted the grace
// of a planned stop.
func graceOver(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// errStopping ends a request that runs beyond the grace of a planned stop.
var errStopping = sqerror.New(sqerror.Config{
	Kind: sqerror.Leaving, Detail: "the entry's stop grace is over", Execution: sqerror.MayHaveRun, RetryAfter: time.Millisecond,
})

func (e *entry) flushLast() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	e.flushUsage(ctx)
}
