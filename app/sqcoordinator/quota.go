package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquota"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// quotaLoadInterval is the period of looking for a new version of the routing table.
const quotaLoadInterval = 100 * time.Millisecond

// quotaState is what the lease holder knows of quotas in its term. The coordinator's mu
// guards it.
type quotaState struct {
	issuer *sqquota.Issuer
	// version is that of the routing table whose quotas are in force, 0 before the first.
	version uint64
	// unreadable is the version that could not be decoded last.
	unreadable uint64
}

func newQuotaState(now time.Time, b sqquota.Bounds) quotaState {
	return quotaState{issuer: sqquota.NewIssuer(now, b)}
}

// GrantQuota implements sqrpc.Coordinator.
func (c *coordinator) GrantQuota(_ context.Context, req *sqrpc.GrantQuotaRequest) (*sqrpc.GrantQuotaResponse, error) {
	now := sqclock.Now()
	t, err := c.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	c.mu.Lock()
	isLoaded := t.quotas.version != 0
	var a sqquota.Answer
	if isLoaded {
		a = t.quotas.issuer.Grant(now, req.GetTeam(), req.GetUnits())
	}
	c.mu.Unlock()
	if !isLoaded {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "the quotas are not loaded yet"}))
	}
	// The next holder may have given out the same units if this process was paused meanwhile.
	if err := c.checkLease(t); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	if a.Granted {
		c.quotaGranted.Inc()
	} else {
		c.quotaRefused.Inc()
	}
	return &sqrpc.GrantQuotaResponse{Granted: a.Granted, RetryAfterMillis: uint32((a.RetryAfter + time.Millisecond - 1) / time.Millisecond), Term: t.term}, nil
}

// exchangeQuotas credits the units that a gateway gave back and sets what its reserves are
// given. The caller must hold mu.
func (c *coordinator) exchangeQuotas(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	issuer := t.quotas.issuer
	if issuer.Limited() == 0 {
		return
	}
	issuer.SetGateways(len(t.gateways.byName))
	reports := make([]sqquota.Report, 0, len(req.GetQuotaReports()))
	for _, r := range req.GetQuotaReports() {
		reports = append(reports, sqquota.Report{Team: r.GetTeam(), Returned: r.GetReturnedUnits(), Wanted: r.GetWantedUnits()})
	}
	for _, r := range issuer.Exchange(now, req.GetGateway()+"/"+req.GetRun(), reports) {
		res.QuotaGrants = append(res.QuotaGrants, &sqrpc.QuotaGrant{Team: r.Team, Units: r.Units})
	}
}

// loadQuotas puts the quotas of each version of the routing table in force while this process
// holds the lease. It decodes the table outside of mu, since that may take longer than
// heartbeats can wait.
func (c *coordinator) loadQuotas(ctx context.Context) {
	every(ctx, quotaLoadInterval, func() {
		now := sqclock.Now()
		t, err := c.currentTerm(now)
		if err != nil {
			return
		}
		c.mu.Lock()
		t.quotas.issuer.Forget(now, gatewayLostTimeout)
		loaded, unreadable, table := t.quotas.version, t.quotas.unreadable, t.orders.table
		c.mu.Unlock()
		var version uint64
		var document []byte
		c.stateMachine.Read(func(s *sqstate.State) { version, document = s.RoutingTable() })
		if version == loaded || version == unreadable {
			return
		}
		if table == nil || table.Version() != version {
			if table, err = c.cfg.Wire.ParseTable(document); err != nil {
				c.mu.Lock()
				t.quotas.unreadable = version
				c.mu.Unlock()
				c.log.Event(sqevent.TableRefused, len(document), err.Error())
				return
			}
		}
		c.useQuotas(sqclock.Now(), t, table)
	})
}

// useQuotas puts the quotas of a table in force.
func (c *coordinator) useQuotas(now time.Time, t *termState, table *sqtable.Table) {
	quotas := make(map[string]sqquota.Quota, len(table.Quotas()))
	for team, q := range table.Quotas() {
		quotas[team] = sqquota.Quota{RatePerS: q.RatePerS, Burst: q.Burst}
	}
	c.mu.Lock()
	hadQuotas := t.quotas.issuer.Limited() > 0
	t.quotas.issuer.SetQuotas(now, quotas)
	t.quotas.version = table.Version()
	// Orders are planned by the same table, which need not be decoded twice.
	if t.orders.table == nil || t.orders.table.Version() < table.Version() {
		t.orders.table = table
	}
	c.mu.Unlock()
	if hadQuotas || len(quotas) > 0 {
		c.log.Event(sqevent.QuotasInForce, table.Version(), len(quotas))
	}
}
