package sqadmit

import (
	"strconv"
	"testing"
	"time"
)

func benchFair(teams, queued int) *FairQueue {
	list := make([]TeamConfig, teams)
	for i := range list {
		list[i] = TeamConfig{Name: "team" + strconv.Itoa(i), Weight: 1 + float64(i%5), TokensPerSecond: 1e12, MaxRunning: 1 << 20, MaxQueued: 1 << 20}
	}
	f := newFair(Config{}, 64, list...)
	for id := range uint64(64) {
		offer(f, start, RequestConfig{ID: 1<<50 + id, Team: "team0"})
	}
	for id := range uint64(queued * teams) {
		offer(f, start, RequestConfig{ID: 1<<40 + id, Team: list[id%uint64(teams)].Name, PromptTokens: 500, OutputTokens: 50})
	}
	return f
}

// BenchmarkAdmit is a request that runs at once.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{8, 260} {
		b.Run("teams="+strconv.Itoa(teams), func(b *testing.B) {
			f := benchFair(teams, 0)
			f.Finish(start, 1<<50, NewUsage(UsageConfig{}))
			now := start
			w := NewRequest(RequestConfig{Team: "team7", Pool: "m", PromptTokens: 500, OutputTokens: 50, Deadline: start.Add(time.Hour)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				w.cfg.ID = uint64(i)
				v := f.Offer(now, &w)
				if v.Action() != Run {
					b.Fatal(v.Lines())
				}
				f.Finish(now, v.ID(), NewUsage(UsageConfig{PromptTokens: 500, OutputTokens: 50}))
			}
		})
	}
}

// BenchmarkQueue is a request that waits its turn behind a long queue of each
// team: offer, turn of another one, and its end.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{8, 260} {
		b.Run("teams="+strconv.Itoa(teams), func(b *testing.B) {
			f := benchFair(teams, 20)
			now := start
			last := uint64(1 << 50)
			w := NewRequest(RequestConfig{Pool: "m", PromptTokens: 500, OutputTokens: 50, Deadline: start.Add(time.Hour)})
			names := make([]string, teams)
			for i := range names {
				names[i] = "team" + strconv.Itoa(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				w.cfg.ID, w.cfg.Team = uint64(i), names[i%teams]
				f.Offer(now, &w)
				f.Finish(now, last, NewUsage(UsageConfig{PromptTokens: 500, OutputTokens: 50}))
				v, ok := f.Next(now)
				if !ok {
					b.Fatal("nothing to run")
				}
				last = v.ID()
			}
		})
	}
}

func BenchmarkSplitShares(b *testing.B) {
	for _, size := range []struct{ entries, teams int }{{8, 8}, {8, 260}, {340, 8}, {340, 260}} {
		b.Run("entries="+strconv.Itoa(size.entries)+"/teams="+strconv.Itoa(size.teams), func(b *testing.B) {
			var cfg SplitConfig
			for t := range size.teams {
				cfg.Limits = append(cfg.Limits, LimitConfig{Team: strconv.Itoa(t), Share: 1, TokensPerSecond: 1e6, MaxRunning: 1000})
			}
			for e := range size.entries {
				cfg.Entries = append(cfg.Entries, "n"+strconv.Itoa(e))
				for t := range size.teams {
					cfg.Demands = append(cfg.Demands, DemandConfig{Entry: "n" + strconv.Itoa(e), Team: strconv.Itoa(t), Tokens: float64(e * t), Running: 3})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				SplitShares(cfg)
			}
		})
	}
}

// BenchmarkSplitAsked has teams without limits, each at eight entries.
func BenchmarkSplitAsked(b *testing.B) {
	const entries, teams, asked = 340, 260, 8
	var cfg SplitConfig
	for t := range teams {
		cfg.Limits = append(cfg.Limits, LimitConfig{Team: strconv.Itoa(t), Share: 1, TokensPerSecond: Unbounded, MaxRunning: Unbounded})
	}
	for e := range entries {
		cfg.Entries = append(cfg.Entries, "n"+strconv.Itoa(e))
		for t := range asked {
			cfg.Demands = append(cfg.Demands, DemandConfig{Entry: "n" + strconv.Itoa(e), Team: strconv.Itoa((e + t) % (teams / 2)), Tokens: 100, Running: 3})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		SplitShares(cfg)
	}
}
