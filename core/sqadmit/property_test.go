package sqadmit

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveFairQueue is a reference implementation that is easy to verify: it serves
// the team with the lowest start tag, found by a scan over all teams.
type naiveFairQueue struct {
	weight      map[string]float64
	startTag    map[string]float64
	virtualTime float64
	queues      map[string][]RequestConfig
}

func (n *naiveFairQueue) offer(cfg RequestConfig) {
	if len(n.queues[cfg.Team]) == 0 {
		n.startTag[cfg.Team] = max(n.startTag[cfg.Team], n.virtualTime)
	}
	n.queues[cfg.Team] = append(n.queues[cfg.Team], cfg)
}

func (n *naiveFairQueue) next() (RequestConfig, bool) {
	best := ""
	for team, queue := range n.queues {
		if len(queue) == 0 {
			continue
		}
		if best == "" || n.startTag[team] < n.startTag[best] || n.startTag[team] == n.startTag[best] && team < best {
			best = team
		}
	}
	if best == "" {
		return RequestConfig{}, false
	}
	cfg := n.queues[best][0]
	n.queues[best] = n.queues[best][1:]
	n.virtualTime = max(n.virtualTime, n.startTag[best])
	n.startTag[best] += (float64(cfg.PromptTokens) + DefaultOutputWeight*float64(cfg.OutputTokens)) / n.weight[best]
	return cfg, true
}

func TestFairQueueMatchesNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := &naiveFairQueue{weight: make(map[string]float64), startTag: make(map[string]float64),
			queues: make(map[string][]RequestConfig)}
		var teams []TeamConfig
		for i := range rapid.IntRange(1, 5).Draw(rt, "teams") {
			name := "t" + strconv.Itoa(i)
			n.weight[name] = float64(rapid.IntRange(1, 8).Draw(rt, "weight"))
			teams = append(teams, unbounded(name, n.weight[name]))
		}
		f := newTestQueue(strictOrder, 1, teams...)
		// One request always runs, so that every offered request is queued.
		offer(f, start, RequestConfig{ID: 1 << 40, Team: "t0"})
		running := uint64(1 << 40)
		for id := range rapid.Uint64Range(1, 80).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "offer") {
				cfg := RequestConfig{
					ID: id, Team: "t" + strconv.Itoa(rapid.IntRange(0, len(teams)-1).Draw(rt, "team")),
					PromptTokens: rapid.IntRange(1, 5000).Draw(rt, "prompt"), OutputTokens: rapid.IntRange(1, 500).Draw(rt, "output"),
				}
				expectQueued(rt, offer(f, start, cfg))
				n.offer(cfg)
				continue
			}
			want, ok := n.next()
			if !ok {
				continue
			}
			f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: 2, MaxPrefillTokens: 1 << 30}))
			d, _ := f.Next(start)
			assert.Equal(rt, d.ID(), want.ID)
			f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: 1, MaxPrefillTokens: 1 << 30}))
			f.Finish(start, running, chargedUsage(f, running))
			running = d.ID()
		}
	})
}

func expectQueued(rt *rapid.T, d Decision) {
	assert.Equal(rt, d.Action(), Queue)
}

// chargedUsage returns the usage that a request was charged for, so that Finish
// corrects nothing.
func chargedUsage(f *FairQueue, id uint64) Usage {
	cfg := f.requests[id].request.cfg
	return NewUsage(UsageConfig{PromptTokens: cfg.PromptTokens, OutputTokens: cfg.OutputTokens})
}

// TestServiceIsProportionalToWeights checks that teams that always have queued
// requests get service in proportion to their weights, to within one request of
// each team, for requests of any size.
func TestServiceIsProportionalToWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var teams []TeamConfig
		n := rapid.IntRange(2, 5).Draw(rt, "teams")
		for i := range n {
			teams = append(teams, unbounded("t"+strconv.Itoa(i), float64(rapid.IntRange(1, 9).Draw(rt, "weight"))))
		}
		f := newTestQueue(strictOrder, 0, teams...)
		maxRequestCost := make([]float64, n)
		id := uint64(0)
		for i := range n {
			for range 60 {
				id++
				cfg := RequestConfig{ID: id, Team: teams[i].Name, OutputTokens: rapid.IntRange(1, 100).Draw(rt, "output")}
				maxRequestCost[i] = max(maxRequestCost[i], DefaultOutputWeight*float64(cfg.OutputTokens)/teams[i].Weight)
				offer(f, start, cfg)
			}
		}
		f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: 1, MaxPrefillTokens: 1 << 30}))
		served := make([]float64, n)
		for range 60 {
			d, _ := f.Next(start)
			r := f.requests[d.ID()]
			i, _ := strconv.Atoi(r.request.Team()[1:])
			served[i] += r.cost / teams[i].Weight
			f.Finish(start, d.ID(), chargedUsage(f, d.ID()))
		}
		for i := range n {
			for j := range n {
				assert.Assert(rt, served[i]-served[j] <= maxRequestCost[i]+maxRequestCost[j]+1e-6,
					"service over weight: team %d got %v, team %d got %v", i, served[i], j, served[j])
			}
		}
	})
}

