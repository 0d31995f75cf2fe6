package sqentry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqkey"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqrpc"
	"sequoiadock/io/sqwatch"
)

// entry holds the state of an entry process.
type entry struct {
	cfg             Config
	runID           string
	watch           *sqwatch.Client
	onceCalls       *sqwatch.CallRecorder
	endpointClient  *sqendpoint.Client
	fleet           *fleet
	admission       *admission
	routes          atomic.Pointer[routes]
	active          *activeRequests
	pendingOutcomes *pendingOutcomes
	decisions       *decisions
	usage           *usage
	serviceLevels   *serviceLevels
	demand          *modelDemand
	retries         *retryBudget
	responseLengths *responseLengths
	loadStep        loadStep
	metrics         *entryMetrics

	callersAddress, internalAddress string
	// leaving is reported to the holder; while refusing is true, new requests
	// are refused.
	leaving, refusing atomic.Bool
	sequence          atomic.Uint64
	// fleetHolder and fleetRevision identify the endpoint list in use. Only the
	// watch loop accesses them.
	fleetHolder   string
	fleetRevision uint64
	// processCtx ends after all work and the final usage batch are done.
	processCtx context.Context
	// graceCtx ends when the grace period of a planned stop is over and the
	// remaining requests are canceled.
	graceCtx    context.Context
	cancelGrace context.CancelFunc
}

func newEntry(processCtx context.Context, cfg Config) *entry {
	seed := uint64(time.Now().UnixNano())
	e := &entry{
		cfg:        cfg,
		runID:      strconv.FormatUint(seed, 36),
		processCtx: processCtx,
		endpointClient: sqendpoint.New(sqendpoint.Config{
			ConnectTimeout: cfg.Timings.ConnectTimeout, MaxConnections: cfg.Limits.MaxConnsPerEndpoint, MaxResponseBytes: cfg.Limits.MaxResponseBytes,
		}),
		fleet:           newFleet(cfg.Zone, seed, cfg.Policies.Router),
		admission:       newAdmission(newAdmitter(cfg.Policies.Admission)),
		active:          newActiveRequests(),
		pendingOutcomes: newPendingOutcomes(),
		decisions:       newDecisions(cfg.Limits.MaxDecisions),
		usage:           newUsage(),
		serviceLevels:   newServiceLevels(),
		demand:          newModelDemand(),
		retries:         newRetryBudget(),
		responseLengths: newLengths(),
	}
	e.graceCtx, e.cancelGrace = context.WithCancel(processCtx)
	e.routes.Store(newRoutes(0, nil))
	e.watch = sqwatch.New(sqwatch.Config{
		Entry: cfg.Name, RunID: e.runID, Controls: cfg.ControlAddresses, RenewInterval: cfg.Timings.RenewInterval,
		MaxLease: cfg.Timings.MaxFreshnessLease, CommandTimeout: cfg.Timings.ConnectTimeout, Report: e.watchRequest, OnChange: e.applyView, Log: cfg.Log,
	})
	e.onceCalls = sqwatch.NewCallRecorder(sqwatch.CallRecorderConfig{Context: processCtx, Submitter: e.watch})
	e.metrics = newEntryMetrics(e)
	return e
}

// nextRequestID returns a unique request ID. It contains the entry's name so
// that operators know which entry to ask about the request.
func (e *entry) nextRequestID() string {
	return e.cfg.Name + "-" + e.runID + "-" + strconv.FormatUint(e.sequence.Add(1), 36)
}

// applyView applies a new view from the holder. It runs in the watch loop.
func (e *entry) applyView(v *sqwatch.View) {
	now := sqclock.Now()
	rt := e.routes.Load()
	if v.Version() != rt.version {
		rt = newRoutes(v.Version(), v.Configuration())
		e.routes.Store(rt)
		e.admission.setWeights(now, v.Configuration().GetWeights())
	}
	if v.Holder() != e.fleetHolder || v.FleetRevision() != e.fleetRevision {
		e.fleetHolder, e.fleetRevision = v.Holder(), v.FleetRevision()
		e.fleet.setEndpoints(now, v.Endpoints())
	}
	e.fleet.setEntries(e.cfg.Name, v.Entries())
	if len(v.OtherLoads()) > 0 {
		e.fleet.setPeerLoads(now, v.OtherLoads())
	} else {
		e.fleet.setPeerWork(now, v.OtherWork())
	}
	e.applyReadings(now, v)
	e.admission.setTeams(now, admissionTeams(v))
	e.admission.setPoolLimits(now, e.fleet, rt.pools)
	e.interruptWithdrawn(v)
}

