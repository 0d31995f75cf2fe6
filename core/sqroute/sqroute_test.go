package sqroute

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqcache"
)

var start = time.Unix(1_000_000, 0)

// testNow is the time at which the tests route requests: endpoints set at start
// have finished their slow start.
var testNow = start.Add(time.Minute)

func engine(id, zone string, role Role) EndpointConfig {
	return EndpointConfig{ID: id, Zone: zone, Kind: KindEngine, Models: []string{"m@1"}, Role: role}
}

func newFleet(seed uint64, endpoints ...EndpointConfig) *Fleet {
	f := NewFleet(Config{Zone: "a", Seed: seed}, sqcache.New(sqcache.Config{}))
	list := make([]Endpoint, len(endpoints))
	for i := range endpoints {
		list[i] = NewEndpoint(endpoints[i])
	}
	f.SetEndpoints(start, list)
	return f
}

func setReport(f *Fleet, id string, age time.Duration, running, prefill int) {
	f.RecordLoadReport(testNow, id, NewLoadReport(LoadReportConfig{At: testNow.Add(-age), Running: running, PrefillTokens: prefill, DecodeTokens: running * 50}))
}

func chat(prompt, output int, blocks ...uint64) QueryConfig {
	return QueryConfig{Model: "m", Blocks: blocks, PromptTokens: prompt, OutputTokens: output}
}

func expectRoute(t *testing.T, f *Fleet, cfg QueryConfig, endpoint, decode string) {
	t.Helper()
	q := NewQuery(cfg)
	c := NewCacheAware(f).Route(testNow, &q)
	assert.Equal(t, c.Endpoint(), endpoint)
	assert.Equal(t, c.DecodeEndpoint(), decode)
}

func TestRoute(t *testing.T) {
	unschedulable := engine("e1", "a", RoleBoth)
	unschedulable.Unschedulable = true
	cheap := engine("e1", "a", RoleBoth)
	cheap.Spot = true
	allowed := chat(500, 20)
	allowed.SpotAllowed = true
	excluded := chat(500, 20)
	excluded.Excluded = []string{"e1"}
	resume := chat(9000, 200)
	resume.Resume = true
	e2 := engine("e2", "b", RoleBoth)
	for name, c := range map[string]struct {
		endpoints        []EndpointConfig
		query            QueryConfig
		endpoint, decode string
	}{
		"nearer zone":              {[]EndpointConfig{engine("e1", "a", RoleBoth), e2}, chat(500, 20), "e1", ""},
		"unschedulable skipped":    {[]EndpointConfig{unschedulable, e2}, chat(500, 20), "e2", ""},
		"cheap skipped":            {[]EndpointConfig{cheap, e2}, chat(500, 20), "e2", ""},
		"cheap if allowed":         {[]EndpointConfig{cheap, engine("e2", "a", RoleBoth)}, allowed, "e1", ""},
		"excluded skipped":         {[]EndpointConfig{engine("e1", "a", RoleBoth), e2}, excluded, "e2", ""},
		"no engine of model":       {[]EndpointConfig{e2}, QueryConfig{Model: "other"}, "", ""},
		"model with version":       {[]EndpointConfig{e2}, QueryConfig{Model: "m@1", OutputTokens: 5}, "e2", ""},
		"no decode engine":         {[]EndpointConfig{engine("p", "a", RolePrefill)}, chat(500, 20), "", ""},
		"split of long prompt":     {[]EndpointConfig{engine("p", "a", RolePrefill), engine("d", "a", RoleDecode)}, chat(9000, 200), "p", "d"},
		"no split of short prompt": {[]EndpointConfig{engine("p", "a", RolePrefill), engine("d", "a", RoleDecode)}, chat(20, 200), "d", ""},
		"resume on decode engine":  {[]EndpointConfig{engine("p", "a", RolePrefill), e2, engine("d", "a", RoleDecode)}, resume, "d", ""},
		"no split of short answer": {[]EndpointConfig{engine("p", "a", RolePrefill), engine("b", "a", RoleBoth)}, chat(9000, 1), "b", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, c.endpoints...)
			for _, e := range c.endpoints {
				setReport(f, e.ID, 0, 0, 0)
			}
			expectRoute(t, f, c.query, c.endpoint, c.decode)
		})
	}
}