// TestLimitsAreNeverExceeded checks with random offers, ends and times that no
// limit is exceeded and no request is lost.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		team := unbounded("a", 1)
		team.MaxRunning = rapid.IntRange(0, 4).Draw(rt, "maxRunning")
		team.MaxQueued = rapid.IntRange(0, 6).Draw(rt, "maxQueued")
		team.TokensPerSecond = float64(rapid.IntRange(0, 300).Draw(rt, "rate"))
		maxRunning := rapid.IntRange(0, 5).Draw(rt, "room")
		f := newTestQueue(Config{}, maxRunning, team, unbounded("b", 2))
		now := start
		running := make(map[uint64]string)
		queued := make(map[uint64]string)
		startedTokens := 0.0
		recordRun := func(id uint64, team string) {
			running[id] = team
			if team == "a" {
				startedTokens += f.requests[id].request.rateTokens()
			}
		}
		for id := range rapid.Uint64Range(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "what") {
			case 0:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")
				d := offer(f, now, RequestConfig{ID: id, Team: name, PromptTokens: 50, Deadline: now.Add(3 * time.Second)})
				switch d.Action() {
				case Run:
					recordRun(id, name)
				case Queue:
					queued[id] = name
				}
			case 1:
				for r := range running {
					f.Finish(now, r, chargedUsage(f, r))
					delete(running, r)
					break
				}
			}
			for d, ok := f.Next(now); ok; d, ok = f.Next(now) {
				name, wasQueued := queued[d.ID()]
				assert.Assert(rt, wasQueued)
				delete(queued, d.ID())
				if d.Action() == Run {
					recordRun(d.ID(), name)
				}
			}
			runningOfA, queuedOfA := 0, 0
			for _, name := range running {
				if name == "a" {
					runningOfA++
				}
			}
			for _, name := range queued {
				if name == "a" {
					queuedOfA++
				}
			}
			assert.Assert(rt, len(running) <= maxRunning && runningOfA <= team.MaxRunning && queuedOfA <= team.MaxQueued)
			allowed := team.TokensPerSecond * (DefaultBurst.Seconds() + now.Sub(start).Seconds())
			assert.Assert(rt, startedTokens <= allowed+50, "team a started %v tokens, %v are allowed", startedTokens, allowed)
		}
		assert.Equal(rt, len(f.requests), len(running)+len(queued))
	})
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var cfg SplitConfig
		for i := range rapid.IntRange(1, 9).Draw(rt, "entries") {
			cfg.Entries = append(cfg.Entries, "n"+strconv.Itoa(i))
			cfg.Demands = append(cfg.Demands, TeamDemand{
				Entry: "n" + strconv.Itoa(i), Team: "a",
				Tokens: rapid.Float64Range(0, 1e6).Draw(rt, "tokens"), Running: float64(rapid.IntRange(0, 50).Draw(rt, "running")),
			})
		}
		limit := TeamLimits{Team: "a", Share: 3, TokensPerSecond: rapid.Int64Range(0, 1e6).Draw(rt, "rate"),
			MaxRunning: rapid.Int64Range(Unbounded, 40).Draw(rt, "maxRunning")}
		cfg.Limits = []TeamLimits{limit}
		var tokens, running int64
		var demand float64
		for _, d := range cfg.Demands {
			demand += d.Tokens
		}
		shares := SplitShares(cfg)
		for i, s := range shares {
			assert.Assert(rt, s.TokensPerSecond() >= 0)
			tokens += s.TokensPerSecond()
			running += s.MaxRunning()
			expectedPart := 1.0
			if demand > 0 {
				expectedPart = DefaultFloor + (1-DefaultFloor)*cfg.Demands[i].Tokens/demand*float64(len(cfg.Entries))
			}
			assert.Assert(rt, math.Abs(s.Weight()-limit.Share*max(1, expectedPart)) < 1e-9,
				"weight is %v, relative demand is %v", s.Weight(), expectedPart)
		}
		assert.Equal(rt, tokens, limit.TokensPerSecond)
		if limit.MaxRunning != Unbounded {
			assert.Equal(rt, running, limit.MaxRunning)
		}
		assert.DeepEqual(rt, len(SplitShares(cfg)), len(shares))
	})
}
