package sqentry

import (
	"context"
	"sync"
	"time"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// admission guards the admission policy, which is pure, for concurrent use, and
// wakes the requests that it lets go.
type admission struct {
	mu      sync.Mutex
	policy  sqcore.Admitter
	last    uint64
	waiting map[uint64]*waiter
	timer   *time.Timer
	tokens  map[string]*teamTokens
	// work is what the policy is being offered; it keeps no pointer to it.
	work sqadmit.Request
}

// minWake keeps a policy that asks to be woken at once from using a processor.
const minWake = time.Millisecond

// waiter is a queued request.
type waiter struct {
	request *admitted
	verdict chan sqadmit.Decision
}

// teamTokens is a team's work at this entry, in tokens.
type teamTokens struct {
	queued, running, arrived uint64
	requests                 uint32
}

func (t *teamTokens) start(tokens uint64) {
	t.running += tokens
	t.requests++
}

// admitted is a request that may run; it must be ended by finish.
type admitted struct {
	id     uint64
	team   string
	tokens uint64
	// work is nil for requests to plain services.
	work *openWork
	// verdicts are what was decided, put into words when the request is over.
	verdicts [2]sqadmit.Decision
	decided  int
}

func (ad *admitted) decide(v sqadmit.Decision) {
	ad.verdicts[ad.decided] = v
	ad.decided++
}

// lines returns the reasons of the verdicts.
func (ad *admitted) lines() []string {
	var lines []string
	for _, v := range ad.verdicts[:ad.decided] {
		lines = append(lines, v.Lines()...)
	}
	return lines
}

func newAdmission(policy sqcore.Admitter) *admission {
	a := &admission{policy: policy, waiting: map[uint64]*waiter{}, tokens: map[string]*teamTokens{}}
	a.timer = time.AfterFunc(time.Hour, a.pumpNow)
	return a
}

// admit waits for the request's turn and notes it in ad. The error says that the
// request was refused or that ctx ended.
func (a *admission) admit(ctx context.Context, now time.Time, cfg sqadmit.RequestConfig, ad *admitted) error {
	*ad = admitted{team: cfg.Team, tokens: uint64(cfg.PromptTokens + cfg.OutputTokens)}
	v, wait := a.offer(now, ad, cfg)
	ad.decide(v)
	if v.Action() == sqadmit.Queue {
		select {
		case v = <-wait:
		case <-ctx.Done():
			if a.cancel(ad) {
				return ended(ctx)
			}
			v = <-wait
		}
		ad.decide(v)
	}
	if v.Action() == sqadmit.Refuse {
		return sqerror.New(sqerror.Config{Kind: v.Kind(), Execution: sqerror.NotRun, RetryAfter: v.RetryAfter()})
	}
	return nil
}

func (a *admission) offer(now time.Time, ad *admitted, cfg sqadmit.RequestConfig) (sqadmit.Decision, chan sqadmit.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	ad.id = a.last
	cfg.ID = ad.id
	a.work = sqadmit.NewRequest(cfg)
	v := a.policy.Offer(now, &a.work)
	t := a.team(cfg.Team)
	t.arrived += ad.tokens
	var wait chan sqadmit.Decision
	switch v.Action() {
	case sqadmit.Queue:
		t.queued += ad.tokens
		wait = make(chan sqadmit.Decision, 1)
		a.waiting[ad.id] = &waiter{request: ad, verdict: wait}
	case sqadmit.Run:
		t.start(ad.tokens)
	}
	a.pump(now)
	return v, wait
}

func (a *admission) team(name string) *teamTokens {
	t, ok := a.tokens[name]
	if !ok {
		t = &teamTokens{}
		a.tokens[name] = t
	}
	return t
}

// cancel takes a queued request back; false means that a verdict came first.
func (a *admission) cancel(ad *admitted) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.waiting[ad.id]; !ok {
		return false
	}
	delete(a.waiting, ad.id)
	now := sqclock.Now()
	a.policy.Cancel(now, ad.id)
	a.team(ad.team).queued -= ad.tokens
	a.pump(now)
	return true
}

func (a *admission) prefilled(now time.Time, ad *admitted) {
	ad.work.prefilled()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.Prefilled(now, ad.id)
	a.pump(now)
}

func (a *admission) finish(now time.Time, ad *admitted, prompt, output int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.team(ad.team)
	t.running -= ad.tokens
	t.requests--
	a.policy.Finish(now, ad.id, sqadmit.NewUsage(sqadmit.UsageConfig{PromptTokens: prompt, OutputTokens: output}))
	a.pump(now)
}

func (a *admission) setTeams(now time.Time, teams []sqadmit.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.SetTeams(now, teams)
	a.pump(now)
}

func (a *admission) setWeights(now time.Time, w *sqcommand.Weights) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.SetWeights(now, w)
}

func (a *admission) setRooms(now time.Time, f *fleet, pools []pool) {
	rooms := make([]sqadmit.PoolLimits, len(pools))
	for i, p := range pools {
		rooms[i] = f.room(now, p)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, p := range pools {
		a.policy.SetPoolLimits(now, p.name, rooms[i])
	}
	a.pump(now)
}

func (a *admission) pumpNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pump(sqclock.Now())
}

// pump hands out the verdicts that are due; the lock is held.
func (a *admission) pump(now time.Time) {
	for {
		v, ok := a.policy.Next(now)
		if !ok {
			break
		}
		a.deliver(v)
	}
	if wake := a.policy.WakeTime(now); !wake.IsZero() {
		a.timer.Reset(max(minWake, wake.Sub(now)))
	}
}

func (a *admission) deliver(v sqadmit.Decision) {
	w, ok := a.waiting[v.ID()]
	if !ok {
		return
	}
	delete(a.waiting, v.ID())
	t := a.team(w.request.team)
	t.queued -= w.request.tokens
	if v.Action() == sqadmit.Run {
		t.start(w.request.tokens)
	}
	w.verdict <- v
}

// queued returns how many requests wait.
func (a *admission) queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// ended returns the refusal of a request whose context ended before any byte of
// it went out.
func ended(ctx context.Context) *sqerror.Error {
	if graceOver(ctx) {
		return notRun(sqerror.Leaving, errStopping.Detail())
	}
	if ctx.Err() == context.DeadlineExceeded {
		return notRun(sqerror.DeadlineExceeded, "the deadline passed in the queue")
	}
	return notRun(sqerror.Canceled, "the caller left")
}
