package sqcore_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcache"
	"sequoiadock/core/sqroute"
)

var start = time.Unix(1_000_000, 0)

// pieces and queries of the benchmarks: prompts of eight pieces, which share
// their first ones.
const (
	benchPieces  = 8
	benchQueries = 512
)

// entry is the deciding part of an entry.
type entry struct {
	fleet  *sqroute.Fleet
	router sqcore.Router
	admit  sqcore.Admitter
	next   uint64
	work   sqadmit.Request
}

func newEntry(workers, teams int) *entry {
	f := sqroute.NewFleet(sqroute.Config{Zone: "z0", Seed: 1}, sqcache.New(sqcache.Config{}))
	endpoints := make([]sqroute.Endpoint, workers)
	for i := range endpoints {
		endpoints[i] = sqroute.NewEndpoint(sqroute.EndpointConfig{
			ID: "engine" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%3), Kind: sqroute.KindEngine,
			Models: []string{"m@1"}, Role: sqroute.Role(i % 3),
		})
	}
	f.SetEndpoints(start, endpoints)
	for i := range endpoints {
		f.SetReport(start, endpoints[i].ID(), sqroute.NewReport(sqroute.ReportConfig{
			At: start, Running: i % 12, PrefillTokens: 100 * (i % 7), DecodeTokens: 900,
		}))
	}
	a := sqadmit.NewFairQueue(sqadmit.Config{})
	list := make([]sqadmit.Team, teams)
	for i := range list {
		list[i] = sqadmit.NewTeam(sqadmit.TeamConfig{
			Name: "team" + strconv.Itoa(i), Weight: 1, TokensPerSecond: 1e12, MaxRunning: 1000, MaxQueued: 1000,
		})
	}
	a.SetTeams(start, list)
	return &entry{fleet: f, router: sqroute.NewCacheAware(f), admit: a}
}

func benchQuery(i int) sqroute.Query {
	pieces := make([]uint64, benchPieces)
	for j := range pieces {
		pieces[j] = uint64(j)<<48 + uint64(i)/uint64(1+7/(j+1))*7919
	}
	return sqroute.NewQuery(sqroute.QueryConfig{
		Model: "m", Blocks: pieces, PromptTokens: 8200, OutputTokens: 150,
		Deadline: start.Add(time.Hour), FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond,
	})
}

// decide admits and routes one request.
func (e *entry) decide(now time.Time, team string, q *sqroute.Query) sqroute.Choice {
	e.next++
	e.work = sqadmit.NewRequest(sqadmit.RequestConfig{
		ID: e.next, Team: team, Pool: "m", PromptTokens: q.PromptTokens(), OutputTokens: q.OutputTokens(), Deadline: start.Add(time.Hour),
	})
	e.admit.Offer(now, &e.work)
	return e.router.Route(now, q)
}

// follow is the bookkeeping of a request until its end.
func (e *entry) follow(now time.Time, q *sqroute.Query, c sqroute.Choice) {
	t := e.fleet.StartDispatch(now, sqroute.DispatchConfig{Endpoint: c.Endpoint(), Query: q, CachedTokens: c.CachedTokens()})
	e.fleet.RecordFirstToken(now, &t)
	e.admit.Prefilled(now, e.next)
	e.fleet.FinishDispatch(now, &t, sqroute.DispatchResult{Complete: true, OutputTokens: 150, CachedTokens: c.CachedTokens()})
	e.admit.Finish(now, e.next, sqadmit.NewUsage(sqadmit.UsageConfig{PromptTokens: 8200, OutputTokens: 150}))
}

func benchDecide(b *testing.B, workers, teams int) {
	e := newEntry(workers, teams)
	queries := make([]sqroute.Query, benchQueries)
	names := make([]string, teams)
	for i := range names {
		names[i] = "team" + strconv.Itoa(i)
	}
	for i := range queries {
		queries[i] = benchQuery(i)
		e.follow(start, &queries[i], e.decide(start, names[i%teams], &queries[i]))
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		q := &queries[i%len(queries)]
		c := e.decide(now, names[i%teams], q)
		e.follow(now, q, c)
	}
}

// BenchmarkDecision is admission, routing and all the bookkeeping of one
// request until its end.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{8, 20, 100, 340, 1100} {
		for _, teams := range []int{8, 260} {
			b.Run("workers="+strconv.Itoa(workers)+"/teams="+strconv.Itoa(teams), func(b *testing.B) {
				benchDecide(b, workers, teams)
			})
		}
	}
}

// BenchmarkAdmitAndRoute is the decision alone, and the end of its admission.
func BenchmarkAdmitAndRoute(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			e := newEntry(workers, 8)
			q := benchQuery(1)
			e.follow(start, &q, e.decide(start, "team1", &q))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				e.decide(now, "team1", &q)
				e.admit.Finish(now, e.next, sqadmit.NewUsage(sqadmit.UsageConfig{PromptTokens: 8200, OutputTokens: 150}))
			}
		})
	}
}

// BenchmarkExplain is what the sentences of a choice cost beside the choice.
func BenchmarkExplain(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			e := newEntry(workers, 8)
			q := benchQuery(1)
			c := e.router.Route(start, &q)
			b.ReportAllocs()
			for b.Loop() {
				e.router.Explain(start, &q, c)
			}
		})
	}
}

// heap returns the live bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// reportGrowth reports the live bytes that each of n things takes.
func reportGrowth(b *testing.B, n int, unit string, build func() any) {
	var each float64
	for b.Loop() {
		before := heap()
		kept := build()
		each = (heap() - before) / float64(n)
		runtime.KeepAlive(kept)
	}
	b.ReportMetric(each, unit)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMemory is the live memory of an entry's decisions.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			reportGrowth(b, workers, "B/worker", func() any { return newEntry(workers, 1) })
		})
	}
	b.Run("teams=260", func(b *testing.B) {
		reportGrowth(b, 260, "B/team", func() any {
			e := newEntry(8, 260)
			q := benchQuery(1)
			for i := range 260 {
				e.follow(start, &q, e.decide(start, "team"+strconv.Itoa(i), &q))
			}
			return e
		})
	})
	b.Run("pieces=65536", func(b *testing.B) {
		reportGrowth(b, 1<<16, "B/piece", func() any {
			x := sqcache.New(sqcache.Config{})
			for i := range uint64(1 << 16) {
				x.RecordDispatch(start, uint32(i%16), []uint64{i * 7919})
			}
			return x
		})
	})
}
