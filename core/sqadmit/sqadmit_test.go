package sqadmit

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

var start = time.Unix(1_000_000, 0)

// strictOrder disables the reordering that goodput allows.
var strictOrder = Config{Weights: &sqcommand.Weights{WorstTeam: 1}}

func unbounded(name string, weight float64) TeamConfig {
	return TeamConfig{Name: name, Weight: weight, TokensPerSecond: Unbounded, MaxRunning: Unbounded, MaxQueued: Unbounded}
}

func newTestQueue(cfg Config, running int, teams ...TeamConfig) *FairQueue {
	f := NewFairQueue(cfg)
	configured := make([]Team, len(teams))
	for i := range teams {
		configured[i] = NewTeam(teams[i])
	}
	f.SetTeams(start, configured)
	f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: running, MaxPrefillTokens: 1 << 30}))
	return f
}

func offer(f *FairQueue, now time.Time, cfg RequestConfig) Decision {
	cfg.Pool = "m"
	req := NewRequest(cfg)
	return f.Offer(now, &req)
}

func expectAction(t *testing.T, d Decision, action Action) {
	t.Helper()
	assert.Equal(t, d.Action(), action, "%v", d.Explanation())
}

func TestRunsImmediatelyWithinPoolLimit(t *testing.T) {
	f := newTestQueue(strictOrder, 2, unbounded("a", 1))
	expectAction(t, offer(f, start, RequestConfig{ID: 1, Team: "a"}), Run)
	expectAction(t, offer(f, start, RequestConfig{ID: 2, Team: "a"}), Run)
	expectAction(t, offer(f, start, RequestConfig{ID: 3, Team: "a"}), Queue)
	_, ok := f.Next(start)
	assert.Assert(t, !ok)
	f.Finish(start, 1, NewUsage(UsageConfig{}))
	d, ok := f.Next(start)
	assert.Assert(t, ok && d.ID() == 3 && d.Action() == Run)
}

func TestTeamLimits(t *testing.T) {
	running := unbounded("a", 1)
	running.MaxRunning = 1
	queued := unbounded("a", 1)
	queued.MaxRunning, queued.MaxQueued = 0, 0
	rate := unbounded("a", 1)
	rate.TokensPerSecond = 100
	zeroRate := unbounded("a", 1)
	zeroRate.TokensPerSecond = 0
	deadline := start.Add(10 * time.Second)
	for name, c := range map[string]struct {
		team          TeamConfig
		first, second Action
		kind          sqerror.Kind
	}{
		"no limits":                          {unbounded("a", 1), Run, Run, sqerror.None},
		"running":                            {running, Run, Queue, sqerror.None},
		"queue":                              {queued, Refuse, Refuse, sqerror.OverLimit},
		"rate allows it before the deadline": {rate, Run, Queue, sqerror.None},
		"rate limit of zero":                 {zeroRate, Queue, Queue, sqerror.None},
		"unknown team":                       {unbounded("b", 1), Run, Run, sqerror.None},
		"rate is used up until the deadline": {TeamConfig{Name: "a", Weight: 1, TokensPerSecond: 10,
			MaxRunning: Unbounded, MaxQueued: Unbounded}, Run, Refuse, sqerror.OverLimit},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestQueue(strictOrder, 9, c.team)
			expectAction(t, offer(f, start, RequestConfig{ID: 1, Team: "a", PromptTokens: 200, Deadline: deadline}), c.first)
			d := offer(f, start, RequestConfig{ID: 2, Team: "a", PromptTokens: 200, Deadline: deadline})
			expectAction(t, d, c.second)
			assert.Equal(t, d.Kind(), c.kind)
			assert.Assert(t, c.second != Refuse || d.RetryAfter() > 0)
		})
	}
}

func TestQueuedRequestRunsWhenRateAllows(t *testing.T) {
	team := unbounded("a", 1)
	team.TokensPerSecond = 100
	f := newTestQueue(strictOrder, 9, team)
	expectAction(t, offer(f, start, RequestConfig{ID: 1, Team: "a", PromptTokens: 200}), Run)
	expectAction(t, offer(f, start, RequestConfig{ID: 2, Team: "a", PromptTokens: 100}), Queue)
	_, ok := f.Next(start)
	assert.Assert(t, !ok)
	wakeTime := f.WakeTime(start)
	assert.Equal(t, wakeTime, start.Add(time.Second))
	d, ok := f.Next(wakeTime)
	assert.Assert(t, ok && d.ID() == 2)
}

func TestTeamAtItsLimitDoesNotBlockOthers(t *testing.T) {
	team := unbounded("a", 1)
	team.MaxRunning = 0
	f := newTestQueue(strictOrder, 1, team, unbounded("b", 1))
	expectAction(t, offer(f, start, RequestConfig{ID: 1, Team: "a"}), Queue)
	expectAction(t, offer(f, start, RequestConfig{ID: 2, Team: "b"}), Queue)
	d, ok := f.Next(start)
	assert.Assert(t, ok && d.ID() == 2)
	assert.Assert(t, f.Cancel(start, 1))
	assert.Assert(t, !f.Cancel(start, 1))
}

