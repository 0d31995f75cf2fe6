package sqadmit

import (
	"strconv"
	"testing"
	"time"
)

func newBenchmarkQueue(teams, queued int) *FairQueue {
	configs := make([]TeamConfig, teams)
	for i := range configs {
		configs[i] = TeamConfig{Name: "team" + strconv.Itoa(i), Weight: 1 + float64(i%5),
			TokensPerSecond: 1e12, MaxRunning: 1 << 20, MaxQueued: 1 << 20}
	}
	f := newTestQueue(Config{}, 64, configs...)
	for id := range uint64(64) {
		offer(f, start, RequestConfig{ID: 1<<50 + id, Team: "team0"})
	}
	for id := range uint64(queued * teams) {
		offer(f, start, RequestConfig{ID: 1<<40 + id, Team: configs[id%uint64(teams)].Name,
			PromptTokens: 500, OutputTokens: 50})
	}
	return f
}

// BenchmarkAdmit measures a request that runs immediately.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{8, 260} {
		b.Run("teams="+strconv.Itoa(teams), func(b *testing.B) {
			f := newBenchmarkQueue(teams, 0)
			f.Finish(start, 1<<50, NewUsage(UsageConfig{}))
			now := start
			req := NewRequest(RequestConfig{Team: "team7", Pool: "m", PromptTokens: 500, OutputTokens: 50,
				Deadline: start.Add(time.Hour)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				req.cfg.ID = uint64(i)
				d := f.Offer(now, &req)
				if d.Action() != Run {
					b.Fatal(d.Explanation())
				}
				f.Finish(now, d.ID(), NewUsage(UsageConfig{PromptTokens: 500, OutputTokens: 50}))
			}
		})
	}
}

// BenchmarkQueue measures queueing with a long queue for each team: each iteration
// offers a request, finishes the running one and dispatches the next.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{8, 260} {
		b.Run("teams="+strconv.Itoa(teams), func(b *testing.B) {
			f := newBenchmarkQueue(teams, 20)
			now := start
			running := uint64(1 << 50)
			req := NewRequest(RequestConfig{Pool: "m", PromptTokens: 500, OutputTokens: 50, Deadline: start.Add(time.Hour)})
			names := make([]string, teams)
			for i := range names {
				names[i] = "team" + strconv.Itoa(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				req.cfg.ID, req.cfg.Team = uint64(i), names[i%teams]
				f.Offer(now, &req)
				f.Finish(now, running, NewUsage(UsageConfig{PromptTokens: 500, OutputTokens: 50}))
				d, ok := f.Next(now)
				if !ok {
					b.Fatal("no queued request may run")
				}
				running = d.ID()
			}
		})
	}
}

func BenchmarkSplitShares(b *testing.B) {
	for _, size := range []struct{ entries, teams int }{{8, 8}, {8, 260}, {340, 8}, {340, 260}} {
		b.Run("entries="+strconv.Itoa(size.entries)+"/teams="+strconv.Itoa(size.teams), func(b *testing.B) {
			var cfg SplitConfig
			for t := range size.teams {
				cfg.Limits = append(cfg.Limits, TeamLimits{Team: strconv.Itoa(t), Share: 1,
					TokensPerSecond: 1e6, MaxRunning: 1000})
			}
			for e := range size.entries {
				cfg.Entries = append(cfg.Entries, "n"+strconv.Itoa(e))
				for t := range size.teams {
					cfg.Demands = append(cfg.Demands, TeamDemand{Entry: "n" + strconv.Itoa(e), Team: strconv.Itoa(t), Tokens: float64(e * t), Running: 3})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				SplitShares(cfg)
			}
		})
	}
}

// BenchmarkSplitSharesSparseDemand splits the shares of teams without limits, with
// demand of eight teams at each entry.
func BenchmarkSplitSharesSparseDemand(b *testing.B) {
	const entries, teams, teamsPerEntry = 340, 260, 8
	var cfg SplitConfig
	for t := range teams {
		cfg.Limits = append(cfg.Limits, TeamLimits{Team: strconv.Itoa(t), Share: 1, TokensPerSecond: Unbounded, MaxRunning: Unbounded})
	}
	for e := range entries {
		cfg.Entries = append(cfg.Entries, "n"+strconv.Itoa(e))
		for t := range teamsPerEntry {
			cfg.Demands = append(cfg.Demands, TeamDemand{Entry: "n" + strconv.Itoa(e), Team: strconv.Itoa((e + t) % (teams / 2)), Tokens: 100, Running: 3})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		SplitShares(cfg)
	}
}
