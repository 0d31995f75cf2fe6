// Package sqgateway implements the gateway, the reverse proxy that callers connect
// to in deployments that do not inspect request bodies. For each request it finds
// the route, checks the API key, chooses an endpoint and forwards the response.
package sqgateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqdirectory"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqfreshness"
	"sequoiadock/core/sqorigin"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqplacement"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqquota"
	"sequoiadock/core/sqretry"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlink"
	"sequoiadock/io/sqlocate"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmemory"
	"sequoiadock/io/sqrpc"
)

// roleName is the value of the "role" field in log events.
const roleName = "gateway"

const (
	// addressTTLSeconds is how long callers may cache the addresses that the
	// directory returns. Some cache them addressTTLOverrunFactor times as long.
	addressTTLSeconds       = 1
	addressTTLOverrunFactor = 3
	// headerTimeout limits the time to read the headers of a request, and
	// idleTimeout the idle time of a caller's connection. idleTimeout is longer
	// than any limit that operators declare.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
	// listAgePercent is the part of DrainTimeout for which a list of endpoints is used; in
	// the rest, the requests that were sent by it arrive.
	listAgePercent = 80
	// supersededPercent is the part of TableApplyTimeout for which a table is used after it
	// was last known to be the newest, if a newer one is known. The rest covers requests
	// that are being handled at the end.
	supersededPercent = 80
	// sweepInterval is the time between two calls of Pool.CloseIdle, which closes
	// idle connections to endpoints.
	sweepInterval = 500 * time.Millisecond
)

// Config configures a gateway.
type Config struct {
	Name   string
	Zone   string
	Region string
	// The gateway listens on these addresses, each of the form "host:port".
	CallerAddress    string
	ReadinessAddress string
	DirectoryAddress string
	InternalAddress  string
	// Seeds are the internal addresses of some coordinators, from which the gateway
	// learns those of the others.
	Seeds []string
	// Retry is the retry budget that all gateways share.
	Retry sqretry.Config
	// BillingWindow is the length of a billing window.
	BillingWindow time.Duration
	// Quota is how far all gateways together may exceed a team's quota.
	Quota sqquota.Bounds
	// StopGracePeriod is the maximum duration of a graceful shutdown.
	StopGracePeriod time.Duration
	// TableApplyTimeout is the time within which an acknowledged routing table is in force
	// at all gateways.
	TableApplyTimeout time.Duration
	// DrainTimeout is the time after which an endpoint that is listed as draining gets no
	// more requests. 0 sets no bound.
	DrainTimeout time.Duration
	// MemoryBytes is the memory that the process may use, and MaxDescriptors how many
	// descriptors it may have open. 0 stands for the defaults of sqhttp.GuardConfig.
	MemoryBytes    int64
	MaxDescriptors int
	// LimitedMemory is set if endpoints fail when the requests that they hold exceed their
	// memory. MaxEndpointBodyBytes then bounds the bytes of request bodies that all gateways
	// have in flight at one endpoint.
	LimitedMemory        bool
	MaxEndpointBodyBytes int
	Wire                 sqcore.Wire
	// DirectoryHandler returns the handler that tells callers the gateways'
	// addresses. ReadyHandler returns the handler of the platform's readiness probe.
	DirectoryHandler func(d sqcore.Directory) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
	// VM holds the resources of the gateway's VM.
	VM sqdirectory.VM
	// SeedUpdates delivers the new seeds when the settings change.
	SeedUpdates <-chan []string
	Log         *sqlog.Log
}

// gateway is the state of the running process.
type gateway struct {
	cfg Config
	// runID identifies this start of the process. It is chosen at random.
	runID             string
	log               *sqlog.Log
	pool              *sqlink.Pool
	locator           *sqlocate.Locator
	coordinatorClient *http.Client
	responseMemory    *sqmemory.Pool
	guard             *sqhttp.Guard
	// view is replaced with viewMu held; freshness says until when it may be used.
	view             atomic.Pointer[view]
	viewMu           sync.Mutex
	freshness        *sqfreshness.Lease
	awaitedTables    chan awaitedTable
	shuttingDown     atomic.Bool
	stop             gracefulStop
	heartbeatTrigger chan struct{}
	// heartbeatSoon is true while a heartbeat is scheduled before the next one is due.
	heartbeatSoon atomic.Bool
	metrics       *gatewayMetrics
	utilization   *utilization
	quotas        *quotaGate
	startedAt     time.Time
	// firstViewReceived is closed once the lease holder has sent a routing table and
	// a list of endpoints; firstViewOnce closes it only once.
	firstViewReceived chan struct{}
	firstViewOnce     sync.Once

	// mu guards the fields below.
	mu              sync.Mutex
	placer          *sqplace.Placer
	beats           beatLog
	retryBudget     *sqretry.Budget
	billingCounter  *sqwindow.Counter
	evidence        *sqquarantine.Evidence
	demandByService map[string]*demand
	// origins holds where the streams began that began at this gateway.
	origins *sqorigin.Log
	// unsentCacheUpdates holds the cache updates of this gateway that no lease holder
	// has acknowledged. lastSeenCacheUpdate is the number of the last update that
	// was received from other gateways.
	unsentCacheUpdates  []*sqrpc.CacheUpdate
	lastSeenCacheUpdate uint64
}