// A busy spot endpoint is preferred to an idle on-demand one only while it is
// expected to meet the objectives with a margin.
func TestCheapEndpointPreferredWithinObjectives(t *testing.T) {
	cheap := engine("e1", "a", RoleBoth)
	cheap.Spot = true
	f := newFleet(1, cheap, engine("e2", "a", RoleBoth))
	setReport(f, "e2", 0, 0, 0)
	setReport(f, "e1", 0, 10, 0)
	q := chat(500, 200)
	q.SpotAllowed = true
	q.FirstTokenObjective, q.InterTokenObjective, q.Deadline = time.Second, 100*time.Millisecond, testNow.Add(20*time.Second)
	expectRoute(t, f, q, "e1", "")
	q.SpotAllowed = false
	expectRoute(t, f, q, "e2", "")
	q.SpotAllowed = true
	f.RecordLoadReport(testNow.Add(time.Millisecond), "e1", NewLoadReport(LoadReportConfig{At: testNow, Running: 10, PrefillTokens: 4000}))
	expectRoute(t, f, q, "e2", "")
}

func TestCachedPrefixPreferredUntilEngineIsBusy(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth), engine("e2", "a", RoleBoth))
	setReport(f, "e2", 0, 0, 0)
	setReport(f, "e1", 0, 2, 0)
	f.ApplyCacheEvents(testNow, "e1", []sqcache.Event{sqcache.NewEvent(sqcache.EventConfig{Number: 1, Kind: sqcache.Stored, Block: 7})})
	q := chat(1100, 20, 7)
	expectRoute(t, f, q, "e1", "")
	f.RecordLoadReport(testNow.Add(time.Millisecond), "e1", NewLoadReport(LoadReportConfig{At: testNow, Running: 4, PrefillTokens: 12_000}))
	expectRoute(t, f, q, "e2", "")
}

func TestOwnLoadCorrectsLateReport(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth))
	q := NewQuery(chat(600, 20))
	f.StartDispatch(testNow.Add(-time.Second), DispatchConfig{Endpoint: "e1", Query: &q})
	f.StartDispatch(testNow.Add(-100*time.Millisecond), DispatchConfig{Endpoint: "e1", Query: &q})
	// The report was measured between the two dispatches: it counts the first
	// one and a request of another entry.
	setReport(f, "e1", 300*time.Millisecond, 2, 1000)
	load := f.nodes[0].load(toInstant(testNow))
	assert.Equal(t, load.running, 3)
	assert.Equal(t, load.prefillTokens, 1600)
}

func TestStaleReportReplacedByPeerLoads(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth))
	setReport(f, "e1", 5*time.Second, 9, 9000)
	f.SetPeerLoads(testNow, []Load{NewLoad(LoadConfig{Endpoint: "e1", Running: 2, PrefillTokens: 50})})
	assert.Equal(t, f.nodes[0].load(toInstant(testNow)).running, 2)
}

func TestSilentEngineIsAvoided(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth), engine("e2", "b", RoleBoth))
	f.RecordLoadReport(testNow.Add(-4*time.Second), "e1", NewLoadReport(LoadReportConfig{At: testNow.Add(-4 * time.Second)}))
	setReport(f, "e2", 0, 3, 0)
	expectRoute(t, f, chat(500, 20), "e2", "")
}

func TestCircuitBreakerExcludesThenProbesEngine(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth), engine("e2", "b", RoleBoth))
	q := NewQuery(chat(500, 20))
	for range failuresToOpenCircuit {
		dispatch := f.StartDispatch(testNow, DispatchConfig{Endpoint: "e1", Query: &q})
		f.FinishDispatch(testNow, &dispatch, DispatchResult{Failed: true})
	}
	expectRoute(t, f, chat(500, 20), "e2", "")
	later := testNow.Add(minCircuitOpenTime + time.Millisecond)
	assert.Equal(t, f.nodes[0].refusal(toInstant(later)), usable)
	f.StartDispatch(later, DispatchConfig{Endpoint: "e1", Query: &q})
	assert.Equal(t, f.nodes[0].refusal(toInstant(later)), isFailing)
}

