package sqcontrol

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqguard"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqreplica"
)

// holder performs the duties of the lease holder: it reads the fleet, plans, sends
// orders and usage reports, and grants leases to entries. On a replica without the
// lease it does nothing.
type holder struct {
	cfg     Config
	replica *sqreplica.Replica
	machine *sqmachine.StateMachine
	log     *sqlog.Log
	// unguardedClient reads lists and reports. Orders are sent only through
	// guardedClient.
	unguardedClient *http.Client
	planners        *planners
	metrics         *metricSet

	// sendMu is held while requests are sent through guarded clients.
	sendMu sync.Mutex
	// handOverTriedAt is when this process last tried to hand over the lease
	// because no entry acknowledged its answers. Only checkAcks uses it.
	handOverTriedAt time.Time

	mu   sync.Mutex
	term *termState
	// counters belong to the newest term in which this process held the lease.
	// After a restart, a process can hold the lease only in a later term.
	counters *termCounters
	// lastFailedExchange is when a request through a guarded client last ended
	// without a response.
	lastFailedExchange time.Time
}

func newHolder(cfg Config, r *sqreplica.Replica, m *sqmachine.StateMachine) *holder {
	h := &holder{
		cfg:             cfg,
		replica:         r,
		machine:         m,
		log:             cfg.Log,
		unguardedClient: sqhttp.NewClient(sqhttp.ClientConfig{Timeout: callTimeout}),
		planners:        newPlanners(cfg.Policies),
	}
	h.metrics = newMetricSet(h)
	return h
}

// currentTerm returns the state of the term whose lease this process holds at now,
// and starts that state if necessary. Without the lease it discards the state and
// returns an error of kind NotHolder.
func (h *holder) currentTerm(now time.Time) (*termState, error) {
	term, _, held := h.replica.Lease(now)
	if !held {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.endTerm()
		return nil, h.notHolderError()
	}
	if t := h.findTerm(term); t != nil {
		return t, nil
	}
	earlierEnd, ok := h.replica.PreviousLeasesEnd(term)
	if !ok {
		earlierEnd = now
	}
	return h.beginTerm(now, earlierEnd, term), nil
}

// findTerm returns the state of a term if this process has started it, or nil.
func (h *holder) findTerm(term uint64) *termState {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || h.term.term != term {
		return nil
	}
	return h.term
}

// beginTerm starts the state of a term unless a concurrent call has just started
// it. The leases of earlier terms had ended by earlierEnd. The replicated state is
// read before h.mu is locked: updateDrains locks h.mu while it reads the replicated
// state, and the opposite order could deadlock.
func (h *holder) beginTerm(now, earlierEnd time.Time, term uint64) *termState {
	var entries []string
	h.machine.Read(func(s *sqstate.State) { entries = s.Entries() })
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || h.term.term != term {
		h.endTerm()
		if h.counters == nil || h.counters.term != term {
			h.counters = newTermCounters(term)
		} else {
			// The previous state was this process's own, in the same term.
			earlierEnd = now
		}
		h.term = newTermState(h.cfg, h.counters, now, earlierEnd, entries)
		h.log.Event(sqevent.HolderLeaseGained, term)
	}
	return h.term
}

// endTerm discards the state of the current term and keeps its counters. h.mu must
// be held.
func (h *holder) endTerm() {
	if h.term != nil {
		h.log.Event(sqevent.HolderLeaseLost, h.term.term)
		h.counters.fleetRevision = h.term.fleet.Revision() + lateRevisionMargin
		h.counters.readingChanges = h.term.readings.changes
		h.term = nil
	}
}

func (h *holder) notHolderError() error {
	return sqerror.New(sqerror.Config{
		Kind:            sqerror.NotHolder,
		Detail:          "this process does not hold the lease",
		RedirectAddress: h.replica.Status().LeaderAddress(),
		RetryAfter:      h.cfg.Timings.HeartbeatInterval,
	})
}

