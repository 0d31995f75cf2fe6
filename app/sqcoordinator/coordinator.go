// Package sqcoordinator runs a coordinator, a process that replicates the state of
// a deployment whose gateways forward requests without interpreting them. The
// coordinator that holds the lease serves operators, sends gateways the routing table
// and the endpoints in force, polls the platform's list of endpoints, reports usage
// and orders endpoints.
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
	"sequoiadock/core/sqduty"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqquota"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqdisk"
	"sequoiadock/io/sqguard"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlocate"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqreplica"
	"sequoiadock/io/sqrpc"
)

// roleName is the name of the process's role in logs.
const roleName = "coordinator"

const (
	// callTimeout bounds one call to another process or to the platform.
	callTimeout = 800 * time.Millisecond
	// proposeTimeout bounds the commit of one command.
	proposeTimeout = 2 * time.Second
	// stopTimeout bounds the transfer of leadership, and the wait for each server's
	// running calls, when the process stops.
	stopTimeout = 1 * time.Second
	// diskRetryInterval is how long the process waits before it opens a failed disk again.
	diskRetryInterval = 1 * time.Second
	// headerTimeout bounds the reading of a call's headers.
	headerTimeout = 5 * time.Second
)

// Raft timings of the group. They are shorter than the defaults of sqreplica, since
// gateways must hear from a new lease holder well before their freshness leases expire.
const (
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	leaseDuration     = 600 * time.Millisecond
	// electionJitter keeps a small number of replicas, a few milliseconds of latency
	// apart, from starting elections at the same time.
	electionJitter = 300 * time.Millisecond
)

// deploymentName is the deployment name that all replicas of a group share.
const deploymentName = "gateways"

// Config configures a coordinator.
type Config struct {
	Name string
	Zone string
	// InternalAddress is the host:port for other processes, OperatorAddress the
	// host:port for operators.
	InternalAddress string
	OperatorAddress string
	DataFolder      string
	// FS, when set, is used instead of DataFolder.
	FS sqdisk.FS
	// Seeds are the internal addresses of some coordinators. If FirstStart is set,
	// they become the first members of the group.
	Seeds      []string
	FirstStart bool
	// TargetVoters is the number of voters that the group should have.
	TargetVoters int
	// FreshnessLease is how long a gateway may act on the response to a heartbeat.
	FreshnessLease time.Duration
	// TakeoverDelay is how long a new lease holder waits before it reports usage and
	// orders endpoints.
	TakeoverDelay time.Duration
	// FencedReceivers is set if the platform and the engines refuse calls with a lower
	// fencing token than they have seen. Otherwise the times of package sqduty alone keep
	// an earlier holder's calls from taking effect late.
	FencedReceivers bool
	// BillingWindow is the length of a billing window.
	BillingWindow time.Duration
	// Quota is how far all gateways together may exceed a team's quota.
	Quota sqquota.Bounds
	Wire  sqcore.Wire
	// LimitedMemory is set if endpoints fail when the requests that they hold exceed their
	// memory.
	LimitedMemory bool
	// NewPlatform returns clients of the platform and of the engines. They use the HTTP
	// client plain, and guarded for calls that need the lease of a term.
	NewPlatform func(plain *http.Client, guarded func(term uint64) *http.Client) (sqcore.Platform, sqcore.Engines)
	// OperatorHandler returns the HTTP handler for operators.
	OperatorHandler func(d sqcore.Declarations) http.Handler
	// MemoryBytes is the memory that the process may use, and MaxDescriptors how many
	// descriptors it may have open. 0 stands for the defaults of sqhttp.GuardConfig.
	MemoryBytes    int64
	MaxDescriptors int
	// SeedUpdates delivers the new seeds when the settings change.
	SeedUpdates <-chan []string
	Log         *sqlog.Log
}

// coordinator is the state of a running coordinator process.
type coordinator struct {
	cfg          Config
	replica      *sqreplica.Replica
	stateMachine *sqmachine.StateMachine
	platform     sqcore.Platform
	engines      sqcore.Engines
	locator      *sqlocate.Locator
	client       *http.Client
	log          *sqlog.Log
	metrics      *metrics.Set
	// quotaGranted and quotaRefused count the answers to GrantQuota.
	quotaGranted, quotaRefused *metrics.Counter

	// seeds points to the seeds of the settings in force.
	seeds atomic.Pointer[[]string]

	// tables holds what gateways fetch of the routing table.
	tables tableStore

	// quarantineDecisions passes decisions to commitQuarantines.
	quarantineDecisions chan sqquarantine.Decision

	// parsingTable is held while a table of an operator is parsed, which takes many times
	// its length in memory.
	parsingTable sync.Mutex

	// noWatchdogLogged makes the process log only once that the kernel has no timers.
	noWatchdogLogged sync.Once

	mu        sync.Mutex
	termState *termState
}

// Run runs a coordinator until ctx ends. If its disk fails or holds a damaged file,
// the coordinator takes no part in the group until it starts again after
// diskRetryInterval: a full disk may be freed, and a stalled one may recover.
func Run(ctx context.Context, cfg Config) error {
	for {
		err := run(ctx, cfg)
		if kind := sqerror.KindOf(err); kind != sqerror.DiskFailed && kind != sqerror.DamagedFile {
			return err
		}
		cfg.Log.Event(sqevent.DiskReopening, err.Error(), diskRetryInterval.Milliseconds())
		if !sqclock.Sleep(ctx, diskRetryInterval) {
			return nil
		}
	}
}

