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

// answered notes exchanges under the guard that ended without an answer.
type answered struct {
	next http.RoundTripper
	note func()
}

// RoundTrip implements http.RoundTripper.
func (a answered) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := a.next.RoundTrip(req)
	if err != nil {
		a.note()
	}
	return res, err
}

func (h *holder) noteUnanswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unansweredAt = sqclock.Now()
}

// quiet says whether nothing that the guard let through can still be on its way.
// The library may still write a request whose exchange has failed; the guard
// bounds that write by the lease, and the library by the exchange's time.
func (h *holder) quiet(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unansweredAt.IsZero() || now.Sub(h.unansweredAt) > callTimeout+h.cfg.Timings.Lease
}

// handOver passes the authority on when the process stops. The holder's rounds
// must have ended. Without it, the others elect a holder by themselves, and that
// one waits out the lease.
func (h *holder) handOver() {
	now := sqclock.Now()
	if _, _, held := h.replica.Lease(now); !held {
		return
	}
	err := h.tryHandOver(now)
	if err != nil {
		h.log.Event(sqevent.ReplicaKeptLead, err.Error())
	}
}

// yieldPatience is the part of the freshness lease, in percent, for which the
// entries may get no answer. What is left lets them find the next holder before
// they refuse keyed requests.
const yieldPatience = 75

// yieldPause is the least time between two hand-overs of one process because
// its answers are lost, so that the authority does not go to and fro where no
// holder can be heard.
const yieldPause = time.Minute

func (h *holder) numberAnswer(now time.Time, t *tenure, req *sqrpc.WatchRequest) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.heard.hear(now, req)
}

// checkHeard hands the authority over when the entries get no answers although
// this process keeps its lease: the replicas hear it, or it only hears them.
func (h *holder) checkHeard(ctx context.Context, t *tenure) {
	now := sqclock.Now()
	if !h.yieldedAt.IsZero() && now.Sub(h.yieldedAt) < yieldPause {
		return
	}
	patience := h.cfg.Timings.Fresh * yieldPatience / 100
	h.mu.Lock()
	unheard := t.heard.unheardFor(now, patience)
	h.mu.Unlock()
	if unheard < patience {
		return
	}
	h.yieldedAt = now
	h.log.Event(sqevent.HolderUnheard, t.term, unheard.Milliseconds())
	if err := h.yield(ctx); err != nil {
		h.log.Event(sqevent.HolderKeptLead, t.term, err.Error())
	}
}

// yield hands over while the loops go on. Nothing is sent meanwhile, and what
// was sent without an answer is waited for.
func (h *holder) yield(ctx context.Context) error {
	h.sending.Lock()
	defer h.sending.Unlock()
	tick := time.NewTicker(h.cfg.Timings.Heartbeat)
	defer tick.Stop()
	for !h.quiet(sqclock.Now()) {
		select {
		case <-ctx.Done():
			return sqerror.New(sqerror.Config{Kind: sqerror.Stopped, Detail: "the process stops", Cause: ctx.Err()})
		case <-tick.C:
		}
	}
	return h.tryHandOver(sqclock.Now())
}

func (h *holder) tryHandOver(now time.Time) error {
	if !h.quiet(now) {
		return sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, Detail: "an order without an answer may still be on its way"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Timings.Election)
	defer cancel()
	return h.replica.TransferLeadership(ctx)
}

// grace returns a context that ends some time after ctx, so that an exchange
// that has begun can get its answer.
func grace(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(d, cancel)
	})
	return work, func() {
		stop()
		cancel()
	}
}