// run performs the holder's duties until ctx ends. Jobs that have started may go on
// for at most an election timeout. refreshFleet runs in a loop of its own: an
// engine that does not answer delays the refresh, but no order and no report.
func (h *holder) run(ctx context.Context) {
	grace, cancel := withGracePeriod(ctx, h.cfg.Timings.ElectionTimeout)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { h.repeat(ctx, grace, job{h.cfg.Timings.PollInterval, (*termState).isNew, h.refreshFleet}) })
	loops.Go(func() { h.repeat(ctx, grace, job{h.cfg.Timings.PollInterval, (*termState).isNew, h.sendPending}) })
	loops.Go(func() { h.repeat(ctx, grace, job{h.cfg.Timings.PlanInterval, (*termState).needsPlan, h.planAll}) })
	loops.Go(func() { h.repeat(ctx, grace, job{h.cfg.Timings.HeartbeatInterval, (*termState).isNew, h.checkAcks}) })
	loops.Wait()
}

// job is a function that the holder runs in each period, and at every tick while
// urgent returns true.
type job struct {
	period time.Duration
	urgent func(t *termState, now time.Time) bool
	run    func(context.Context, *termState)
}

// repeat runs a job in each period in which this process holds the lease, until ctx
// ends; the job itself gets taskCtx. A new term does not wait for the current
// period to end.
func (h *holder) repeat(ctx, taskCtx context.Context, j job) {
	tick := time.NewTicker(min(j.period, h.cfg.Timings.HeartbeatInterval))
	defer tick.Stop()
	var lastRun time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := sqclock.Now()
		t, err := h.currentTerm(now)
		if err != nil || ctx.Err() != nil || now.Sub(lastRun) < j.period && !j.urgent(t, now) {
			continue
		}
		lastRun = now
		j.run(taskCtx, t)
	}
}

// sendPending updates drains, the entry list and the team shares, sends pending
// orders and usage reports, closes lost calls, and removes old calls and expired
// entries.
func (h *holder) sendPending(ctx context.Context, t *termState) {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	h.updateDrains(t)
	now := sqclock.Now()
	h.rebuildEntryList(now, t)
	h.splitShares(now, t)
	var sends sync.WaitGroup
	sends.Go(func() { h.advanceEngineOrders(ctx, t) })
	sends.Go(func() {
		// Sent one after the other, because the platform tracks a single highest
		// fencing number.
		h.reportWindows(ctx, t)
		h.advanceEndpointOrders(ctx, t)
	})
	sends.Go(func() { h.closeLostCalls(ctx, t) })
	sends.Wait()
	h.trimCalls(ctx, t)
	h.removeExpiredEntries(ctx, t)
}

// guardedClient returns a client that sends requests only while this process holds
// the lease of the given term.
func (h *holder) guardedClient(term uint64) *http.Client {
	lease := func(now time.Time) (time.Time, bool) {
		current, until, held := h.replica.Lease(now)
		return until, held && current == term
	}
	c := sqguard.New(sqguard.Config{Lease: lease, Now: sqclock.Now, Timeout: callTimeout}).Client()
	c.Transport = failureRecorder{next: c.Transport, onError: h.recordFailedExchange}
	return c
}

// propose commits a command and returns its result. It returns an error if the
// command cannot be committed or its result cannot be decoded.
func (h *holder) propose(ctx context.Context, c *sqcommand.Command) (*sqcommand.Result, error) {
	c.AtUnixNano = sqclock.Wall().UnixNano()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	b, err := h.replica.Propose(ctx, sqstate.Encode(c))
	if err != nil {
		return nil, err
	}
	var res sqcommand.Result
	if err := proto.Unmarshal(b, &res); err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Cause: err})
	}
	return &res, nil
}

// commit proposes a command of the holder itself and logs a failure. It returns nil
// if the command had no effect.
func (h *holder) commit(ctx context.Context, action string, c *sqcommand.Command) *sqcommand.Result {
	res, err := h.propose(ctx, c)
	if err == nil {
		err = sqstate.ResultError(res)
	}
	if err != nil {
		h.log.Event(sqevent.ProposalFailed, action, err.Error())
		return nil
	}
	return res
}
