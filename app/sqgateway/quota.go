package sqgateway

import (
	"net/http"
	"sync"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquota"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

const (
	// maxQuotaWait is how long a request waits at most for the lease holder to answer, and
	// quotaWaitDivisor the part of its remaining time.
	maxQuotaWait     = 2 * time.Second
	quotaWaitDivisor = 2
	// quotaRounding is the resolution of the Retry-After header, to which times are rounded up.
	quotaRounding = 10 * time.Millisecond
	// quotaEventInterval is the least time between two events of one kind about a team.
	quotaEventInterval = 10 * time.Second
	// maxQuotaCalls is how many calls for units are under way at once. After each, as much time
	// passes as it took, up to maxQuotaCallGap, so that a busy holder is called less often.
	maxQuotaCalls   = 2
	maxQuotaCallGap = 100 * time.Millisecond
)

// quotaGate charges requests to the quotas of their teams. It is safe for concurrent use.
type quotaGate struct {
	mu      sync.Mutex
	account *sqquota.Account
	queues  map[string]*quotaQueue
	// heard is closed at the next answer to a heartbeat, and isDown set from a call that failed
	// until then.
	heard  chan struct{}
	isDown bool
	// calls limits the calls that are under way for all teams.
	calls chan struct{}
}

// quotaQueue holds the requests of a team that wait for the lease holder's answer, in order.
// The first one starts a goroutine, which asks until none waits. The gate's mu guards it.
type quotaQueue struct {
	waiters []*quotaWaiter
	// limit is how many requests the next call is for at most, 0 for any number.
	limit int
	// isAsking is set while a goroutine asks the holder, refused if the last call was refused.
	isAsking, refused bool
	// exceededAt and unansweredAt are when the events were last logged.
	exceededAt, unansweredAt time.Time
}

// quotaWaiter is a request that waits.
type quotaWaiter struct {
	units  uint64
	answer chan quotaAnswer
	// left is set if the request stopped waiting while the holder was asked for it: the units
	// go back then. answered is set once its answer was passed on.
	left, answered bool
}

// quotaAnswer says whether a request may be sent, and otherwise when it would be admitted.
type quotaAnswer struct {
	verdict    sqquota.Verdict
	retryAfter time.Duration
	// askedAt is when the holder was asked for units that it granted.
	askedAt time.Time
}

func newQuotaGate(b sqquota.Bounds) *quotaGate {
	return &quotaGate{account: sqquota.NewAccount(b), queues: map[string]*quotaQueue{}, heard: make(chan struct{}),
		calls: make(chan struct{}, maxQuotaCalls)}
}

// setTable puts the quotas of a routing table in force.
func (q *quotaGate) setTable(t *sqtable.Table) {
	quotas := make(map[string]sqquota.Quota, len(t.Quotas()))
	for team, v := range t.Quotas() {
		quotas[team] = sqquota.Quota{RatePerS: v.RatePerS, Burst: v.Burst}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.SetQuotas(quotas)
}

func (q *quotaGate) charge(now time.Time, team string, units uint64) quotaAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict, retryAfter := q.account.Charge(now, team, units)
	return quotaAnswer{verdict: verdict, retryAfter: retryAfter, askedAt: now}
}

func (q *quotaGate) chargeUnchecked(team string, units uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.ChargeUnchecked(team, units)
}

func (q *quotaGate) giveBack(team string, units uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.GiveBack(team, units)
}

// reserved returns how many units the reserves hold.
func (q *quotaGate) reserved() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return float64(q.account.Reserved())
}

