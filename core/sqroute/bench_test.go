package sqroute

import (
	"strconv"
	"testing"
	"time"

	"sequoiadock/core/sqcache"
)

// newBenchFleet returns a busy fleet and queries whose prompts share their
// first blocks.
func newBenchFleet(engines int) (*Fleet, []Query) {
	f := NewFleet(Config{Zone: "z0", Seed: 1}, sqcache.New(sqcache.Config{}))
	endpoints := make([]Endpoint, engines)
	for i := range endpoints {
		endpoints[i] = NewEndpoint(EndpointConfig{
			ID: "engine" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%3), Kind: KindEngine,
			Models: []string{"m@1"}, Role: Role(i % 3),
		})
	}
	f.SetEndpoints(start, endpoints)
	now := start
	for i := range endpoints {
		f.RecordLoadReport(now, endpoints[i].ID(), NewLoadReport(LoadReportConfig{At: now, Running: i % 12, PrefillTokens: 100 * (i % 7), DecodeTokens: 900}))
	}
	queries := make([]Query, 512)
	for i := range queries {
		blocks := make([]uint64, 8)
		for j := range blocks {
			blocks[j] = uint64(j)*1e15 + uint64(i)/uint64(1+7/(j+1))*7919
		}
		queries[i] = NewQuery(QueryConfig{
			Model: "m", Blocks: blocks, PromptTokens: 8200, OutputTokens: 150,
			Deadline: now.Add(time.Minute), FirstTokenObjective: time.Second, InterTokenObjective: 50 * time.Millisecond,
		})
	}
	r := NewCacheAware(f)
	for i := range queries {
		c := r.Route(now, &queries[i])
		d := f.StartDispatch(now, DispatchConfig{Endpoint: c.Endpoint(), Query: &queries[i], CachedTokens: c.CachedTokens()})
		f.RecordFirstToken(now, &d)
		f.FinishDispatch(now, &d, DispatchResult{})
	}
	return f, queries
}

func BenchmarkRoute(b *testing.B) {
	for _, engines := range []int{8, 20, 100, 340, 1100} {
		b.Run("workers="+strconv.Itoa(engines), func(b *testing.B) {
			f, queries := newBenchFleet(engines)
			r := NewCacheAware(f)
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond / 10)
				r.Route(now, &queries[i%len(queries)])
			}
		})
	}
}

// BenchmarkStartFinishDispatch measures the bookkeeping for one request apart from routing
// it.
func BenchmarkStartFinishDispatch(b *testing.B) {
	f, queries := newBenchFleet(20)
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond / 10)
		q := &queries[i%len(queries)]
		d := f.StartDispatch(now, DispatchConfig{Endpoint: "engine3", Query: q, CachedTokens: 1000})
		f.RecordFirstToken(now, &d)
		f.FinishDispatch(now, &d, DispatchResult{Complete: true, OutputTokens: 100, CachedTokens: 1000})
	}
}

// BenchmarkSetEndpoints measures an update of the whole endpoint list in which
// one endpoint has changed.
func BenchmarkSetEndpoints(b *testing.B) {
	for _, engines := range []int{20, 340, 1100} {
		b.Run("workers="+strconv.Itoa(engines), func(b *testing.B) {
			f, _ := newBenchFleet(engines)
			list := make([]Endpoint, engines)
			for i := range list {
				list[i] = NewEndpoint(engine("engine"+strconv.Itoa(i), "z0", RoleBoth))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				list[0].cfg.Unschedulable = i%2 == 0
				f.SetEndpoints(start, list)
			}
		})
	}
}
