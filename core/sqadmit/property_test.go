package sqadmit

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveFair is the plainly right version: each team's use over its weight, and
// the team with the least goes next.
type naiveFair struct {
	weight  map[string]float64
	turn    map[string]float64
	virtual float64
	queues  map[string][]RequestConfig
}

func (n *naiveFair) offer(w RequestConfig) {
	if len(n.queues[w.Team]) == 0 {
		n.turn[w.Team] = max(n.turn[w.Team], n.virtual)
	}
	n.queues[w.Team] = append(n.queues[w.Team], w)
}

func (n *naiveFair) next() (RequestConfig, bool) {
	best := ""
	for team, queue := range n.queues {
		if len(queue) == 0 {
			continue
		}
		if best == "" || n.turn[team] < n.turn[best] || n.turn[team] == n.turn[best] && team < best {
			best = team
		}
	}
	if best == "" {
		return RequestConfig{}, false
	}
	w := n.queues[best][0]
	n.queues[best] = n.queues[best][1:]
	n.virtual = max(n.virtual, n.turn[best])
	n.turn[best] += (float64(w.PromptTokens) + DefaultOutputWeight*float64(w.OutputTokens)) / n.weight[best]
	return w, true
}

func TestFairAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := &naiveFair{weight: make(map[string]float64), turn: make(map[string]float64), queues: make(map[string][]RequestConfig)}
		var teams []TeamConfig
		for i := range rapid.IntRange(1, 5).Draw(rt, "teams") {
			name := "t" + strconv.Itoa(i)
			n.weight[name] = float64(rapid.IntRange(1, 8).Draw(rt, "weight"))
			teams = append(teams, unbounded(name, n.weight[name]))
		}
		f := newFair(strict, 1, teams...)
		// Something runs all the time, so that every request is queued.
		offer(f, start, RequestConfig{ID: 1 << 40, Team: "t0"})
		running := uint64(1 << 40)
		for id := range rapid.Uint64Range(1, 80).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "offer") {
				w := RequestConfig{
					ID: id, Team: "t" + strconv.Itoa(rapid.IntRange(0, len(teams)-1).Draw(rt, "team")),
					PromptTokens: rapid.IntRange(1, 5000).Draw(rt, "prompt"), OutputTokens: rapid.IntRange(1, 500).Draw(rt, "output"),
				}
				expectQueued(rt, offer(f, start, w))
				n.offer(w)
				continue
			}
			want, ok := n.next()
			if !ok {
				continue
			}
			f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: 2, MaxPrefillTokens: 1 << 30}))
			v, _ := f.Next(start)
			assert.Equal(rt, v.ID(), want.ID)
			f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: 1, MaxPrefillTokens: 1 << 30}))
			f.Finish(start, running, usedBy(f, running))
			running = v.ID()
		}
	})
}

func expectQueued(rt *rapid.T, v Decision) {
	assert.Equal(rt, v.Action(), Queue)
}

// usedBy returns the use that a request was charged for.
func usedBy(f *FairQueue, id uint64) Usage {
	w := f.requests[id].work.cfg
	return NewUsage(UsageConfig{PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens})
}

// Teams with queued work at all times get service in the ratio of their
// weights, up to one request each, whatever the sizes.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var teams []TeamConfig
		n := rapid.IntRange(2, 5).Draw(rt, "teams")
		for i := range n {
			teams = append(teams, unbounded("t"+strconv.Itoa(i), float64(rapid.IntRange(1, 9).Draw(rt, "weight"))))
		}
		f := newFair(strict, 0, teams...)
		largest := make([]float64, n)
		id := uint64(0)
		for i := range n {
			for range 60 {
				id++
				w := RequestConfig{ID: id, Team: teams[i].Name, OutputTokens: rapid.IntRange(1, 100).Draw(rt, "output")}
				largest[i] = max(largest[i], DefaultOutputWeight*float64(w.OutputTokens)/teams[i].Weight)
				offer(f, start, w)
			}
		}
		f.SetPoolLimits(start, "m", NewPoolLimits(PoolLimitsConfig{MaxRunning: 1, MaxPrefillTokens: 1 << 30}))
		served := make([]float64, n)
		for range 60 {
			v, _ := f.Next(start)
			r := f.requests[v.ID()]
			i, _ := strconv.Atoi(r.work.Team()[1:])
			served[i] += r.cost / teams[i].Weight
			f.Finish(start, v.ID(), usedBy(f, v.ID()))
		}
		for i := range n {
			for j := range n {
				assert.Assert(rt, served[i]-served[j] <= largest[i]+largest[j]+1e-6, "team %d %v, team %d %v", i, served[i], j, served[j])
			}
		}
	})
}