// admissionTeams returns the limits of each team at this entry. Without a share
// from the holder an entry takes an equal part.
func admissionTeams(v *sqwatch.View) []sqadmit.Team {
	shares := make(map[string]*sqrpc.TeamShare, len(v.Shares()))
	for _, s := range v.Shares() {
		shares[s.GetTeam()] = s
	}
	entries := max(1, len(v.Entries()))
	teams := make([]sqadmit.Team, 0, len(v.Configuration().GetTeams())+1)
	for _, t := range v.Configuration().GetTeams() {
		teams = append(teams, admissionTeam(t, shares[t.GetName()], entries))
	}
	return append(teams, sqadmit.NewTeam(sqadmit.TeamConfig{
		Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded, MaxQueued: sqadmit.Unbounded,
	}))
}

func admissionTeam(t *sqcommand.Team, share *sqrpc.TeamShare, entries int) sqadmit.Team {
	cfg := sqadmit.TeamConfig{
		Name: t.GetName(), Weight: float64(t.GetShare()),
		TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded, MaxQueued: sqadmit.Unbounded,
	}
	if share != nil {
		cfg.Weight = share.GetWeight()
	}
	cfg.TotalTokensPerSecond = float64(t.GetTokensPerSecond())
	if t.GetTokensPerSecond() > 0 {
		cfg.TokensPerSecond = float64(t.GetTokensPerSecond()) / float64(entries)
		if share != nil {
			cfg.TokensPerSecond = float64(share.GetTokensPerSecond())
		}
	}
	if t.GetMaxRunning() > 0 {
		cfg.MaxRunning = max(1, int(t.GetMaxRunning())/entries)
		if share != nil {
			cfg.MaxRunning = int(share.GetMaxRunning())
		}
	}
	if t.GetMaxQueued() > 0 {
		cfg.MaxQueued = int(t.GetMaxQueued())
	}
	return sqadmit.NewTeam(cfg)
}

// interruptWithdrawn cancels the responses to callers whose key was withdrawn.
func (e *entry) interruptWithdrawn(v *sqwatch.View) {
	for _, r := range e.active.relayList() {
		if !r.caller.authorized(v) {
			r.interrupt(errKeyWithdrawn)
		}
	}
}

// errKeyWithdrawn ends a response whose key was withdrawn while it was sent.
var errKeyWithdrawn = sqerror.New(sqerror.Config{
	Kind:      sqerror.BadKey,
	Detail:    "the key was withdrawn while the answer was given",
	Execution: sqerror.MayHaveRun,
})

// caller identifies the team that a request runs for and the key it was sent
// with.
type caller struct {
	team string
	// open is true on a route that needs no key.
	open    bool
	key     string
	keyHash sqkey.Hash
}

// authorized reports whether the caller's key is still granted to its team.
func (c *caller) authorized(v *sqwatch.View) bool {
	if c.open {
		return true
	}
	g, ok := v.Keys().Find(c.keyHash)
	return ok && g.Team == c.team
}

// onceWriteMargin is the validity that the freshness lease must have left
// before a once-only call is written. The kernel kills a process that does not
// get from the check to the end of the write within what is left of the lease.
// That should happen only to a frozen process, and not because of scheduling
// delays on a busy machine.
const onceWriteMargin = 500 * time.Millisecond

// writeGuard returns the check that runs before each write of a request to an
// endpoint. A once-only call needs the same freshness epoch that it began in:
// after an interruption the holder may have closed its record, and another
// attempt may be running.
func (e *entry) writeGuard(c *caller, endpointID string, once bool, epoch uint64) sqendpoint.WriteCheck {
	return func(now time.Time) (time.Time, error) {
		if endpointID != "" && !e.fleet.acceptsNewWork(endpointID) {
			return time.Time{}, notRunError(sqerror.NoEndpoint, "the endpoint takes no new work")
		}
		if c.open && !once {
			return time.Time{}, nil
		}
		v := e.watch.View()
		if !v.Fresh(now) || once && (v.Epoch() != epoch || v.FreshUntil().Sub(now) < onceWriteMargin) {
			return time.Time{}, e.staleError()
		}
		if !c.authorized(v) {
			return time.Time{}, notRunError(sqerror.BadKey, "the key was withdrawn")
		}
		return v.FreshUntil(), nil
	}
}

func (e *entry) staleError() *sqerror.Error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.StaleEntry, Detail: "the freshness lease ran out", Execution: sqerror.NotRun,
		RetryAfter: retryAfter(sqerror.StaleEntry), RedirectAddress: e.otherEntry(),
	})
}

// otherEntry returns the address of another entry that was fresh and not
// leaving in the holder's last list, or "".
func (e *entry) otherEntry() string {
	for _, other := range e.watch.View().Entries() {
		if other.GetEntry() != e.cfg.Name && !other.GetLeaving() && other.GetFresh() {
			return other.GetAddress()
		}
	}
	return ""
}