func TestThroughputIsLearned(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth))
	q := NewQuery(chat(3000, 101))
	now := testNow
	for range 100 {
		dispatch := f.StartDispatch(now, DispatchConfig{Endpoint: "e1", Query: &q})
		now = now.Add(time.Second)
		f.RecordFirstToken(now, &dispatch)
		now = now.Add(4 * time.Second)
		f.FinishDispatch(now, &dispatch, DispatchResult{Complete: true, OutputTokens: 101})
	}
	n := &f.nodes[0]
	assert.Assert(t, math.Abs(n.prefillRate-3000) < 30, "%v", n.prefillRate)
	assert.Assert(t, math.Abs(n.stepTime-0.04) < 0.001, "%v", n.stepTime)
	prefill, decode := f.Throughput("m")
	assert.Assert(t, math.Abs(prefill-3600) < 40, "%v", prefill)
	assert.Assert(t, math.Abs(decode-16/0.04/1.45) < 10, "%v", decode)
	assert.Equal(t, n.own, backlog{})
}

func entryNames(entries int) []string {
	var names []string
	for i := range entries {
		names = append(names, "n"+strconv.Itoa(i))
	}
	return names
}

// maxRequestsPerEngine routes requests from entries that don't see each other's
// requests and returns the largest number of requests that one engine got.
func maxRequestsPerEngine(entries, perEntry, engines int, newRouter func(*Fleet) interface {
	Route(time.Time, *Query) Choice
}) int {
	counts := make(map[string]int)
	for entry := range entries {
		list := make([]EndpointConfig, engines)
		for i := range list {
			list[i] = engine("e"+strconv.Itoa(i), "a", RoleBoth)
		}
		f := newFleet(uint64(entry), list...)
		f.SetEntries("n"+strconv.Itoa(entry), entryNames(entries))
		for i := range list {
			setReport(f, list[i].ID, 300*time.Millisecond, i%3, 0)
		}
		r := newRouter(f)
		for range perEntry {
			q := NewQuery(chat(800, 40))
			c := r.Route(testNow, &q)
			f.StartDispatch(testNow, DispatchConfig{Endpoint: c.Endpoint(), Query: &q})
			counts[c.Endpoint()]++
		}
	}
	maxCount := 0
	for _, n := range counts {
		maxCount = max(maxCount, n)
	}
	return maxCount
}

func TestEntriesWithSameLateReportsSpreadRequests(t *testing.T) {
	const entries, perEntry, engines = 8, 5, 20
	mean := entries * perEntry / engines
	cacheAware := maxRequestsPerEngine(entries, perEntry, engines, func(f *Fleet) interface {
		Route(time.Time, *Query) Choice
	} {
		return NewCacheAware(f)
	})
	leastLoaded := maxRequestsPerEngine(entries, perEntry, engines, func(f *Fleet) interface {
		Route(time.Time, *Query) Choice
	} {
		return NewLeastLoaded(f)
	})
	t.Logf("max requests per engine: cache aware %d, least loaded %d, mean %d", cacheAware, leastLoaded, mean)
	assert.Assert(t, cacheAware <= 3*mean, "cache aware %d, mean %d", cacheAware, mean)
	assert.Assert(t, cacheAware < leastLoaded, "cache aware %d, least loaded %d", cacheAware, leastLoaded)
}

func TestEntriesAgreeOnHomesOfNewPrefix(t *testing.T) {
	chosen := make(map[string]int)
	for entry := range uint64(8) {
		list := make([]EndpointConfig, 20)
		for i := range list {
			list[i] = engine("e"+strconv.Itoa(i), "a", RoleBoth)
		}
		f := newFleet(entry, list...)
		for i := range list {
			setReport(f, list[i].ID, 200*time.Millisecond, 0, 0)
		}
		q := NewQuery(chat(2000, 20, 0x1234567890abcdef, 2))
		chosen[NewCacheAware(f).Route(testNow, &q).Endpoint()]++
	}
	assert.Assert(t, len(chosen) <= 2, "%v", chosen)
}

