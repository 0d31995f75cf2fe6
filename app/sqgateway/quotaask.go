package sqgateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqheartbeat"
	"sequoiadock/core/sqquota"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// maxQuotaPause is the time after which a call that failed is repeated at the latest.
const maxQuotaPause = 300 * time.Millisecond

// awaitQuota waits until the lease holder has answered for the units of a request, for the
// given time at most. The verdict is Ask if it has not.
func (g *gateway) awaitQuota(ctx context.Context, team string, units uint64, wait time.Duration) quotaAnswer {
	q := g.quotas
	w := &quotaWaiter{units: units, answer: make(chan quotaAnswer, 1)}
	q.mu.Lock()
	queue := q.queues[team]
	if queue == nil {
		queue = &quotaQueue{}
		q.queues[team] = queue
	}
	queue.waiters = append(queue.waiters, w)
	if !queue.isAsking {
		queue.isAsking = true
		go g.askForQuota(team, queue)
	}
	q.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case a := <-w.answer:
		return a
	default:
	}
	w.left = true
	queue.waiters = slices.DeleteFunc(queue.waiters, func(other *quotaWaiter) bool { return other == w })
	if queue.refused && q.account.IsNewHolder(sqclock.Now()) {
		// The holder has answered that its new bucket does not hold the units yet.
		return quotaAnswer{verdict: sqquota.Over, retryAfter: q.account.RetryAfter(sqclock.Now(), team, units)}
	}
	return quotaAnswer{verdict: sqquota.Ask}
}

// askForQuota asks the lease holder for the units of all waiting requests of a team, one call
// at a time, until none waits.
func (g *gateway) askForQuota(team string, queue *quotaQueue) {
	for {
		g.quotas.awaitHolder()
		g.quotas.calls <- struct{}{}
		batch, units := g.quotas.nextBatch(sqclock.Now(), team, queue)
		if len(batch) == 0 {
			<-g.quotas.calls
			return
		}
		askedAt := sqclock.Now()
		address := g.locator.Holder()
		client := sqrpc.NewCoordinatorProtobufClient("http://"+address, g.coordinatorClient)
		res, err := client.GrantQuota(context.Background(), &sqrpc.GrantQuotaRequest{Gateway: g.cfg.Name, Run: g.runID, Team: team, Units: units})
		gap := min(sqclock.Now().Sub(askedAt), maxQuotaCallGap)
		time.AfterFunc(gap, func() { <-g.quotas.calls })
		if sqrpc.IsUnknownMethod(err) {
			// During an upgrade, the holder may be of a version that keeps no quotas.
			res, err = &sqrpc.GrantQuotaResponse{Granted: true}, nil
		}
		if err != nil {
			g.pauseQuotaCalls(team, queue, address, len(batch), sqrpc.FromTwirp(err))
			continue
		}
		if pause := g.applyQuotaAnswer(askedAt, team, queue, batch, units, res); pause > 0 {
			sqclock.Sleep(context.Background(), pause)
		}
	}
}

// awaitHolder waits after a call that failed until a heartbeat has been answered, but not for
// long. Heartbeats look for the holder at a rate that coordinators can bear.
func (q *quotaGate) awaitHolder() {
	q.mu.Lock()
	isDown, heard := q.isDown, q.heard
	q.mu.Unlock()
	if !isDown {
		return
	}
	timer := time.NewTimer(maxQuotaPause)
	defer timer.Stop()
	select {
	case <-heard:
	case <-timer.C:
	}
}

// nextBatch answers the waiting requests that need no call, and returns those that the next
// call is for, with the sum of their units. Without any, the queue's goroutine ends.
func (q *quotaGate) nextBatch(now time.Time, team string, queue *quotaQueue) (batch []*quotaWaiter, sum uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue.waiters = slices.DeleteFunc(queue.waiters, func(w *quotaWaiter) bool {
		verdict, retryAfter := q.account.Charge(now, team, w.units)
		if verdict == sqquota.Ask {
			return false
		}
		w.answer <- quotaAnswer{verdict: verdict, retryAfter: retryAfter, askedAt: now}
		return true
	})
	n := q.account.Batch(team, unitsOf(queue.waiters))
	if queue.limit > 0 {
		n = min(n, queue.limit)
	}
	queue.limit = 0
	batch = slices.Clone(queue.waiters[:n])
	for _, w := range batch {
		sum += w.units
	}
	if n == 0 {
		queue.isAsking = false
	}
	return batch, sum
}

func unitsOf(waiters []*quotaWaiter) []uint64 {
	units := make([]uint64, 0, len(waiters))
	for _, w := range waiters {
		units = append(units, w.units)
	}
	return units
}

// applyQuotaAnswer passes the holder's answer on to the requests that it is for, and returns
// how long not to ask again.
func (g *gateway) applyQuotaAnswer(askedAt time.Time, team string, queue *quotaQueue, batch []*quotaWaiter, units uint64,
	res *sqrpc.GrantQuotaResponse) time.Duration {
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	// The time is read with the lock held: a pause before it must not make old units valid.
	now := sqclock.Now()
	queue.refused = !res.GetGranted()
	q.account.RecordTerm(now, res.GetTerm())
	retryAfter := time.Duration(res.GetRetryAfterMillis()) * time.Millisecond
	switch {
	case res.GetGranted() && !sqquota.MaySpend(askedAt, now):
		q.account.GiveBack(team, units)
		return 0
	case res.GetGranted():
		g.metrics.quotaGranted.Inc()
		for _, w := range batch {
			if w.left {
				q.account.GiveBack(team, w.units)
				continue
			}
			w.answer <- quotaAnswer{verdict: sqquota.Charged, askedAt: askedAt}
			w.answered = true
		}
		queue.removeAnswered()
		return 0
	}
	if n := q.account.Fitting(team, unitsOf(batch), retryAfter); n > 0 {
		queue.limit = n
		return 0
	}
	if pause := q.account.Refuse(now, team, units, retryAfter); pause > 0 {
		return pause
	}
	g.logQuotaExceeded(now, team, queue, units, retryAfter)
	for _, w := range batch {
		w.answer <- quotaAnswer{verdict: sqquota.Over, retryAfter: q.account.RetryAfter(now, team, w.units)}
		w.answered = true
	}
	queue.removeAnswered()
	return 0
}

// removeAnswered removes the requests that have been answered.
func (queue *quotaQueue) removeAnswered() {
	queue.waiters = slices.DeleteFunc(queue.waiters, func(w *quotaWaiter) bool { return w.answered })
}

// pauseQuotaCalls records a call that failed and waits before the next one.
func (g *gateway) pauseQuotaCalls(team string, queue *quotaQueue, address string, waiting int, err error) {
	now := sqclock.Now()
	if sqerror.KindOf(err) == sqerror.NotHolder {
		// Heartbeats find out who can be reached.
		sqrpc.ReportFailure(now, g.locator, address, err)
	}
	g.metrics.quotaFailed.Inc()
	q := g.quotas
	q.mu.Lock()
	queue.refused, q.isDown = false, true
	isLogged := queue.unansweredAt.IsZero() || now.Sub(queue.unansweredAt) >= quotaEventInterval
	if isLogged {
		queue.unansweredAt = now
	}
	q.mu.Unlock()
	if isLogged {
		g.log.Event(sqevent.QuotaNotAnswered, team, waiting, address, err.Error())
	}
	sqclock.Sleep(context.Background(), sqheartbeat.RetryInterval(g.view.Load().gatewayCount, 1, rand.Float64()))
}
