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

// Each benchmark prompt has blocksPerPrompt blocks. Prompts share their first blocks.
const (
	blocksPerPrompt = 8
	queryCount      = 512
)

// decider holds the routing and admission policies of an entry.
type decider struct {
	fleet    *sqroute.Fleet
	router   sqcore.Router
	admitter sqcore.Admitter
	lastID   uint64
	request  sqadmit.Request
}

func newDecider(workers, teams int) *decider {
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
		f.RecordLoadReport(start, endpoints[i].ID(), sqroute.NewLoadReport(sqroute.LoadReportConfig{
			At: start, Running: i % 12, PrefillTokens: 100 * (i % 7), DecodeTokens: 900,
		}))
	}
	admitter := sqadmit.NewFairQueue(sqadmit.Config{})
	teamList := make([]sqadmit.Team, teams)
	for i := range teamList {
		teamList[i] = sqadmit.NewTeam(sqadmit.TeamConfig{
			Name: "team" + strconv.Itoa(i), Weight: 1, TokensPerSecond: 1e12, MaxRunning: 1000, MaxQueued: 1000,
		})
	}
	admitter.SetTeams(start, teamList)
	return &decider{fleet: f, router: sqroute.NewCacheAware(f), admitter: admitter}
}

func newQuery(i int) sqroute.Query {
	blocks := make([]uint64, blocksPerPrompt)
	for j := range blocks {
		blocks[j] = uint64(j)<<48 + uint64(i)/uint64(1+7/(j+1))*7919
	}
	return sqroute.NewQuery(sqroute.QueryConfig{
		Model: "m", Blocks: blocks, PromptTokens: 8200, OutputTokens: 150,
		Deadline: start.Add(time.Hour), FirstTokenObjective: time.Second, InterTokenObjective: 50 * time.Millisecond,
	})
}

// decide admits and routes one request.
func (d *decider) decide(now time.Time, team string, q *sqroute.Query) sqroute.Choice {
	d.lastID++
	d.request = sqadmit.NewRequest(sqadmit.RequestConfig{
		ID: d.lastID, Team: team, Pool: "m", PromptTokens: q.PromptTokens(), OutputTokens: q.OutputTokens(), Deadline: start.Add(time.Hour),
	})
	d.admitter.Offer(now, &d.request)
	return d.router.Route(now, q)
}

// finish records the dispatch, the first token and the end of a request.
func (d *decider) finish(now time.Time, q *sqroute.Query, c sqroute.Choice) {
	t := d.fleet.StartDispatch(now, sqroute.DispatchConfig{Endpoint: c.Endpoint(), Query: q, CachedTokens: c.CachedTokens()})
	d.fleet.RecordFirstToken(now, &t)
	d.admitter.RecordFirstToken(now, d.lastID)
	d.fleet.FinishDispatch(now, &t, sqroute.DispatchResult{Complete: true, OutputTokens: 150, CachedTokens: c.CachedTokens()})
	d.admitter.Finish(now, d.lastID, sqadmit.NewUsage(sqadmit.UsageConfig{PromptTokens: 8200, OutputTokens: 150}))
}

func benchmarkRequests(b *testing.B, workers, teams int) {
	d := newDecider(workers, teams)
	queries := make([]sqroute.Query, queryCount)
	teamNames := make([]string, teams)
	for i := range teamNames {
		teamNames[i] = "team" + strconv.Itoa(i)
	}
	for i := range queries {
		queries[i] = newQuery(i)
		d.finish(start, &queries[i], d.decide(start, teamNames[i%teams], &queries[i]))
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		q := &queries[i%len(queries)]
		c := d.decide(now, teamNames[i%teams], q)
		d.finish(now, q, c)
	}
}

// BenchmarkDecision measures the admission and routing of one request and all
// bookkeeping until its end.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{8, 20, 100, 340, 1100} {
		for _, teams := range []int{8, 260} {
			b.Run("workers="+strconv.Itoa(workers)+"/teams="+strconv.Itoa(teams), func(b *testing.B) {
				benchmarkRequests(b, workers, teams)
			})
		}
	}
}

// BenchmarkAdmitAndRoute measures admission and routing alone, and the release of the
// admission.
func BenchmarkAdmitAndRoute(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			d := newDecider(workers, 8)
			q := newQuery(1)
			d.finish(start, &q, d.decide(start, "team1", &q))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				d.decide(now, "team1", &q)
				d.admitter.Finish(now, d.lastID, sqadmit.NewUsage(sqadmit.UsageConfig{PromptTokens: 8200, OutputTokens: 150}))
			}
		})
	}
}

// BenchmarkExplain measures the cost of explaining a routing choice, without the cost
// of the choice itself.
func BenchmarkExplain(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			d := newDecider(workers, 8)
			q := newQuery(1)
			c := d.router.Route(start, &q)
			b.ReportAllocs()
			for b.Loop() {
				d.router.Explain(start, &q, c)
			}
		})
	}
}

// liveHeapBytes returns the live heap memory in bytes.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// reportBytesPerItem reports the live heap memory of each of the n items that build
// returns.
func reportBytesPerItem(b *testing.B, n int, unit string, build func() any) {
	var bytesPerItem float64
	for b.Loop() {
		before := liveHeapBytes()
		built := build()
		bytesPerItem = (liveHeapBytes() - before) / float64(n)
		runtime.KeepAlive(built)
	}
	b.ReportMetric(bytesPerItem, unit)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMemory measures the live heap memory of an entry's routing and admission
// state.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			reportBytesPerItem(b, workers, "B/worker", func() any { return newDecider(workers, 1) })
		})
	}
	b.Run("teams=260", func(b *testing.B) {
		reportBytesPerItem(b, 260, "B/team", func() any {
			d := newDecider(8, 260)
			q := newQuery(1)
			for i := range 260 {
				d.finish(start, &q, d.decide(start, "team"+strconv.Itoa(i), &q))
			}
			return d
		})
	})
	b.Run("pieces=65536", func(b *testing.B) {
		reportBytesPerItem(b, 1<<16, "B/piece", func() any {
			cache := sqcache.New(sqcache.Config{})
			for i := range uint64(1 << 16) {
				cache.RecordDispatch(start, uint32(i%16), []uint64{i * 7919})
			}
			return cache
		})
	})
}