func TestRefusesOfferWhenDeadlineCannotBeMet(t *testing.T) {
	f := newTestQueue(strictOrder, 1, unbounded("a", 1))
	offer(f, start, RequestConfig{ID: 1, Team: "a", OutputTokens: 100})
	for id := uint64(2); id < 12; id++ {
		expectAction(t, offer(f, start, RequestConfig{ID: id, Team: "a", OutputTokens: 100}), Queue)
	}
	// The pool serves one request per second.
	now := start
	for id := uint64(1); id < 5; id++ {
		now = now.Add(time.Second)
		f.Finish(now, id, NewUsage(UsageConfig{OutputTokens: 100}))
		_, ok := f.Next(now)
		assert.Assert(t, ok)
	}
	d := offer(f, now, RequestConfig{ID: 20, Team: "a", Priority: -1, OutputTokens: 100,
		ExpectedDuration: time.Second, Deadline: now.Add(4 * time.Second)})
	expectAction(t, d, Refuse)
	assert.Equal(t, d.Kind(), sqerror.DeadlineUnmeetable)
	assert.Assert(t, d.RetryAfter() > 2*time.Second && d.RetryAfter() < 6*time.Second, "%v", d.RetryAfter())
	expectAction(t, offer(f, now, RequestConfig{ID: 21, Team: "a", Priority: -1, OutputTokens: 100,
		ExpectedDuration: time.Second, Deadline: now.Add(time.Minute)}), Queue)
}

func TestQueuedRequestIsRefusedWhenDeadlineCannotBeMet(t *testing.T) {
	f := newTestQueue(strictOrder, 1, unbounded("a", 1))
	offer(f, start, RequestConfig{ID: 1, Team: "a"})
	offer(f, start, RequestConfig{ID: 2, Team: "a", ExpectedDuration: 2 * time.Second, Deadline: start.Add(10 * time.Second)})
	wakeTime := f.WakeTime(start)
	assert.Equal(t, wakeTime, start.Add(8*time.Second+time.Nanosecond))
	d, ok := f.Next(wakeTime)
	assert.Assert(t, ok && d.ID() == 2)
	expectAction(t, d, Refuse)
}

func TestLateRequestsRunAfterTimelyOnes(t *testing.T) {
	f := newTestQueue(strictOrder, 1, unbounded("a", 1))
	offer(f, start, RequestConfig{ID: 1, Team: "a"})
	offer(f, start, RequestConfig{ID: 2, Team: "a", StartBy: start.Add(time.Second), Deadline: start.Add(time.Minute)})
	now := f.WakeTime(start)
	_, ok := f.Next(now)
	assert.Assert(t, !ok)
	offer(f, now, RequestConfig{ID: 3, Team: "a", StartBy: now.Add(time.Second), Deadline: start.Add(2 * time.Minute)})
	f.Finish(now, 1, NewUsage(UsageConfig{}))
	d, _ := f.Next(now)
	assert.Equal(t, d.ID(), uint64(3))
	f.Finish(now, 3, NewUsage(UsageConfig{}))
	d, _ = f.Next(now)
	assert.Equal(t, d.ID(), uint64(2))
}

func TestTeamQueueIsOrderedByPriorityThenDeadline(t *testing.T) {
	f := newTestQueue(strictOrder, 1, unbounded("a", 1))
	offer(f, start, RequestConfig{ID: 1, Team: "a"})
	offer(f, start, RequestConfig{ID: 2, Team: "a"})
	offer(f, start, RequestConfig{ID: 3, Team: "a", Deadline: start.Add(2 * time.Minute)})
	offer(f, start, RequestConfig{ID: 4, Team: "a", Deadline: start.Add(time.Minute)})
	offer(f, start, RequestConfig{ID: 5, Team: "a", Priority: 1})
	var order []uint64
	for id := uint64(1); len(order) < 4; {
		f.Finish(start, id, NewUsage(UsageConfig{}))
		d, _ := f.Next(start)
		id = d.ID()
		order = append(order, id)
	}
	assert.DeepEqual(t, order, []uint64{5, 4, 3, 2})
}

// runNext runs up to k queued requests one after another and returns how many of
// them each team had.
func runNext(f *FairQueue, k int) map[string]int {
	ran := make(map[string]int)
	for range k {
		d, ok := f.Next(start)
		if !ok {
			break
		}
		ran[f.requests[d.ID()].request.Team()]++
		f.Finish(start, d.ID(), NewUsage(UsageConfig{OutputTokens: 100}))
	}
	return ran
}