// An index that is reused for another engine must not keep the ring of the
// previous one.
func TestRingRebuiltWhenIndexIsReused(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth), engine("e2", "a", RoleBoth))
	f.SetEndpoints(testNow, []Endpoint{NewEndpoint(engine("e2", "a", RoleBoth))})
	f.SetEndpoints(testNow, []Endpoint{NewEndpoint(engine("e3", "a", RoleBoth)), NewEndpoint(engine("e2", "a", RoleBoth))})
	fresh := newFleet(1, engine("e3", "a", RoleBoth), engine("e2", "a", RoleBoth))
	for i, p := range f.modelGroups["m"].ring {
		assert.Equal(t, p.hash, fresh.modelGroups["m"].ring[i].hash)
	}
}

func TestCacheCorrectionIsLearned(t *testing.T) {
	for name, c := range map[string]struct {
		cached int
		want   float64
	}{"index underestimates": {4000, 4000}, "index overestimates": {400, 400}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, engine("e1", "a", RoleBoth))
			q := NewQuery(chat(5000, 20, 1, 2, 3, 4))
			r := NewCacheAware(f)
			for range 400 {
				choice := r.Route(testNow, &q)
				dispatch := f.StartDispatch(testNow, DispatchConfig{Endpoint: "e1", Query: &q, CachedTokens: choice.CachedTokens()})
				f.FinishDispatch(testNow, &dispatch, DispatchResult{Complete: true, OutputTokens: 2, CachedTokens: c.cached})
			}
			got := float64(r.Route(testNow, &q).CachedTokens())
			assert.Assert(t, math.Abs(got-c.want) <= 0.1*c.want, "%v", got)
		})
	}
}

func TestCapacitySubtractsPeerLoads(t *testing.T) {
	f := newFleet(1, engine("e1", "a", RoleBoth), engine("p", "a", RolePrefill), engine("d", "a", RoleDecode))
	assert.Equal(t, f.PoolLimits(testNow, KindEngine, "m").MaxRunning(), 2*DefaultSlots)
	q := NewQuery(chat(600, 20))
	f.StartDispatch(testNow, DispatchConfig{Endpoint: "e1", Query: &q})
	f.SetPeerLoads(testNow, []Load{NewLoad(LoadConfig{Endpoint: "e1", Running: 6, PrefillTokens: 1000})})
	assert.Equal(t, f.PoolLimits(testNow, KindEngine, "m").MaxRunning(), 2*DefaultSlots-6)
	f.SetPeerLoads(testNow, []Load{NewLoad(LoadConfig{Endpoint: "e1", Running: 90}), NewLoad(LoadConfig{Endpoint: "d", Running: 90})})
	f.SetEntries("n1", entryNames(4))
	assert.Equal(t, f.PoolLimits(testNow, KindEngine, "m").MaxRunning(), 2*DefaultSlots/4)
}

func TestExplain(t *testing.T) {
	cheap := engine("e4", "a", RoleBoth)
	cheap.Spot = true
	f := newFleet(1, engine("e1", "a", RoleBoth), engine("e2", "b", RoleBoth), engine("e3", "a", RoleBoth), cheap,
		engine("p", "a", RolePrefill), engine("d", "c", RoleDecode))
	for i, e := range []string{"e1", "e2", "e3", "e4", "p", "d"} {
		setReport(f, e, 0, i, 500*i)
	}
	first := NewQuery(chat(2000, 100, 7, 8))
	f.StartDispatch(testNow, DispatchConfig{Endpoint: "e3", Query: &first})
	r := NewCacheAware(f)
	var lines []string
	for _, cfg := range []QueryConfig{chat(2500, 100, 7, 8), chat(9000, 400), {Model: "other"}} {
		q := NewQuery(cfg)
		c := r.Route(testNow, &q)
		lines = append(lines, r.Explain(testNow, &q, c)...)
		lines = append(lines, "")
	}
	golden.Assert(t, strings.Join(lines, "\n"), "explain.golden")
}