func run(ctx context.Context, cfg Config) error {
	c := &coordinator{
		cfg: cfg, stateMachine: sqmachine.New(), locator: sqlocate.New(cfg.Seeds), log: cfg.Log,
		client:  sqhttp.NewClient(sqhttp.ClientConfig{Timeout: callTimeout}),
		metrics: metrics.NewSet(), quarantineDecisions: make(chan sqquarantine.Decision, 1),
	}
	c.seeds.Store(&cfg.Seeds)
	c.registerGauges()
	c.platform, c.engines = cfg.NewPlatform(c.client, c.leaseGuardedClient)
	transport := sqreplica.NewPeerTransport(sqreplica.TransportConfig{Log: cfg.Log, MaxQueuedBytes: maxQueuedBytes})
	defer transport.Close()
	var err error
	c.replica, err = sqreplica.Open(sqreplica.Config{
		Name: cfg.Name, Zone: cfg.Zone, Address: cfg.InternalAddress, DataFolder: cfg.DataFolder, FS: cfg.FS, Deployment: deploymentName,
		StateMachine: c.stateMachine, Transport: transport, Log: cfg.Log, Metrics: c.metrics,
		HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, LeaseDuration: leaseDuration, ElectionJitter: electionJitter,
		SkipLeaseWait: true,
	})
	if err != nil {
		return err
	}
	internalListener, err := sqhttp.ListenBuffered(cfg.InternalAddress, socketBuffers())
	if err != nil {
		return err
	}
	operatorListener, err := sqhttp.ListenBuffered(cfg.OperatorAddress, socketBuffers())
	if err != nil {
		_ = internalListener.Close()
		return err
	}
	return c.serve(ctx, internalListener, operatorListener)
}

// serve runs the servers, the replica and the background loops until ctx ends. The
// first server or replica that ends with an error stops all the others.
func (c *coordinator) serve(ctx context.Context, internalListener, operatorListener net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	servers := c.newServers()
	var wg sync.WaitGroup
	for i, ln := range []net.Listener{internalListener, operatorListener} {
		wg.Go(func() {
			if err := servers[i].Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
				cancel(err)
			}
		})
	}
	// The replica keeps running while the servers finish the calls in progress.
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	wg.Go(func() {
		if err := c.replica.Run(replicaCtx); err != nil {
			cancel(err)
		}
	})
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){c.bootstrap, c.announce, c.updateMembers, c.pollEndpoints, c.reportUsage, c.manageCapacity, c.logLoads, c.updateSeeds, c.commitQuarantines, c.loadQuotas} {
		loops.Go(func() { loop(ctx) })
	}
	c.log.Event(sqevent.Started, roleName, c.cfg.Name, c.cfg.Zone, internalListener.Addr().String())
	<-ctx.Done()
	c.log.Event(sqevent.Stopping, roleName, c.cfg.Name, context.Cause(ctx).Error())
	loops.Wait()
	c.transferLeadership()
	for _, s := range servers {
		sqhttp.Shutdown(s.Server, stopTimeout)
	}
	stopReplica()
	wg.Wait()
	c.log.Event(sqevent.Stopped, roleName, c.cfg.Name)
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// transferLeadership transfers the leadership if this process holds the lease, so that
// another replica leads at once instead of after an election timeout.
func (c *coordinator) transferLeadership() {
	if _, _, held := c.replica.Lease(sqclock.Now()); !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx); err != nil {
		c.log.Event(sqevent.ReplicaTransferFailed, err.Error())
	}
}

// internalHandler returns the HTTP handler for other processes.
func (c *coordinator) internalHandler() http.Handler {
	e := echo.New()
	coordinatorServer := sqrpc.NewCoordinatorServer(c)
	peerServer := sqrpc.NewPeerServer(sqreplica.NewPeerServer(c.replica))
	e.Any(coordinatorServer.PathPrefix()+"*", echo.WrapHandler(coordinatorServer))
	e.Any(peerServer.PathPrefix()+"*", echo.WrapHandler(peerServer))
	e.GET("/metrics", func(ctx echo.Context) error {
		metrics.WritePrometheus(ctx.Response(), true)
		c.metrics.WritePrometheus(ctx.Response())
		return nil
	})
	return e
}

// leaseGuardedClient returns a client that writes only under the lease of the term.
func (c *coordinator) leaseGuardedClient(term uint64) *http.Client {
	currentLease := func(now time.Time) (time.Time, bool) {
		currentTerm, validUntil, held := c.replica.Lease(now)
		return validUntil, held && currentTerm == term
	}
	cfg := sqguard.Config{
		Lease: currentLease, Now: sqclock.Now, Timeout: callTimeout, Fenced: c.cfg.FencedReceivers,
		Withheld: func(left time.Duration) { c.log.Event(sqevent.CallWithheld, term, left.Milliseconds()) },
		NoWatchdog: func(cause error) {
			c.noWatchdogLogged.Do(func() { c.log.Event(sqevent.WatchdogUnavailable, cause.Error()) })
		},
	}
	if !c.cfg.FencedReceivers {
		cfg.DeliveryTimeout = sqduty.DeliveryTimeout(callTimeout, c.cfg.TakeoverDelay)
	}
	return sqguard.New(cfg).Client()
}

// every waits for the period and calls f, again and again, until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	for sqclock.Sleep(ctx, period) {
		f()
	}
}

// updateSeeds replaces the seeds whenever the settings change.
func (c *coordinator) updateSeeds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seeds := <-c.cfg.SeedUpdates:
			c.seeds.Store(&seeds)
			c.locator.SetAddresses(seeds)
			c.log.Event(sqevent.SettingsReloaded, roleName, seeds)
		}
	}
}
