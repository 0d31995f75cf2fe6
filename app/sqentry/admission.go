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

// admission guards the admission policy, which has no locks, timers or I/O of
// its own, for concurrent use. It wakes queued requests once the policy has
// decided on them.
type admission struct {
	mu        sync.Mutex
	policy    sqcore.Admitter
	lastID    uint64
	waiting   map[uint64]*waiter
	wakeTimer *time.Timer
	teams     map[string]*teamWork
	// offered is the request passed to policy.Offer, which keeps no pointer to
	// it.
	offered sqadmit.Request
}

// minWakeDelay limits how often a policy that asks to be woken at once can take
// up a CPU.
const minWakeDelay = time.Millisecond

// waiter is a queued request and the channel that receives its decision.
type waiter struct {
	ticket   *admissionTicket
	decision chan sqadmit.Decision
}

// teamWork counts the tokens and requests of one team at this entry.
type teamWork struct {
	queuedTokens, runningTokens, arrivedTokens uint64
	runningRequests                            uint32
}

func (t *teamWork) addRunning(tokens uint64) {
	t.runningTokens += tokens
	t.runningRequests++
}

// admissionTicket holds the admission of one request. A ticket whose request
// was admitted must be passed to admission.finish.
type admissionTicket struct {
	id     uint64
	team   string
	tokens uint64
	// demand is nil for requests to plain services.
	demand *pendingWork
	// decisions are kept as values and turned into text only when the request
	// is over.
	decisions     [2]sqadmit.Decision
	decisionCount int
}

func (t *admissionTicket) addDecision(d sqadmit.Decision) {
	t.decisions[t.decisionCount] = d
	t.decisionCount++
}

// explanations returns the reasons for the admission decisions as text.
func (t *admissionTicket) explanations() []string {
	var lines []string
	for _, d := range t.decisions[:t.decisionCount] {
		lines = append(lines, d.Explanation()...)
	}
	return lines
}

func newAdmission(policy sqcore.Admitter) *admission {
	a := &admission{policy: policy, waiting: map[uint64]*waiter{}, teams: map[string]*teamWork{}}
	a.wakeTimer = time.AfterFunc(time.Hour, a.deliverDueNow)
	return a
}

// admit waits until the policy admits the request and fills in ticket. It
// returns an error if the request is refused or ctx ends.
func (a *admission) admit(ctx context.Context, now time.Time, cfg sqadmit.RequestConfig, ticket *admissionTicket) error {
	*ticket = admissionTicket{team: cfg.Team, tokens: uint64(cfg.PromptTokens + cfg.OutputTokens)}
	decision, decided := a.offer(now, ticket, cfg)
	ticket.addDecision(decision)
	if decision.Action() == sqadmit.Queue {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			if a.cancelQueued(ticket) {
				return queueError(ctx)
			}
			decision = <-decided
		}
		ticket.addDecision(decision)
	}
	if decision.Action() == sqadmit.Refuse {
		return sqerror.New(sqerror.Config{Kind: decision.Kind(), Execution: sqerror.NotRun, RetryAfter: decision.RetryAfter()})
	}
	return nil
}

func (a *admission) offer(now time.Time, ticket *admissionTicket, cfg sqadmit.RequestConfig) (sqadmit.Decision, chan sqadmit.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	ticket.id = a.lastID
	cfg.ID = ticket.id
	a.offered = sqadmit.NewRequest(cfg)
	decision := a.policy.Offer(now, &a.offered)
	team := a.team(cfg.Team)
	team.arrivedTokens += ticket.tokens
	var decided chan sqadmit.Decision
	switch decision.Action() {
	case sqadmit.Queue:
		team.queuedTokens += ticket.tokens
		decided = make(chan sqadmit.Decision, 1)
		a.waiting[ticket.id] = &waiter{ticket: ticket, decision: decided}
	case sqadmit.Run:
		team.addRunning(ticket.tokens)
	}
	a.deliverDue(now)
	return decision, decided
}

func (a *admission) team(name string) *teamWork {
	t, ok := a.teams[name]
	if !ok {
		t = &teamWork{}
		a.teams[name] = t
	}
	return t
}

// cancelQueued removes a request from the queue. It returns false if the policy
// decided on the request first.
func (a *admission) cancelQueued(ticket *admissionTicket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.waiting[ticket.id]; !ok {
		return false
	}
	delete(a.waiting, ticket.id)
	now := sqclock.Now()
	a.policy.Cancel(now, ticket.id)
	a.team(ticket.team).queuedTokens -= ticket.tokens
	a.deliverDue(now)
	return true
}

func (a *admission) prefillDone(now time.Time, ticket *admissionTicket) {
	ticket.demand.prefillDone()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.RecordFirstToken(now, ticket.id)
	a.deliverDue(now)
}

func (a *admission) finish(now time.Time, ticket *admissionTicket, prompt, output int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	team := a.team(ticket.team)
	team.runningTokens -= ticket.tokens
	team.runningRequests--
	a.policy.Finish(now, ticket.id, sqadmit.NewUsage(sqadmit.UsageConfig{PromptTokens: prompt, OutputTokens: output}))
	a.deliverDue(now)
}

func (a *admission) setTeams(now time.Time, teams []sqadmit.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.SetTeams(now, teams)
	a.deliverDue(now)
}

func (a *admission) setWeights(now time.Time, w *sqcommand.Weights) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.SetWeights(now, w)
}

func (a *admission) setPoolLimits(now time.Time, f *fleet, pools []pool) {
	limits := make([]sqadmit.PoolLimits, len(pools))
	for i, p := range pools {
		limits[i] = f.poolLimits(now, p)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, p := range pools {
		a.policy.SetPoolLimits(now, p.name, limits[i])
	}
	a.deliverDue(now)
}

func (a *admission) deliverDueNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliverDue(sqclock.Now())
}

// deliverDue delivers all decisions that the policy has ready and sets the wake
// timer. The caller holds the lock.
func (a *admission) deliverDue(now time.Time) {
	for {
		decision, ok := a.policy.Next(now)
		if !ok {
			break
		}
		a.deliver(decision)
	}
	if wakeAt := a.policy.WakeTime(now); !wakeAt.IsZero() {
		a.wakeTimer.Reset(max(minWakeDelay, wakeAt.Sub(now)))
	}
}

func (a *admission) deliver(decision sqadmit.Decision) {
	w, ok := a.waiting[decision.ID()]
	if !ok {
		return
	}
	delete(a.waiting, decision.ID())
	team := a.team(w.ticket.team)
	team.queuedTokens -= w.ticket.tokens
	if decision.Action() == sqadmit.Run {
		team.addRunning(w.ticket.tokens)
	}
	w.decision <- decision
}

// queueLength returns the number of queued requests.
func (a *admission) queueLength() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// queueError returns the error for a request whose context ended in the queue,
// before any byte of it was sent.
func queueError(ctx context.Context) *sqerror.Error {
	if graceExpired(ctx) {
		return notRunError(sqerror.Leaving, errStopping.Detail())
	}
	if ctx.Err() == context.DeadlineExceeded {
		return notRunError(sqerror.DeadlineExceeded, "the deadline passed in the queue")
	}
	return notRunError(sqerror.Canceled, "the caller left")
}
