// Package sqcoordinator is the process that keeps the replicated state of a
// deployment whose gateways pass on requests that they do not read. The one that
// holds the lease answers operators, tells gateways what is in force, reads the
// platform's list, reports usage and orders endpoints.
package sqcoordinator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqguard"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlocate"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqreplica"
	"sequoiadock/io/sqrpc"
)

// roleName is the role of the process in logs.
const roleName = "coordinator"

const (
	// callTimeout bounds one call to another process or to the platform.
	callTimeout = 800 * time.Millisecond
	// proposeTimeout bounds a commit.
	proposeTimeout = 2 * time.Second
	// stopTimeout bounds the end of calls that run when the process stops.
	stopTimeout = 1 * time.Second
	// diskRetry is how long a process waits before it opens a disk that failed.
	diskRetry = 1 * time.Second
	// headerTimeout bounds the headers of a call.
	headerTimeout = 5 * time.Second
)

// Times of the group. They are shorter than the replica's own defaults: gateways
// must hear a new holder well before they lose their freshness leases.
const (
	heartbeat = 100 * time.Millisecond
	election  = 700 * time.Millisecond
	lease     = 600 * time.Millisecond
	// electionSpread keeps few replicas a few milliseconds apart from standing for
	// election at the same time.
	electionSpread = 300 * time.Millisecond
)

// deployment is the name that all replicas of a group share.
const deployment = "gateways"

// Config configures a coordinator.
type Config struct {
	Name string
	Zone string
	// InternalAddress is where other processes call, Operators where operators do.
	InternalAddress string
	OperatorAddress string
	DataFolder      string
	// Seeds are the internal addresses of some coordinators. If FirstStart is set,
	// they are the first members of the group.
	Seeds      []string
	FirstStart bool
	// TargetVoters is how many replicas shall have a vote.
	TargetVoters int
	// FreshnessLease is for how long a gateway may act on an answer.
	FreshnessLease time.Duration
	// TakeoverDelay is how long a new holder waits before it calls the platform.
	TakeoverDelay time.Duration
	// BillingWindow is the length of a billing window.
	BillingWindow time.Duration
	Wire          sqcore.Wire
	// NewPlatform makes the clients of the platform and the engines; plain and guarded are
	// the HTTP clients that they use.
	NewPlatform func(plain *http.Client, guarded func(term uint64) *http.Client) (sqcore.Platform, sqcore.Engines)
	// OperatorHandler serves operators.
	OperatorHandler func(d sqcore.Declarations) http.Handler
	// SeedUpdates delivers new seeds when the settings change.
	SeedUpdates <-chan []string
	Log         *sqlog.Log
}

// coordinator is the running process.
type coordinator struct {
	cfg      Config
	replica  *sqreplica.Replica
	machine  *sqmachine.Machine
	platform sqcore.Platform
	engines  sqcore.Engines
	locator  *sqlocate.Locator
	client   *http.Client
	log      *sqlog.Log
	metrics  *metrics.Set

	// seeds are those of the settings in force.
	seeds atomic.Pointer[[]string]

	mu     sync.Mutex
	tenure *tenure
}

// Run runs a coordinator until ctx ends. When its disk fails, it takes part in
// nothing and tries again: a full disk may be emptied, a stalled one come back.
func Run(ctx context.Context, cfg Config) error {
	for {
		err := run(ctx, cfg)
		if kind := sqerror.KindOf(err); kind != sqerror.DiskFailed && kind != sqerror.DamagedFile {
			return err
		}
		cfg.Log.Event(sqevent.DiskRetried, err.Error(), diskRetry.Milliseconds())
		if !sqclock.Sleep(ctx, diskRetry) {
			return nil
		}
	}
}

