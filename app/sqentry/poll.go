package sqentry

import (
	"context"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqreader"
	"sequoiadock/core/sqroute"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqwatch"
)

const (
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
	// maxConcurrentPolls bounds the polls in flight.
	maxConcurrentPolls = 16
	// maxStreamSilence is how long a stream may be silent while its engine
	// answers no polls. After it, the response leaves the engine.
	maxStreamSilence = time.Second
)

// pollLoop polls the endpoints for their loads and cache events: those that
// this entry polls on behalf of all entries, and those where its own requests
// get no events.
func (e *entry) pollLoop(ctx context.Context) {
	t := time.NewTicker(e.cfg.Timings.PollInterval / sqreader.RoundsPerPoll)
	defer t.Stop()
	slots := make(chan struct{}, maxConcurrentPolls)
	planner := sqreader.NewPlanner(sqreader.Config{PollInterval: e.cfg.Timings.PollInterval, BytesPerSecond: e.cfg.Limits.PollBytesPerSecond})
	var bytes int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := sqclock.Now()
		targets, states, entries := e.fleet.pollTargets(e.active.lastEventTimes())
		plan := planner.PlanRound(now, entries, states)
		e.startPolls(ctx, now, slots, targets, plan)
		total := e.endpointClient.ControlBytes()
		planner.RecordCost(int(total-bytes), len(plan.Read())+len(plan.EventPolls()))
		bytes = total
		e.admission.setPoolLimits(now, e.fleet, e.routes.Load().pools)
		e.moveFromClosing(now)
	}
}

// startPolls starts the polls of a round. Endpoints that don't respond occupy
// the slots until the timeout; polls that find no free slot wait for the next
// round, which comes soon.
func (e *entry) startPolls(ctx context.Context, now time.Time, slots chan struct{}, targets []target, plan sqreader.Plan) {
	start := func(i int, withLoad bool, poll func(context.Context, target)) {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		e.fleet.recordPollStart(now, targets[i].id, withLoad)
		go func() {
			defer func() { <-slots }()
			poll(ctx, targets[i])
		}()
	}
	for _, i := range plan.Read() {
		start(i, true, e.pollEndpoint)
	}
	for _, i := range plan.EventPolls() {
		if targets[i].kind == sqroute.KindEngine {
			start(i, false, e.pollEvents)
		}
	}
}

// pollEvents polls an engine for cache events only.
func (e *entry) pollEvents(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e.pollCache(ctx, t)
}

func (e *entry) pollEndpoint(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := e.pollLoad(ctx, t)
	changed, unavailable := e.fleet.recordPoll(sqclock.Now(), sqclock.Wall(), t.id, load, err)
	if changed && unavailable {
		e.cfg.Log.Event(sqevent.CircuitOpened, t.id, "no answer to polls")
		e.interruptSilent(t.id)
		// Reports the endpoint to the other entries without delay.
		e.watch.RenewNow()
	} else if changed {
		e.cfg.Log.Event(sqevent.CircuitClosed, t.id)
	}
	if err == nil && t.kind == sqroute.KindEngine {
		e.pollCache(ctx, t)
	}
}

// applyReadings applies the readings of other entries.
func (e *entry) applyReadings(now time.Time, v *sqwatch.View) {
	for _, id := range e.fleet.applyReadings(now, v.Readings()) {
		e.cfg.Log.Event(sqevent.CircuitOpened, id, "no answer to its readers' polls")
		e.interruptSilent(id)
	}
}

func (e *entry) pollLoad(ctx context.Context, t target) (sqendpoint.Load, error) {
	if t.kind == sqroute.KindEngine {
		return e.endpointClient.EngineLoad(ctx, t.address)
	}
	return e.endpointClient.PlainLoad(ctx, t.address)
}

func (e *entry) pollCache(ctx context.Context, t target) {
	after := e.fleet.lastEventNumber(t.id)
	events, err := e.endpointClient.CacheEvents(ctx, t.address, after)
	if err != nil {
		return
	}
	if after > 0 && events.First > after+1 {
		e.cfg.Log.Event(sqevent.CacheEventGap, t.id, after, events.First)
	}
	e.fleet.applyEvents(sqclock.Now(), t.id, events.Events)
}

// interruptSilent interrupts the responses from an engine that answers no polls
// and whose stream is silent as well.
func (e *entry) interruptSilent(id string) {
	now := sqclock.Now()
	for _, r := range e.active.relayList() {
		if r.currentEndpoint() == id && now.Sub(r.lastEventTime()) > maxStreamSilence {
			r.interrupt(errEngineSilent)
		}
	}
}

// drainGrace is how long responses may continue at an engine that drains for a
// role change before they are moved.
const drainGrace = 2 * time.Second

// moveFromClosing moves the responses away from engines that are leaving or
// draining.
func (e *entry) moveFromClosing(now time.Time) {
	var toLeave map[string]bool
	for _, r := range e.active.relayList() {
		id := r.currentEndpoint()
		if id == "" {
			continue
		}
		if toLeave == nil {
			toLeave = e.fleet.enginesToLeave(now)
		}
		if toLeave[id] && r.mayMove(now) {
			r.interrupt(errEngineLeaving)
		}
	}
}

// enginesToLeave returns the engines from which responses should move now.
func (f *fleet) enginesToLeave(now time.Time) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines := map[string]bool{}
	for id, p := range f.endpoints {
		if p.live() {
			continue
		}
		if p.view.GetState() == stateLeaving || now.Sub(p.notLiveSince) > drainGrace {
			engines[id] = true
		}
	}
	return engines
}

// mayMove reports whether enough time has passed since the last attempt to
// move.
func (r *responseRelay) mayMove(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.After(r.nextMoveAt)
}

// lastEventTime returns when the stream last sent an event.
func (r *responseRelay) lastEventTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEventAt
}
