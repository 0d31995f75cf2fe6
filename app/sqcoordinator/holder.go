package sqcoordinator

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqdeparture"
	"sequoiadock/core/sqduty"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqlimit"
	"sequoiadock/core/sqlisting"
	"sequoiadock/core/sqoffset"
	"sequoiadock/core/sqorigin"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqquorum"
	"sequoiadock/core/sqquota"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
)

// counterBits is how many low bits of a fleet revision, or of the number of a cache
// update, count within one term. The higher bits hold the term.
const counterBits = 24

// termState is what the lease holder knows in one term. It starts empty: of what an
// earlier holder learned, only what is in the replicated log is carried over. The
// coordinator's mu guards it.
type termState struct {
	term      uint64
	startedAt time.Time
	// lapsed is set while the lease has ended within the term. resumedAt is when it was
	// last regained.
	lapsed    bool
	resumedAt time.Time
	// announcements holds the last announcement of each coordinator, by replica ID.
	announcements map[uint64]sqquorum.Candidate
	gateways      *gatewayRegistry
	requestCounts *sqwindow.Collector
	clockOffsets  *sqoffset.Estimator

	// fleet is the platform's list of endpoints, nil until it is first read; listing is
	// that list as gateways are sent it. fleetReadAt is when the list was last read.
	fleet           []sqplace.Endpoint
	listing         *sqlisting.History
	encodedListings encodedListings
	fleetReadAt     time.Time
	// fleetKnownAt is when the last successful read of the list began.
	fleetKnownAt time.Time
	// fleetReadFailing is true if the last poll of the platform's list failed.
	fleetReadFailing bool
	// usageFenced is true once the platform has rejected a usage report because it has
	// seen a newer lease.
	usageFenced  bool
	orders       orderState
	cacheUpdates cacheUpdateLog
	quarantine   *sqquarantine.Tracker
	suspects     suspectList
	// departures holds the endpoints that gateways reported to be about to stop.
	departures *sqdeparture.Log
	// limits holds the limits that endpoints name.
	limits *sqlimit.Issuer
	// origins holds where the streams of all gateways began, versions which versions the
	// endpoints of services have had.
	origins  *sqorigin.Log
	versions *sqorigin.Versions
	quotas   quotaState
}

func newTermState(log *sqlog.Log, now time.Time, term uint64, billingWindow time.Duration) *termState {
	return &termState{
		term: term, startedAt: now, resumedAt: now, announcements: map[uint64]sqquorum.Candidate{}, gateways: newGatewayRegistry(log, term),
		requestCounts: sqwindow.NewCollector(now, billingWindow), clockOffsets: sqoffset.New(), listing: sqlisting.New(term << counterBits),
		orders: newOrderState(), cacheUpdates: newCacheUpdateLog(term),
		quarantine: sqquarantine.NewTracker(), suspects: suspectList{revision: term << counterBits}, departures: sqdeparture.NewLog(), limits: sqlimit.NewIssuer(),
		origins: sqorigin.NewLog(maxOrigins), versions: sqorigin.NewVersions(),
		quotas: newQuotaState(now, sqquota.Bounds{}),
	}
}

// resume continues the term after its lease had ended for a while. No other process can
// have held a lease since then, as that ends the term, so that what this one knows and the
// revisions that it gave out stay valid.
func (t *termState) resume(now time.Time) {
	t.lapsed, t.resumedAt = false, now
}

// currentTerm returns the state of the term whose lease this process holds at now, or
// an error of kind NotHolder.
func (c *coordinator) currentTerm(now time.Time) (*termState, error) {
	term, _, held := c.replica.Lease(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !held {
		if c.termState != nil && !c.termState.lapsed {
			c.log.Event(sqevent.HolderLeaseLost, c.termState.term)
			c.termState.lapsed = true
		}
		return nil, c.notHolderError()
	}
	if c.termState != nil && c.termState.term == term && c.termState.lapsed {
		c.termState.resume(now)
		c.log.Event(sqevent.HolderLeaseGained, term)
	}
	if c.termState == nil || c.termState.term != term {
		c.termState = newTermState(c.log, now, term, c.cfg.BillingWindow)
		c.termState.quotas = newQuotaState(now, c.cfg.Quota)
		c.log.Event(sqevent.HolderLeaseGained, term)
		if wait := sqduty.CallsFrom(term, now, c.cfg.TakeoverDelay).Sub(now); wait > 0 {
			c.log.Event(sqevent.HolderCallsWait, term, wait.Milliseconds())
		}
	}
	return c.termState, nil
}

func (c *coordinator) notHolderError() error {
	leader := c.replica.Status().LeaderAddress()
	if leader == c.cfg.InternalAddress {
		// This process leads the group without a lease, so it does not know the holder.
		leader = ""
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Execution: sqerror.NotRun, Detail: "this process does not hold the lease", RedirectAddress: leader,
	})
}

// checkLease returns an error of kind NotHolder if the lease of the term has ended. In
// that case, state that was read before the call may have been stale.
func (c *coordinator) checkLease(t *termState) error {
	if term, _, held := c.replica.Lease(sqclock.Now()); !held || term != t.term {
		return c.notHolderError()
	}
	return nil
}

// propose commits a command and returns its result. The error is that of the commit,
// or the one that the result holds.
func (c *coordinator) propose(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	encoded, err := c.replica.Propose(ctx, sqstate.Encode(cmd))
	if err != nil {
		return nil, err
	}
	var res sqcommand.Result
	if err := proto.Unmarshal(encoded, &res); err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Cause: err})
	}
	return &res, sqstate.ResultError(&res)
}

// platformLease returns the lease under which the platform and the engines are called.
func (c *coordinator) platformLease(t *termState) sqcore.Lease {
	return sqcore.Lease{Holder: c.cfg.Name, Term: t.term}
}

// mayCallPlatform reports whether the lease holder may report usage and order endpoints.
func (c *coordinator) mayCallPlatform(now time.Time, t *termState) bool {
	return !now.Before(sqduty.CallsFrom(t.term, t.startedAt, c.cfg.TakeoverDelay))
}

// operatorAddress returns the address for operators of the coordinator with the given
// internal address, or "" if it is malformed. All coordinators use the same port for
// operators.
func (c *coordinator) operatorAddress(internalAddress string) string {
	host, _, err := net.SplitHostPort(internalAddress)
	_, port, errPort := net.SplitHostPort(c.cfg.OperatorAddress)
	if err != nil || errPort != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}
