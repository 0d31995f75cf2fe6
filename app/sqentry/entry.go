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

// entry is the process with all its parts.
type entry struct {
	cfg       Config
	run       string
	watch     *sqwatch.Client
	calls     *sqwatch.CallRecorder
	client    *sqendpoint.Client
	fleet     *fleet
	admission *admission
	routes    atomic.Pointer[routes]
	running   *registry
	recording *recordings
	decisions *decisions
	usage     *usage
	burn      *burn
	work      *modelWork
	retries   *retryBudget
	lengths   *lengths
	loadStep  loadStep
	gauges    *gauges

	callers, internal string
	// leaving is told to the holder; closed refuses new requests.
	leaving, closed atomic.Bool
	sequence        atomic.Uint64
	// fleetFrom and fleetRevision name the list of endpoints that is in use;
	// only the watch loop touches them.
	fleetFrom     string
	fleetRevision uint64
	// life ends when the process has nothing left to do.
	life context.Context
	// grace ends when what still runs has to be told that the entry stops.
	grace    context.Context
	endGrace context.CancelFunc
}

func newEntry(life context.Context, cfg Config) *entry {
	seed := uint64(time.Now().UnixNano())
	e := &entry{
		cfg:  cfg,
		run:  strconv.FormatUint(seed, 36),
		life: life,
		client: sqendpoint.New(sqendpoint.Config{
			ConnectTimeout: cfg.Timings.Connect, MaxConnections: cfg.Limits.EndpointConnections, MaxResponseBytes: cfg.Limits.Answer,
		}),
		fleet:     newFleet(cfg.Zone, seed, cfg.Policies.Router),
		admission: newAdmission(newAdmitter(cfg.Policies.Admission)),
		running:   newRegistry(),
		recording: newRecordings(),
		decisions: newDecisions(cfg.Limits.Decisions),
		usage:     newUsage(),
		burn:      newBurn(),
		work:      newModelWork(),
		retries:   newRetryBudget(),
		lengths:   newLengths(),
	}
	e.grace, e.endGrace = context.WithCancel(life)
	e.routes.Store(newRoutes(0, nil))
	e.watch = sqwatch.New(sqwatch.Config{
		Entry: cfg.Name, RunID: e.run, Controls: cfg.Controls, RenewInterval: cfg.Timings.WatchEvery,
		MaxLease: cfg.Timings.Fresh, CommandTimeout: cfg.Timings.Connect, Report: e.report, OnChange: e.apply, Log: cfg.Log,
	})
	e.calls = sqwatch.NewCallRecorder(sqwatch.CallRecorderConfig{Context: life, Submitter: e.watch})
	e.gauges = newGauges(e)
	return e
}

// nextID returns an identity for a request; it names the entry, so that
// operators know whom to ask.
func (e *entry) nextID() string {
	return e.cfg.Name + "-" + e.run + "-" + strconv.FormatUint(e.sequence.Add(1), 36)
}

// apply takes a new view. It runs in the watch loop.
func (e *entry) apply(v *sqwatch.View) {
	now := sqclock.Now()
	rt := e.routes.Load()
	if v.Version() != rt.version {
		rt = newRoutes(v.Version(), v.Configuration())
		e.routes.Store(rt)
		e.admission.setWeights(now, v.Configuration().GetWeights())
	}
	if v.Holder() != e.fleetFrom || v.FleetRevision() != e.fleetRevision {
		e.fleetFrom, e.fleetRevision = v.Holder(), v.FleetRevision()
		e.fleet.set(now, v.Endpoints())
	}
	e.fleet.setEntries(e.cfg.Name, v.Entries())
	if len(v.OtherLoads()) > 0 {
		e.fleet.setOthers(now, v.OtherLoads())
	} else {
		e.fleet.setOtherWork(now, v.OtherWork())
	}
	e.takeReadings(now, v)
	e.admission.setTeams(now, teamsOf(v))
	e.admission.setRooms(now, e.fleet, rt.pools)
	e.stopWithdrawn(v)
}

// teamsOf returns what the entry may use for each team. Without a share from
// the holder an entry takes an equal part.
func teamsOf(v *sqwatch.View) []sqadmit.Team {
	shares := make(map[string]*sqrpc.TeamShare, len(v.Shares()))
	for _, s := range v.Shares() {
		shares[s.GetTeam()] = s
	}
	entries := max(1, len(v.Entries()))
	teams := make([]sqadmit.Team, 0, len(v.Configuration().GetTeams())+1)
	for _, t := range v.Configuration().GetTeams() {
		teams = append(teams, teamOf(t, shares[t.GetName()], entries))
	}
	return append(teams, sqadmit.NewTeam(sqadmit.TeamConfig{
		Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded, MaxQueued: sqadmit.Unbounded,
	}))
}

func teamOf(t *sqcommand.Team, share *sqrpc.TeamShare, entries int) sqadmit.Team {
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

// stopWithdrawn ends the answers whose key is granted no longer.
func (e *entry) stopWithdrawn(v *sqwatch.View) {
	for _, r := range e.running.list() {
		if !r.caller.granted(v) {
			r.interrupt(errWithdrawn)
		}
	}
}

// errWithdrawn ends an answer whose key was withdrawn while it ran.
var errWithdrawn = sqerror.New(sqerror.Config{
	Kind:      sqerror.BadKey,
	Detail:    "the key was withdrawn while the answer was given",
	Execution: sqerror.MayHaveRun,
})

// caller is who a request runs for.
type caller struct {
	team string
	// open is true on a route that needs no key.
	open bool
	key  string
	hash sqkey.Hash
}

// granted reports whether the caller's key is in force.
func (c *caller) granted(v *sqwatch.View) bool {
	if c.open {
		return true
	}
	g, ok := v.Keys().Find(c.hash)
	return ok && g.Team == c.team
}

// onceReserve is the freshness that has to be left for the write of a call that
// must not be repeated. The kernel ends a process that does not get from the
// check to the end of the write within what is left: that must be a freeze, and
// not the scheduler of a busy machine.
const onceReserve = 500 * time.Millisecond

// guard returns the check that each write of a request passes. A call that must
// not be repeated needs the freshness that it began in: after a break the holder
// may have closed its record, and another attempt may be under way.
func (e *entry) guard(c *caller, id string, once bool, epoch uint64) sqendpoint.WriteCheck {
	return func(now time.Time) (time.Time, error) {
		if id != "" && !e.fleet.accepts(id) {
			return time.Time{}, notRun(sqerror.NoEndpoint, "the endpoint takes no new work")
		}
		if c.open && !once {
			return time.Time{}, nil
		}
		v := e.watch.View()
		if !v.Fresh(now) || once && (v.Epoch() != epoch || v.FreshUntil().Sub(now) < onceReserve) {
			return time.Time{}, e.stale()
		}
		if !c.granted(v) {
			return time.Time{}, notRun(sqerror.BadKey, "the key was withdrawn")
		}
		return v.FreshUntil(), nil
	}
}

func (e *entry) stale() *sqerror.Error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.StaleEntry, Detail: "the freshness lease ran out", Execution: sqerror.NotRun,
		RetryAfter: comeBack(sqerror.StaleEntry), RedirectAddress: e.elsewhere(),
	})
}

// elsewhere returns another entry that was able to answer when the holder last
// told, or "".
func (e *entry) elsewhere() string {
	for _, o := range e.watch.View().Entries() {
		if o.GetEntry() != e.cfg.Name && !o.GetLeaving() && o.GetFresh() {
			return o.GetAddress()
		}
	}
	return ""
}
