// Package sqgateway is the process that callers connect to when the system does
// not read what it passes on: it finds the route, checks the key, chooses an
// endpoint and relays the answer.
package sqgateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqretry"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlink"
	"sequoiadock/io/sqlocate"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// roleName is the role of the process in logs.
const roleName = "gateway"

const (
	// keepSeconds is for how long callers may keep a list of addresses. Some keep
	// it keepFactor times as long.
	keepSeconds = 1
	keepFactor  = 3
	// stopReservePercent is the part of the stop's time in which connections are
	// closed by force.
	stopReservePercent = 15
	// headerTimeout and idleTimeout bound callers that are slow or quiet. The
	// second is longer than any bound that operators declare.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// sweepEvery is the period of closing idle connections to endpoints.
	sweepEvery = 500 * time.Millisecond
)

// Config configures a gateway.
type Config struct {
	Name   string
	Zone   string
	Region string
	// The gateway listens on these addresses, each of the form "host:port".
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	InternalAddress  string
	// Seeds are the internal addresses of some coordinators.
	Seeds []string
	// Retry is the retry budget that all gateways share.
	Retry sqretry.Config
	// BillingWindow is the length of a billing window.
	BillingWindow time.Duration
	// GracePeriod is how long the process may take to stop.
	GracePeriod time.Duration
	Wire        sqcore.Wire
	// DirectoryHandler and ReadyHandler serve callers that ask where to connect and
	// the platform's question whether the process takes requests.
	DirectoryHandler func(d sqcore.Directory) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
	// SeedUpdates delivers new seeds when the settings change.
	SeedUpdates <-chan []string
	Log         *sqlog.Log
}

// gateway is the running process.
type gateway struct {
	cfg       Config
	run       string
	log       *sqlog.Log
	pool      *sqlink.Pool
	locator   *sqlocate.Locator
	client    *http.Client
	view      atomic.Pointer[view]
	leaving   atomic.Bool
	wake      chan struct{}
	meter     *meter
	startedAt time.Time
	// viewed is closed, by firstView, once the holder has first told the table and
	// the endpoints.
	viewed    chan struct{}
	firstView sync.Once

	// mu guards what follows.
	mu      sync.Mutex
	placer  *sqplace.Placer
	retry   *sqretry.Budget
	counter *sqwindow.Counter
	demand  map[string]*demand
	// unsent are prompt reads that no holder has taken yet; readsSeen is the last
	// one of other gateways that is known here.
	unsent    []*sqrpc.PromptRead
	readsSeen uint64
}

// Run runs a gateway until ctx ends.
func Run(ctx context.Context, cfg Config) error {
	g := newGateway(cfg)
	listeners, err := listenAll(cfg.CallerAddress, cfg.ReadyAddress, cfg.DirectoryAddress, cfg.InternalAddress)
	if err != nil {
		return err
	}
	return g.serve(ctx, listeners)
}

func newGateway(cfg Config) *gateway {
	var seed [8]byte
	// Read never fails: the runtime stops the program instead.
	_, _ = rand.Read(seed[:])
	g := &gateway{
		cfg: cfg, run: hex.EncodeToString(seed[:]), log: cfg.Log, pool: sqlink.NewPool(),
		locator: sqlocate.New(cfg.Seeds), wake: make(chan struct{}, 1),
		viewed:  make(chan struct{}),
		client:  sqhttp.Client(beatTimeout),
		placer:  sqplace.New(sqplace.Config{Zone: cfg.Zone, Seed: binary.LittleEndian.Uint64(seed[:])}),
		retry:   sqretry.New(sqclock.Now(), cfg.Retry),
		counter: sqwindow.NewCounter(cfg.BillingWindow),
		demand:  map[string]*demand{},
	}
	g.startedAt = sqclock.Now()
	g.view.Store(&view{heardAt: g.startedAt})
	g.meter = newMeter(g)
	return g
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addresses {
		ln, err := sqhttp.Listen(a)
		if err != nil {
			return nil, err
		}
		all = append(all, ln)
	}
	return all, nil
}

// serve runs the listeners and the loops until ctx ends and the stop is over.
func (g *gateway) serve(ctx context.Context, listeners []net.Listener) error {
	callers := &http.Server{
		Handler: g.callerRoutes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	servers := []*http.Server{
		callers,
		{Handler: g.cfg.ReadyHandler(g.ready), ReadHeaderTimeout: headerTimeout},
		{Handler: g.cfg.DirectoryHandler(g), ReadHeaderTimeout: headerTimeout},
		{Handler: g.internalRoutes(), ReadHeaderTimeout: headerTimeout},
	}
	failed := make(chan error, len(servers))
	for i, ln := range listeners {
		go func() { failed <- servers[i].Serve(ln) }()
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){g.beats, g.sweep, g.reload} {
		loops.Go(func() { loop(work) })
	}
	g.log.Event(sqevent.Started, roleName, g.cfg.Name, g.cfg.Zone, g.cfg.CallerAddress)
	var err error
	select {
	case <-ctx.Done():
		g.leave(callers)
	case err = <-failed:
	}
	stop()
	loops.Wait()
	for _, s := range servers {
		_ = s.Close()
	}
	g.log.Event(sqevent.Stopped, roleName, g.cfg.Name)
	return err
}

// leave stops the process without cutting a request: callers that have its
// address from the directory are still served for as long as they may keep it.
func (g *gateway) leave(callers *http.Server) {
	begun := sqclock.Now()
	g.leaving.Store(true)
	g.wakeUp()
	keep := min(keepSeconds*keepFactor*time.Second, g.cfg.GracePeriod/2)
	g.log.Event(sqevent.Stopping, roleName, g.cfg.Name, "signal")
	g.log.Event(sqevent.GatewayStops, keep.Milliseconds())
	ctx := context.Background()
	sqclock.Sleep(ctx, keep)
	most := g.cfg.GracePeriod*(100-stopReservePercent)/100 - sqclock.Now().Sub(begun)
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	if callers.Shutdown(ctx) != nil {
		g.log.Event(sqevent.RequestsCut, g.meter.running.Load())
	}
}

// callerRoutes returns what callers reach: every path.
func (g *gateway) callerRoutes() http.Handler {
	e := echo.New()
	e.Any("/*", echo.WrapHandler(http.HandlerFunc(g.handle)))
	return e
}

func (g *gateway) internalRoutes() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		g.meter.set.WritePrometheus(ctx.Response())
		return nil
	})
	return e
}

// sweep closes connections to endpoints that are idle for too long or gone.
func (g *gateway) sweep(ctx context.Context) {
	for sqclock.Sleep(ctx, sweepEvery) {
		v := g.view.Load()
		g.pool.Sweep(sqclock.Now(), func(endpoint string) bool { return v.listed[endpoint] })
	}
}

// reload takes new seeds.
func (g *gateway) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seeds := <-g.cfg.SeedUpdates:
			g.locator.Set(seeds)
			g.log.Event(sqevent.SettingsReloaded, roleName, seeds)
		}
	}
}