// Run runs a gateway until ctx ends and the graceful shutdown is complete. It
// returns an error if an address cannot be listened on or a server fails.
func Run(ctx context.Context, cfg Config) error {
	g := newGateway(cfg)
	debug.SetMemoryLimit(g.guard.GCLimit())
	listeners, err := listenAll(cfg.CallerAddress, cfg.ReadinessAddress, cfg.DirectoryAddress, cfg.InternalAddress)
	if err != nil {
		return err
	}
	return g.serve(ctx, listeners)
}

func newGateway(cfg Config) *gateway {
	var seed [8]byte
	// Read never returns an error: the runtime aborts the program instead.
	_, _ = rand.Read(seed[:])
	g := &gateway{
		cfg: cfg, runID: hex.EncodeToString(seed[:]), log: cfg.Log, pool: sqlink.NewPool(),
		responseMemory: sqmemory.NewPool(maxTotalKeptBytes),
		locator:        sqlocate.New(cfg.Seeds), heartbeatTrigger: make(chan struct{}, 1),
		firstViewReceived: make(chan struct{}),
		freshness:         sqfreshness.New(sqfreshness.Config{MaxSuperseded: cfg.TableApplyTimeout * supersededPercent / 100}),
		awaitedTables:     make(chan awaitedTable, 1),
		coordinatorClient: sqhttp.NewClient(sqhttp.ClientConfig{Timeout: heartbeatTimeout}),
		beats:             newBeatLog(),
		placer: sqplace.New(sqplace.Config{
			Zone: cfg.Zone, Seed: binary.LittleEndian.Uint64(seed[:]), MaxListAge: cfg.DrainTimeout * listAgePercent / 100,
			LimitedMemory: cfg.LimitedMemory, MaxEndpointBodyBytes: cfg.MaxEndpointBodyBytes,
		}),
		retryBudget:     sqretry.New(sqclock.Now(), cfg.Retry),
		billingCounter:  sqwindow.NewCounter(cfg.BillingWindow),
		evidence:        sqquarantine.NewEvidence(sqclock.Now()),
		demandByService: map[string]*demand{},
		origins:         sqorigin.NewLog(maxOrigins),
		quotas:          newQuotaGate(cfg.Quota),
	}
	g.stop.grace, g.stop.endGrace = context.WithCancel(context.Background())
	g.utilization = newUtilization(cfg.VM)
	g.pool.CountTraffic(g.utilization.traffic)
	g.startedAt = sqclock.Now()
	g.view.Store(&view{lastHeardAt: g.startedAt})
	g.metrics = newGatewayMetrics(g)
	g.guard = sqhttp.NewGuard(sqhttp.GuardConfig{MemoryBytes: cfg.MemoryBytes, MaxDescriptors: cfg.MaxDescriptors, Metrics: g.metrics.set, Log: cfg.Log})
	return g
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		ln, err := sqhttp.ListenBuffered(a, socketBuffers())
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, ln)
	}
	return listeners, nil
}

// serve runs the servers and the background loops until ctx ends and the graceful
// shutdown is complete, or until a server fails.
func (g *gateway) serve(ctx context.Context, listeners []net.Listener) error {
	servers := g.newServers()
	callerServer := servers[0]
	serveErrs := make(chan error, len(servers))
	for i, ln := range listeners {
		go func() { serveErrs <- servers[i].Serve(ln) }()
	}
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){g.runHeartbeats, g.fetchTables, g.sweepConnections, g.applySeedUpdates, g.utilization.measure} {
		loops.Go(func() { loop(loopCtx) })
	}
	g.log.Event(sqevent.Started, roleName, g.cfg.Name, g.cfg.Zone, g.cfg.CallerAddress)
	var err error
	select {
	case <-ctx.Done():
		g.shutDown(callerServer, listeners[0])
	case err = <-serveErrs:
	}
	stopLoops()
	loops.Wait()
	for _, s := range servers {
		_ = s.Close()
	}
	g.log.Event(sqevent.Stopped, roleName, g.cfg.Name)
	return err
}

// callerHandler returns the handler of callers' requests. It takes all paths.
func (g *gateway) callerHandler() http.Handler {
	e := echo.New()
	e.Any("/*", echo.WrapHandler(http.HandlerFunc(g.handle)))
	return e
}

// internalHandler returns the handler of internal requests, which serves the metrics and
// explains placements.
func (g *gateway) internalHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		g.metrics.set.WritePrometheus(ctx.Response())
		return nil
	})
	e.POST(sqplacement.Path, g.servePlacement)
	return e
}

// sweepConnections closes, at each sweepInterval, the connections that have been
// idle for too long or whose endpoint is no longer listed.
func (g *gateway) sweepConnections(ctx context.Context) {
	for sqclock.Sleep(ctx, sweepInterval) {
		v := g.view.Load()
		g.pool.CloseIdle(sqclock.Now(), func(endpoint string) bool { return v.endpointIDs[endpoint] })
	}
}

// applySeedUpdates replaces the seeds whenever the settings change.
func (g *gateway) applySeedUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seeds := <-g.cfg.SeedUpdates:
			g.locator.SetAddresses(seeds)
			g.log.Event(sqevent.SettingsReloaded, roleName, seeds)
		}
	}
}
