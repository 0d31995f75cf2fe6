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
	// maxPolls bounds the polls at a time.
	maxPolls = 16
	// deadAfter is how long a stream must have been silent before an engine
	// that answers no polls is given up.
	deadAfter = time.Second
)

// pollLoop asks the endpoints for their loads and cache events: those that this
// entry reads for all, and those where its own work gives no sign of life.
func (e *entry) pollLoop(ctx context.Context) {
	t := time.NewTicker(e.cfg.Timings.PollEvery / sqreader.RoundsPerPoll)
	defer t.Stop()
	slots := make(chan struct{}, maxPolls)
	planner := sqreader.NewPlanner(sqreader.Config{PollInterval: e.cfg.Timings.PollEvery, BytesPerSecond: e.cfg.Limits.PollBytes})
	var bytes int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := sqclock.Now()
		targets, states, entries := e.fleet.targets(e.running.signs())
		plan := planner.PlanRound(now, entries, states)
		e.pollAll(ctx, now, slots, targets, plan)
		total := e.client.ControlBytes()
		planner.RecordCost(int(total-bytes), len(plan.Read())+len(plan.EventPolls()))
		bytes = total
		e.admission.setRooms(now, e.fleet, e.routes.Load().pools)
		e.moveFromLeaving(now)
	}
}

// pollAll begins the polls of a round. Endpoints that hang hold the slots; what
// finds none waits for the next round, which comes soon.
func (e *entry) pollAll(ctx context.Context, now time.Time, slots chan struct{}, targets []target, plan sqreader.Plan) {
	begin := func(i int, load bool, poll func(context.Context, target)) {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		e.fleet.asked(now, targets[i].id, load)
		go func() {
			defer func() { <-slots }()
			poll(ctx, targets[i])
		}()
	}
	for _, i := range plan.Read() {
		begin(i, true, e.poll)
	}
	for _, i := range plan.EventPolls() {
		if targets[i].kind == sqroute.KindEngine {
			begin(i, false, e.pollEvents)
		}
	}
}

// pollEvents asks for cache events alone.
func (e *entry) pollEvents(ctx context.Context, p target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e.pollCache(ctx, p)
}

func (e *entry) poll(ctx context.Context, p target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := e.pollLoad(ctx, p)
	changed, closed := e.fleet.polled(sqclock.Now(), sqclock.Wall(), p.id, load, err)
	if changed && closed {
		e.cfg.Log.Event(sqevent.CircuitOpened, p.id, "no answer to polls")
		e.leaveDead(p.id)
		// The other entries hear of it at once.
		e.watch.RenewNow()
	} else if changed {
		e.cfg.Log.Event(sqevent.CircuitClosed, p.id)
	}
	if err == nil && p.kind == sqroute.KindEngine {
		e.pollCache(ctx, p)
	}
}

// takeReadings takes what other entries read.
func (e *entry) takeReadings(now time.Time, v *sqwatch.View) {
	for _, id := range e.fleet.takeReadings(now, v.Readings()) {
		e.cfg.Log.Event(sqevent.CircuitOpened, id, "no answer to its readers' polls")
		e.leaveDead(id)
	}
}

func (e *entry) pollLoad(ctx context.Context, p target) (sqendpoint.Load, error) {
	if p.kind == sqroute.KindEngine {
		return e.client.EngineLoad(ctx, p.address)
	}
	return e.client.PlainLoad(ctx, p.address)
}

func (e *entry) pollCache(ctx context.Context, p target) {
	after := e.fleet.nextEvent(p.id)
	events, err := e.client.CacheEvents(ctx, p.address, after)
	if err != nil {
		return
	}
	if after > 0 && events.First > after+1 {
		e.cfg.Log.Event(sqevent.CacheEventGap, p.id, after, events.First)
	}
	e.fleet.setEvents(sqclock.Now(), p.id, events.Events)
}

// leaveDead makes answers leave an engine that answers no polls and gives them
// nothing.
func (e *entry) leaveDead(id string) {
	now := sqclock.Now()
	for _, r := range e.running.list() {
		if r.where() == id && now.Sub(r.lastEvent()) > deadAfter {
			r.interrupt(errDead)
		}
	}
}

// drainPatience is how long answers may run on at an engine that drains for a
// role change before they are moved.
const drainPatience = 2 * time.Second

// moveFromLeaving moves the answers that run at engines which leave or drain.
func (e *entry) moveFromLeaving(now time.Time) {
	var moving map[string]bool
	for _, r := range e.running.list() {
		id := r.where()
		if id == "" {
			continue
		}
		if moving == nil {
			moving = e.fleet.moving(now)
		}
		if moving[id] && r.mayMove(now) {
			r.interrupt(errMove)
		}
	}
}

// moving returns the engines that answers should leave now.
func (f *fleet) moving(now time.Time) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]bool{}
	for id, p := range f.points {
		if p.live() {
			continue
		}
		if p.view.GetState() == stateLeaving || now.Sub(p.closedAt) > drainPatience {
			out[id] = true
		}
	}
	return out
}

// mayMove reports whether the last try to move is long enough ago.
func (r *answerRun) mayMove(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.After(r.stayUntil)
}

// lastEvent returns when the stream last gave something.
func (r *answerRun) lastEvent() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eventAt
}
