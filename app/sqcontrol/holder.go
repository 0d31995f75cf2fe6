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
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqreplica"
)

// holder does the duties of the lease holder. On a replica without the lease
// it does nothing.
type holder struct {
	cfg     Config
	replica *sqreplica.Replica
	machine *sqmachine.Machine
	log     *sqlog.Log
	// plain reads lists and reports; orders go through guarded clients only.
	plain *http.Client
	plans *planners
	meter *metricSet

	// sending is held by whoever sends under the guard.
	sending sync.Mutex
	// yieldedAt is when this process last tried to hand over because no entry
	// heard it. Only checkHeard uses it.
	yieldedAt time.Time

	mu     sync.Mutex
	tenure *tenure
	// numbers are those of the newest term in which this process held the lease.
	// After a restart a process holds it in a later term only.
	numbers *termNumbers
	// unansweredAt is when an exchange under the guard last ended without an
	// answer.
	unansweredAt time.Time
}

func newHolder(cfg Config, r *sqreplica.Replica, m *sqmachine.Machine) *holder {
	h := &holder{
		cfg:     cfg,
		replica: r,
		machine: m,
		log:     cfg.Log,
		plain:   &http.Client{Timeout: callTimeout},
		plans:   newPlanners(cfg.Policy),
	}
	h.meter = newMetricSet(h)
	return h
}

// current returns the tenure of the lease held at now, or an error of kind
// NotHolder.
func (h *holder) current(now time.Time) (*tenure, error) {
	term, _, held := h.replica.Lease(now)
	if !held {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.end()
		return nil, h.notHolder()
	}
	if t := h.tenureOf(term); t != nil {
		return t, nil
	}
	earlier, ok := h.replica.PreviousLeasesEnd(term)
	if !ok {
		earlier = now
	}
	return h.begin(now, earlier, term), nil
}

// tenureOf returns the tenure of a term if it has begun, or nil.
func (h *holder) tenureOf(term uint64) *tenure {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tenure == nil || h.tenure.term != term {
		return nil
	}
	return h.tenure
}

// begin starts the tenure of a term, unless another call just did. Leases of
// earlier terms were over at earlier. The state is read before h.mu is taken,
// because markDrains takes the two the other way round.
func (h *holder) begin(now, earlier time.Time, term uint64) *tenure {
	var entries []string
	h.machine.Read(func(s *sqstate.State) { entries = s.Entries() })
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tenure == nil || h.tenure.term != term {
		h.end()
		if h.numbers == nil || h.numbers.term != term {
			h.numbers = newTermNumbers(term)
		} else {
			// The last tenure was this process's own, in the same term.
			earlier = now
		}
		h.tenure = newTenure(h.cfg, h.numbers, now, earlier, entries)
		h.log.Event(sqevent.HolderBegan, term)
	}
	return h.tenure
}

// end forgets the tenure; h.mu must be held.
func (h *holder) end() {
	if h.tenure != nil {
		h.log.Event(sqevent.HolderEnded, h.tenure.term)
		h.numbers.fleet = h.tenure.fleet.Revision() + lateRevisions
		h.numbers.readings = h.tenure.readings.number
		h.tenure = nil
	}
}

func (h *holder) notHolder() error {
	return sqerror.New(sqerror.Config{
		Kind:       sqerror.NotHolder,
		Detail:     "this process does not hold the lease",
		Elsewhere:  h.replica.Status().LeaderAddress(),
		RetryAfter: h.cfg.Timings.Heartbeat,
	})
}

// run does the holder's duties until ctx ends. What has begun goes on for at
// most an election timeout. Looking has a loop of its own: an engine that does
// not answer holds up a look, but no order and no report.
func (h *holder) run(ctx context.Context) {
	work, cancel := grace(ctx, h.cfg.Timings.Election)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { h.every(ctx, work, duty{h.cfg.Timings.Poll, (*tenure).isNew, h.look}) })
	loops.Go(func() { h.every(ctx, work, duty{h.cfg.Timings.Poll, (*tenure).isNew, h.act}) })
	loops.Go(func() { h.every(ctx, work, duty{h.cfg.Timings.Plan, (*tenure).unplanned, h.plan}) })
	loops.Go(func() { h.every(ctx, work, duty{h.cfg.Timings.Heartbeat, (*tenure).isNew, h.checkHeard}) })
	loops.Wait()
}

// duty is what the holder does in each period, and as often as possible while
// urgent.
type duty struct {
	period time.Duration
	urgent func(t *tenure, now time.Time) bool
	do     func(context.Context, *tenure)
}

// every does a duty in each period in which this process holds the lease, until
// ctx ends; the duty itself runs under work. A new tenure does not wait for the
// period that was under way.
func (h *holder) every(ctx, work context.Context, d duty) {
	tick := time.NewTicker(min(d.period, h.cfg.Timings.Heartbeat))
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := sqclock.Now()
		t, err := h.current(now)
		if err != nil || ctx.Err() != nil || now.Sub(last) < d.period && !d.urgent(t, now) {
			continue
		}
		last = now
		d.do(work, t)
	}
}

// act sends what is due and keeps the books of entries, calls and shares.
func (h *holder) act(ctx context.Context, t *tenure) {
	h.sending.Lock()
	defer h.sending.Unlock()
	h.markDrains(t)
	now := sqclock.Now()
	h.listEntries(now, t)
	h.splitShares(now, t)
	var sends sync.WaitGroup
	sends.Go(func() { h.advanceEngineOrders(ctx, t) })
	sends.Go(func() {
		// One after the other: the platform keeps one highest fencing number.
		h.reportWindows(ctx, t)
		h.advanceEndpointOrders(ctx, t)
	})
	sends.Go(func() { h.closeLostCalls(ctx, t) })
	sends.Wait()
	h.trimCalls(ctx, t)
	h.forgetEntries(ctx, t)
}

// guard returns a client whose writes are covered by the lease of one term.
func (h *holder) guard(term uint64) *http.Client {
	lease := func(now time.Time) (time.Time, bool) {
		current, until, held := h.replica.Lease(now)
		return until, held && current == term
	}
	c := sqguard.New(sqguard.Config{Lease: lease, Now: sqclock.Now, Timeout: callTimeout}).Client()
	c.Transport = answered{next: c.Transport, note: h.noteUnanswered}
	return c
}

// propose commits a command and returns its answer. The error is that of the
// commit, or that of the answer.
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

// commit proposes a command of the holder itself and logs what goes wrong. It
// returns nil when the command had no effect.
func (h *holder) commit(ctx context.Context, what string, c *sqcommand.Command) *sqcommand.Result {
	res, err := h.propose(ctx, c)
	if err == nil {
		err = sqstate.ResultError(res)
	}
	if err != nil {
		h.log.Event(sqevent.ProposalFailed, what, err.Error())
		return nil
	}
	return res
}
