package sqcontrol

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqreplica"
	"sequoiadock/io/sqrpc"
)

const (
	// readTimeout bounds the reading of a call, and maxHeaderBytes its headers.
	readTimeout    = 10 * time.Second
	maxHeaderBytes = 16 << 10
)

// processRole is the role of the process in logs.
const processRole = "control"

// Run runs a control process until ctx ends or its disk fails.
func Run(ctx context.Context, cfg Config) error {
	if cfg.AdvertiseAddress == "" {
		cfg.AdvertiseAddress = cfg.ListenAddress
	}
	machine := sqmachine.New()
	transport := sqreplica.NewPeerTransport(sqreplica.TransportConfig{Log: cfg.Log})
	defer transport.Close()
	replicaMetrics := metrics.NewSet()
	r, err := sqreplica.Open(sqreplica.Config{
		Name: cfg.Name, Zone: cfg.Zone, Address: cfg.AdvertiseAddress, DataFolder: cfg.DataFolder,
		Deployment: cfg.Deployment, StateMachine: machine, Transport: transport, Log: cfg.Log, Metrics: replicaMetrics,
		HeartbeatInterval: cfg.Timings.HeartbeatInterval, ElectionTimeout: cfg.Timings.ElectionTimeout, LeaseDuration: cfg.Timings.LeaseDuration,
	})
	if err != nil {
		return err
	}
	ln, err := sqhttp.Listen(cfg.ListenAddress)
	if err != nil {
		return err
	}
	h := newHolder(cfg, r, machine)
	s := &server{cfg: cfg, replica: r, machine: machine, holder: h, metrics: replicaMetrics}
	return serve(ctx, cfg, ln, s)
}

// serve runs the listener, the replica and the holder. If one of them fails, the
// others stop.
func serve(ctx context.Context, cfg Config, ln net.Listener, s *server) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	srv := &http.Server{Handler: routes(s), ReadHeaderTimeout: callTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			cancel(err)
		}
	})
	// The replica keeps running while the server finishes requests in progress.
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	wg.Go(func() {
		if err := s.replica.Run(replicaCtx); err != nil {
			cancel(err)
		}
	})
	holderDone := make(chan struct{})
	wg.Go(func() {
		defer close(holderDone)
		s.holder.run(ctx)
	})
	cfg.Log.Event(sqevent.Started, processRole, cfg.Name, cfg.Zone, ln.Addr().String())
	if cfg.Ready != nil {
		cfg.Ready(ln.Addr().String())
	}
	<-ctx.Done()
	cfg.Log.Event(sqevent.Stopping, processRole, cfg.Name, context.Cause(ctx).Error())
	<-holderDone
	s.holder.handOverOnStop()
	sqhttp.Shutdown(srv, stopTimeout)
	stopReplica()
	wg.Wait()
	cfg.Log.Event(sqevent.Stopped, processRole, cfg.Name)
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// routes returns the handler of all paths that the process serves.
func routes(s *server) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	control := sqrpc.NewControlServer(s)
	peer := sqrpc.NewPeerServer(sqreplica.NewPeerServer(s.replica))
	e.Any(control.PathPrefix()+"*", echo.WrapHandler(control))
	e.Any(peer.PathPrefix()+"*", echo.WrapHandler(peer))
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		s.metrics.WritePrometheus(c.Response())
		s.holder.metrics.set.WritePrometheus(c.Response())
		return nil
	})
	return e
}