// No limit is passed and nothing is lost, whatever comes.
func TestLimitsAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		team := unbounded("a", 1)
		team.MaxRunning = rapid.IntRange(0, 4).Draw(rt, "maxRunning")
		team.MaxQueued = rapid.IntRange(0, 6).Draw(rt, "maxQueued")
		team.TokensPerSecond = float64(rapid.IntRange(0, 300).Draw(rt, "rate"))
		room := rapid.IntRange(0, 5).Draw(rt, "room")
		f := newFair(Config{}, room, team, unbounded("b", 2))
		now := start
		running := make(map[uint64]string)
		queued := make(map[uint64]string)
		spent := 0.0
		run := func(id uint64, team string) {
			running[id] = team
			if team == "a" {
				spent += f.requests[id].work.tokens()
			}
		}
		for id := range rapid.Uint64Range(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "what") {
			case 0:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")
				v := offer(f, now, RequestConfig{ID: id, Team: name, PromptTokens: 50, Deadline: now.Add(3 * time.Second)})
				switch v.Action() {
				case Run:
					run(id, name)
				case Queue:
					queued[id] = name
				}
			case 1:
				for r := range running {
					f.Finish(now, r, usedBy(f, r))
					delete(running, r)
					break
				}
			}
			for v, ok := f.Next(now); ok; v, ok = f.Next(now) {
				name, was := queued[v.ID()]
				assert.Assert(rt, was)
				delete(queued, v.ID())
				if v.Action() == Run {
					run(v.ID(), name)
				}
			}
			ofA, queuedOfA := 0, 0
			for _, name := range running {
				if name == "a" {
					ofA++
				}
			}
			for _, name := range queued {
				if name == "a" {
					queuedOfA++
				}
			}
			assert.Assert(rt, len(running) <= room && ofA <= team.MaxRunning && queuedOfA <= team.MaxQueued)
			allowed := team.TokensPerSecond * (DefaultBurst.Seconds() + now.Sub(start).Seconds())
			assert.Assert(rt, spent <= allowed+50, "spent %v of %v", spent, allowed)
		}
		assert.Equal(rt, len(f.requests), len(running)+len(queued))
	})
}

func TestSplitAddsUpToTheLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var cfg SplitConfig
		for i := range rapid.IntRange(1, 9).Draw(rt, "entries") {
			cfg.Entries = append(cfg.Entries, "n"+strconv.Itoa(i))
			cfg.Demands = append(cfg.Demands, DemandConfig{
				Entry: "n" + strconv.Itoa(i), Team: "a",
				Tokens: rapid.Float64Range(0, 1e6).Draw(rt, "tokens"), Running: float64(rapid.IntRange(0, 50).Draw(rt, "running")),
			})
		}
		limit := LimitConfig{Team: "a", Share: 3, TokensPerSecond: rapid.Int64Range(0, 1e6).Draw(rt, "rate"), MaxRunning: rapid.Int64Range(Unbounded, 40).Draw(rt, "maxRunning")}
		cfg.Limits = []LimitConfig{limit}
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
			part := 1.0
			if demand > 0 {
				part = DefaultFloor + (1-DefaultFloor)*cfg.Demands[i].Tokens/demand*float64(len(cfg.Entries))
			}
			assert.Assert(rt, math.Abs(s.Weight()-limit.Share*max(1, part)) < 1e-9, "%v for a part of %v", s.Weight(), part)
		}
		assert.Equal(rt, tokens, limit.TokensPerSecond)
		if limit.MaxRunning != Unbounded {
			assert.Equal(rt, running, limit.MaxRunning)
		}
		assert.DeepEqual(rt, len(SplitShares(cfg)), len(shares))
	})
}