// chargeQuota charges the request to the quota of its team before the first send. It returns
// false if the request was refused.
func (x *request) chargeQuota() bool {
	quota, isLimited := x.table.Quotas()[x.team]
	if !isLimited {
		return true
	}
	g := x.g
	units := quota.Units(x.attempt.Prompt.Tokens, x.attempt.Prompt.MaxOutputTokens)
	now := sqclock.Now()
	a := g.quotas.charge(now, x.team, units)
	if a.verdict == sqquota.Ask {
		a = g.awaitQuota(x.ctx, x.team, units, min(x.timeLeft(now)/quotaWaitDivisor, maxQuotaWait))
		answeredAt := sqclock.Now()
		g.metrics.quotaWaitSeconds.Update(answeredAt.Sub(now).Seconds())
		if a.verdict == sqquota.Charged && !sqquota.MaySpend(a.askedAt, answeredAt) {
			// The process was paused since the answer came.
			g.quotas.giveBack(x.team, units)
			a.verdict = sqquota.Ask
		}
	}
	switch a.verdict {
	case sqquota.Charged:
		x.quotaUnits, x.quotaAskedAt = units, a.askedAt
		return true
	case sqquota.Over:
		g.metrics.quotaRefused.Inc()
		retryAfter := (a.retryAfter + quotaRounding - 1).Truncate(quotaRounding)
		x.refuse(http.StatusTooManyRequests, "the team is over its quota", retryAfter)
	default:
		g.metrics.quotaUnanswered.Inc()
		now = sqclock.Now()
		x.finishUnanswered(x.stepWithoutEndpoint(now), "the holder did not answer for the team's quota", g.view.Load().retryAfter(now))
	}
	return false
}

// quotaExpired reports whether the request has waited, for an endpoint with room or for
// connections that failed, until its units may not be spent any more.
func (x *request) quotaExpired(now time.Time) bool {
	return x.quotaUnits > 0 && !x.quotaSpent && !sqquota.MaySpend(x.quotaAskedAt, now)
}

// renewQuota gives the units of a request back and charges it again. It returns false if the
// request was refused.
func (x *request) renewQuota() bool {
	x.giveBackQuota()
	x.quotaUnits = 0
	return x.chargeQuota()
}

// recordQuotaSent records whether a send has reached an endpoint, so that its units are spent.
func (x *request) recordQuotaSent(err error) {
	if err == nil || x.connectionFailure(err).outcome != sqattempt.Unsent {
		x.quotaSpent = true
	}
}

// chargeRetry charges the retry of a request that may have run.
func (x *request) chargeRetry() {
	if x.quotaUnits > 0 {
		x.g.quotas.chargeUnchecked(x.team, x.quotaUnits)
	}
}

// giveBackQuota gives back the units of a request that was never sent.
func (x *request) giveBackQuota() {
	if x.quotaUnits > 0 && !x.quotaSpent {
		x.g.quotas.giveBack(x.team, x.quotaUnits)
	}
}

// addQuotaReports adds to a heartbeat what the lease holder must know of quotas, and returns
// the reports.
func (g *gateway) addQuotaReports(req *sqrpc.BeatRequest) []sqquota.Report {
	g.quotas.mu.Lock()
	reports := g.quotas.account.Reports()
	g.quotas.mu.Unlock()
	for _, r := range reports {
		req.QuotaReports = append(req.QuotaReports, &sqrpc.QuotaReport{Team: r.Team, ReturnedUnits: r.Returned, WantedUnits: r.Wanted})
	}
	return reports
}

// applyQuotas applies the answer to a heartbeat that was sent at sentAt with the reports.
func (g *gateway) applyQuotas(sentAt time.Time, sent []sqquota.Report, res *sqrpc.BeatResponse) {
	refills := make([]sqquota.Refill, 0, len(res.GetQuotaGrants()))
	for _, r := range res.GetQuotaGrants() {
		refills = append(refills, sqquota.Refill{Team: r.GetTeam(), Units: r.GetUnits()})
	}
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	// The time is read with the lock held: a pause before it must not make old units valid.
	now := sqclock.Now()
	q.account.Apply(sentAt, now, res.GetTerm(), sent, refills)
	q.account.SetGateways(now, int(res.GetGatewayCount()))
	q.isDown = false
	close(q.heard)
	q.heard = make(chan struct{})
}

// logQuotaExceeded logs that a team is over its quota, unless that was logged a short time ago.
// The caller must hold the gate's mu.
func (g *gateway) logQuotaExceeded(now time.Time, team string, queue *quotaQueue, units uint64, retryAfter time.Duration) {
	if queue.exceededAt.IsZero() || now.Sub(queue.exceededAt) >= quotaEventInterval {
		queue.exceededAt = now
		g.log.Event(sqevent.QuotaExceeded, team, units, retryAfter.Milliseconds())
	}
}
