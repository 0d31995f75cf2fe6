package sqcontrol

import (
	"context"
	"net/http"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// failureRecorder calls onError for each request through a guarded client that ends
// without a response.
type failureRecorder struct {
	next    http.RoundTripper
	onError func()
}

// RoundTrip implements http.RoundTripper.
func (f failureRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := f.next.RoundTrip(req)
	if err != nil {
		f.onError()
	}
	return res, err
}

func (h *holder) recordFailedExchange() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailedExchange = sqclock.Now()
}

// noSendInFlight returns whether no request that the guard let through can still be
// in flight. The HTTP library may still write a request whose exchange has failed;
// the guard bounds that write by the lease, and the library bounds it by the
// timeout of the exchange.
func (h *holder) noSendInFlight(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailedExchange.IsZero() || now.Sub(h.lastFailedExchange) > callTimeout+h.cfg.Timings.LeaseDuration
}

// handOverOnStop hands over the lease when the process stops. The holder's loops
// must have ended. Without a hand-over, the other replicas elect a holder by
// themselves, and that holder waits until the lease ends.
func (h *holder) handOverOnStop() {
	now := sqclock.Now()
	if _, _, held := h.replica.Lease(now); !held {
		return
	}
	err := h.tryHandOver(now)
	if err != nil {
		h.log.Event(sqevent.ReplicaTransferFailed, err.Error())
	}
}

// maxUnacknowledgedPercent is how long entries may go without acknowledging an
// answer, in percent of the freshness lease. The rest of the lease lets them find
// the next holder before they reject requests with API keys.
const maxUnacknowledgedPercent = 75

// minHandOverInterval is the least time between two hand-overs of one process
// because entries get no answers, so that the lease does not move back and forth if
// entries receive no answers from any holder.
const minHandOverInterval = time.Minute

func (h *holder) nextAnswerNumber(now time.Time, t *termState, req *sqrpc.WatchRequest) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.acks.recordWatch(now, req)
}

// checkAcks hands over the lease when entries receive no answers although this
// process keeps its lease. That happens when it reaches the other replicas but not
// the entries, or when it receives watches but its answers are lost.
func (h *holder) checkAcks(ctx context.Context, t *termState) {
	now := sqclock.Now()
	if !h.handOverTriedAt.IsZero() && now.Sub(h.handOverTriedAt) < minHandOverInterval {
		return
	}
	limit := h.cfg.Timings.FreshnessLease * maxUnacknowledgedPercent / 100
	h.mu.Lock()
	unacknowledged := t.acks.unacknowledgedFor(now, limit)
	h.mu.Unlock()
	if unacknowledged < limit {
		return
	}
	h.handOverTriedAt = now
	h.log.Event(sqevent.HolderUnacknowledged, t.term, unacknowledged.Milliseconds())
	if err := h.handOverWhileRunning(ctx); err != nil {
		h.log.Event(sqevent.HolderTransferFailed, t.term, err.Error())
	}
}

// handOverWhileRunning hands over the lease while the holder's loops run. It blocks
// new requests to engines and the platform, and waits until no unanswered one can
// still be in flight.
func (h *holder) handOverWhileRunning(ctx context.Context) error {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	tick := time.NewTicker(h.cfg.Timings.HeartbeatInterval)
	defer tick.Stop()
	for !h.noSendInFlight(sqclock.Now()) {
		select {
		case <-ctx.Done():
			return sqerror.New(sqerror.Config{Kind: sqerror.Stopped, Detail: "the process stops", Cause: ctx.Err()})
		case <-tick.C:
		}
	}
	return h.tryHandOver(sqclock.Now())
}

func (h *holder) tryHandOver(now time.Time) error {
	if !h.noSendInFlight(now) {
		return sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, Detail: "an order without an answer may still be on its way"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Timings.ElectionTimeout)
	defer cancel()
	return h.replica.TransferLeadership(ctx)
}

// withGracePeriod returns a context that ends d after ctx, so that a request in
// progress can get its response.
func withGracePeriod(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	grace, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(d, cancel)
	})
	return grace, func() {
		stop()
		cancel()
	}
}