func TestSmallTeamIsNotStarvedAndUnusedShareIsReused(t *testing.T) {
	f := newTestQueue(strictOrder, 1, unbounded("large", 4), unbounded("small", 1))
	offer(f, start, RequestConfig{ID: 1, Team: "large"})
	for id := uint64(10); id < 1010; id++ {
		offer(f, start, RequestConfig{ID: id, Team: "large", OutputTokens: 100})
	}
	f.Finish(start, 1, NewUsage(UsageConfig{}))
	assert.DeepEqual(t, runNext(f, 100), map[string]int{"large": 100})
	for id := uint64(2000); id < 2050; id++ {
		offer(f, start, RequestConfig{ID: id, Team: "small", OutputTokens: 100})
	}
	assert.DeepEqual(t, runNext(f, 100), map[string]int{"large": 80, "small": 20})
}

func TestFIFOStarvesSmallTeam(t *testing.T) {
	f := NewFIFO(Config{PoolLimits: NewPoolLimits(PoolLimitsConfig{MaxRunning: 1})})
	for id := uint64(1); id < 100; id++ {
		team := "large"
		if id == 99 {
			team = "small"
		}
		req := NewRequest(RequestConfig{ID: id, Team: team, Pool: "m"})
		f.Offer(start, &req)
	}
	for id := uint64(1); id < 98; id++ {
		f.Finish(start, id, NewUsage(UsageConfig{}))
		d, _ := f.Next(start)
		assert.Equal(t, d.ID(), id+1)
	}
}

func TestGoodputWeightAllowsReordering(t *testing.T) {
	for name, c := range map[string]struct {
		weights *sqcommand.Weights
		first   uint64
	}{
		"worst team": {&sqcommand.Weights{WorstTeam: 1}, 2},
		"goodput":    {&sqcommand.Weights{Goodput: 1}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestQueue(Config{Weights: c.weights}, 1, unbounded("a", 1), unbounded("b", 1))
			offer(f, start, RequestConfig{ID: 1, Team: "a", OutputTokens: 500})
			offer(f, start, RequestConfig{ID: 2, Team: "a", OutputTokens: 900})
			offer(f, start, RequestConfig{ID: 3, Team: "b", OutputTokens: 10})
			// The first request cost less than estimated, which resets the start
			// tag of team a to that of team b.
			f.Finish(start, 1, NewUsage(UsageConfig{OutputTokens: 0}))
			d, ok := f.Next(start)
			assert.Assert(t, ok)
			assert.Equal(t, d.ID(), c.first)
		})
	}
}

func TestSplitSharesFollowsDemandWithFloor(t *testing.T) {
	shares := SplitShares(SplitConfig{
		Entries: []string{"n1", "n2"},
		Limits:  []TeamLimits{{Team: "a", Share: 1, TokensPerSecond: 1000, MaxRunning: 10}},
		Demands: []TeamDemand{{Entry: "n1", Team: "a", Tokens: 500, Running: 5}, {Entry: "gone", Team: "a", Tokens: 1e9}},
	})
	assert.Equal(t, shares[0].TokensPerSecond(), int64(900))
	assert.Equal(t, shares[1].TokensPerSecond(), int64(100))
	assert.Equal(t, shares[0].MaxRunning(), int64(9))
	assert.Equal(t, shares[1].MaxRunning(), int64(1))
}

func TestSplitSharesOmitsUnlimitedTeamsWithoutDemand(t *testing.T) {
	unlimited := TeamLimits{Team: "a", Share: 3, TokensPerSecond: Unbounded, MaxRunning: Unbounded}
	bounded := TeamLimits{Team: "b", Share: 1, TokensPerSecond: Unbounded, MaxRunning: 4}
	cfg := SplitConfig{Entries: []string{"n1", "n2"}, Limits: []TeamLimits{unlimited, bounded}}
	shares := SplitShares(cfg)
	assert.Equal(t, len(shares), 2)
	assert.Equal(t, shares[0].Team(), "b")
	cfg.Demands = []TeamDemand{{Entry: "n2", Team: "a", Tokens: 9}}
	shares = SplitShares(cfg)
	assert.Equal(t, len(shares), 4)
	assert.Equal(t, shares[0].Weight(), 3.0)
	assert.Assert(t, shares[1].Weight() > 5)
}

func TestExplain(t *testing.T) {
	team := unbounded("a", 1)
	team.MaxQueued, team.TokensPerSecond = 1, 100
	f := newTestQueue(strictOrder, 1, team)
	var lines []string
	for id, cfg := range []RequestConfig{{OutputTokens: 50}, {PromptTokens: 5000, Deadline: start.Add(time.Second)}, {OutputTokens: 10}, {}} {
		cfg.ID, cfg.Team = uint64(id), "a"
		lines = append(lines, offer(f, start, cfg).Explanation()...)
	}
	f.Finish(start, 0, NewUsage(UsageConfig{}))
	d, _ := f.Next(start)
	lines = append(lines, d.Explanation()...)
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "explain.golden")
}