func run(ctx context.Context, cfg Config) error {
	c := &coordinator{
		cfg: cfg, machine: sqmachine.New(), locator: sqlocate.New(cfg.Seeds), log: cfg.Log,
		client:  sqhttp.Client(callTimeout),
		metrics: metrics.NewSet(),
	}
	c.seeds.Store(&cfg.Seeds)
	c.registerGauges()
	c.platform, c.engines = cfg.NewPlatform(c.client, c.guarded)
	transport := sqreplica.NewPeerTransport(sqreplica.TransportConfig{Log: cfg.Log})
	defer transport.Close()
	var err error
	c.replica, err = sqreplica.Open(sqreplica.Config{
		Name: cfg.Name, Zone: cfg.Zone, Address: cfg.InternalAddress, Folder: cfg.DataFolder, Deployment: deployment,
		Machine: c.machine, Transport: transport, Log: cfg.Log, Metrics: c.metrics,
		Heartbeat: heartbeat, ElectionTimeout: election, Lease: lease, ElectionSpread: electionSpread,
		TrustPromises: true,
	})
	if err != nil {
		return err
	}
	internal, err := sqhttp.Listen(cfg.InternalAddress)
	if err != nil {
		return err
	}
	operators, err := sqhttp.Listen(cfg.OperatorAddress)
	if err != nil {
		_ = internal.Close()
		return err
	}
	return c.serve(ctx, internal, operators)
}

// serve runs the listeners, the replica and the duties together; the first that
// ends with an error ends the others.
func (c *coordinator) serve(ctx context.Context, internal, operators net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	servers := []*http.Server{
		{Handler: c.internalRoutes(), ReadHeaderTimeout: headerTimeout},
		{Handler: c.cfg.OperatorHandler(c), ReadHeaderTimeout: headerTimeout},
	}
	var wg sync.WaitGroup
	for i, ln := range []net.Listener{internal, operators} {
		wg.Go(func() {
			if err := servers[i].Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
				cancel(err)
			}
		})
	}
	// The replica goes on while the servers answer what they have begun.
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	wg.Go(func() {
		if err := c.replica.Run(replicaCtx); err != nil {
			cancel(err)
		}
	})
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){c.found, c.announce, c.keepMembers, c.readList, c.reportUsage, c.orderEndpoints, c.logLoads, c.reload} {
		loops.Go(func() { loop(ctx) })
	}
	c.log.Event(sqevent.Started, roleName, c.cfg.Name, c.cfg.Zone, internal.Addr().String())
	<-ctx.Done()
	c.log.Event(sqevent.Stopping, roleName, c.cfg.Name, context.Cause(ctx).Error())
	loops.Wait()
	c.handOver()
	for _, s := range servers {
		sqhttp.Shutdown(s, stopTimeout)
	}
	stopReplica()
	wg.Wait()
	c.log.Event(sqevent.Stopped, roleName, c.cfg.Name)
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// handOver lets another replica lead at once instead of after an election.
func (c *coordinator) handOver() {
	if _, _, held := c.replica.Authority(sqclock.Now()); !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := c.replica.HandOver(ctx); err != nil {
		c.log.Event(sqevent.ReplicaKeptLead, err.Error())
	}
}

// internalRoutes returns what other processes call.
func (c *coordinator) internalRoutes() http.Handler {
	e := echo.New()
	service := sqrpc.NewCoordinatorServer(c)
	peer := sqrpc.NewPeerServer(sqreplica.NewPeerServer(c.replica))
	e.Any(service.PathPrefix()+"*", echo.WrapHandler(service))
	e.Any(peer.PathPrefix()+"*", echo.WrapHandler(peer))
	e.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		c.metrics.WritePrometheus(ctx.Response())
		return nil
	})
	return e
}

// guarded returns a client whose writes are covered by the lease of one term.
func (c *coordinator) guarded(term uint64) *http.Client {
	lease := func(now time.Time) (time.Time, bool) {
		current, until, held := c.replica.Authority(now)
		return until, held && current == term
	}
	return sqguard.New(sqguard.Config{Lease: lease, Now: sqclock.Now, Timeout: callTimeout, Fenced: true}).Client()
}

// every calls f in each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	for sqclock.Sleep(ctx, period) {
		f()
	}
}

// reload takes new seeds.
func (c *coordinator) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seeds := <-c.cfg.SeedUpdates:
			c.seeds.Store(&seeds)
			c.locator.Set(seeds)
			c.log.Event(sqevent.SettingsReloaded, roleName, seeds)
		}
	}
}
