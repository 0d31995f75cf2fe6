package sqplace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqtable"
)

// mixedLoad is a third of a customer's load: long prompts with shared prefixes and short
// urgent ones at the same engines.
type mixedLoad struct {
	name                   string
	engines, memory, chunk int
	// declaredMemory is the memory by the routing table, 0 if that is right.
	declaredMemory              int
	tokensPerMilli              float64
	longPerSecond               float64
	longObjective               time.Duration
	parts, lostPercent          int
	restartEvery, exchangeEvery time.Duration
	seed                        uint64
}

const (
	mixedGateways     = 24
	mixedSeconds      = 60
	mixedWarmup       = 20
	shortPerSecond    = 151.0
	shortObjective    = 250 * time.Millisecond
	mixedSpeedSpread  = 0.3
	outputTokenMillis = 12
)

// mixedResult is what callers got, and how many tokens engines prefilled.
type mixedResult struct {
	long, short        []time.Duration
	longOn, shortOn    int
	refused, prefilled int
	// overfull counts the requests sent to an engine whose memory they exceed.
	overfull            int
	longSent, shortSent int
}

func (r *mixedResult) String() string {
	return fmt.Sprintf("long %v/%v on time %.3f, short %v/%v on time %.3f, refused %d, overfull %d, prefilled %dk",
		percentile(r.long, 50), percentile(r.long, 95), r.longOnTime(), percentile(r.short, 50), percentile(r.short, 95),
		float64(r.shortOn)/float64(r.shortSent), r.refused, r.overfull, r.prefilled/1000)
}

func (r *mixedResult) longOnTime() float64 { return float64(r.longOn) / float64(r.longSent) }

func percentile(d []time.Duration, p int) time.Duration {
	slices.Sort(d)
	return d[len(d)*p/100].Round(time.Millisecond)
}

// mixedEngine prefills long prompts in order and short urgent ones after the running chunk.
// What running requests hold is taken from the memory of cached prefixes.
type mixedEngine struct {
	freeAt  time.Time
	uses    []prefixHash
	lengths map[prefixHash]int
	running []heldUntil
}

type heldUntil struct {
	tokens int
	until  time.Time
}

// use moves the tokens to the newest end of the memory and evicts the oldest ones that are
// beyond what running requests leave. It returns whether they were held.
func (e *mixedEngine) use(h prefixHash, tokens, capacity int) bool {
	i := slices.Index(e.uses, h)
	if i >= 0 {
		e.uses = slices.Delete(e.uses, i, i+1)
	}
	e.uses = append(e.uses, h)
	e.lengths[h] = tokens
	left := capacity
	for j := len(e.uses) - 1; j >= 0; j-- {
		if left -= e.lengths[e.uses[j]]; left < 0 && j < len(e.uses)-1 {
			for _, old := range e.uses[:j+1] {
				delete(e.lengths, old)
			}
			e.uses = slices.Delete(e.uses, 0, j+1)
			break
		}
	}
	return i >= 0
}

// run returns when the first token comes, when the request ends, and the tokens prefilled.
func (e *mixedEngine) run(now time.Time, l *mixedLoad, q *Query, random *rand.Rand) (first, end time.Time, prefilled int, fits bool) {
	e.running = slices.DeleteFunc(e.running, func(h heldUntil) bool { return !h.until.After(now) })
	pinned := 0
	for _, h := range e.running {
		pinned += h.tokens
	}
	fits = len(e.running) == 0 || pinned+q.memoryTokens() <= l.memory
	own := q.Prompt.Parts[1].Tokens
	prefilled = q.Prompt.Tokens
	hashes, lengths := prefixHashes(&q.Prompt)
	if e.use(hashes[0], lengths[0], l.memory) {
		prefilled = own
	}
	e.use(prefixHash(random.Uint64()), own, l.memory)
	slow := 1 + mixedSpeedSpread*(2*random.Float64()-1)
	work := time.Duration(float64(prefilled) / l.tokensPerMilli * slow * float64(time.Millisecond))
	startAt := e.freeAt
	if chunk := now.Add(time.Duration(float64(l.chunk) / l.tokensPerMilli * float64(time.Millisecond))); q.Urgent && startAt.After(chunk) {
		startAt = chunk
	}
	if startAt.Before(now) {
		startAt = now
	}
	first = startAt.Add(work + 3*time.Millisecond)
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(work)
	end = first.Add(time.Duration(q.Prompt.MaxOutputTokens*outputTokenMillis) * time.Millisecond)
	e.running = append(e.running, heldUntil{q.memoryTokens(), end})
	return first, end, prefilled, fits
}

// mixedEvent is something that happens to a dispatch at a time.
type mixedEvent struct {
	at       time.Time
	dispatch *Dispatch
	end      bool
	// arrival is a request that waits for room, of no dispatch.
	arrival *mixedArrival
}

// mixedArrival is a request of a caller.
type mixedArrival struct {
	at      time.Time
	query   *Query
	gateway *Placer
	long    bool
	due     time.Duration
}

// mixedRun is the state of one simulated run.
type mixedRun struct {
	load     *mixedLoad
	random   *rand.Rand
	gateways []*Placer
	nextBeat []time.Time
	pending  [][]CacheUpdate
	engines  map[string]*mixedEngine
	ids      []string
	events   []mixedEvent
	result   mixedResult
}

func newMixedRun(t testing.TB, l *mixedLoad, weighs bool) *mixedRun {
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{
		{Name: "engines", Engine: &sqtable.Engine{Slots: 16, KVCapacityTokens: max(l.memory, l.declaredMemory), KVBytesPerToken: 1, LinkMbps: 1}},
	}})
	assert.NilError(t, err)
	r := &mixedRun{load: l, random: rand.New(rand.NewPCG(l.seed, 7)), engines: map[string]*mixedEngine{}, pending: make([][]CacheUpdate, mixedGateways)}
	for i := range l.engines {
		r.ids = append(r.ids, fmt.Sprint("d", i, "-0"))
		r.engines[r.ids[i]] = &mixedEngine{lengths: map[prefixHash]int{}}
	}
	for i := range mixedGateways {
		p := New(Config{Zone: "a", Seed: l.seed*100 + uint64(i), LimitedMemory: weighs})
		p.SetServices(table.Services())
		p.SetGateways(mixedGateways)
		r.gateways = append(r.gateways, p)
		r.nextBeat = append(r.nextBeat, start.Add(time.Duration(i)*l.exchangeEvery/mixedGateways))
	}
	r.list()
	return r
}

func (r *mixedRun) list() {
	var fleet []Endpoint
	for _, id := range r.ids {
		fleet = append(fleet, engineEndpoint(id, Decode))
	}
	for _, p := range r.gateways {
		p.SetEndpoints(fleet)
	}
}

// exchange sends the loads and cache updates of the gateways whose heartbeat is due.
func (r *mixedRun) exchange(now time.Time) {
	for i, p := range r.gateways {
		if now.Before(r.nextBeat[i]) {
			continue
		}
		r.nextBeat[i] = r.nextBeat[i].Add(r.load.exchangeEvery)
		updates := p.TakeCacheUpdates()
		sum := map[string]Load{}
		for j, other := range r.gateways {
			if j == i {
				continue
			}
			if r.random.IntN(100) >= r.load.lostPercent {
				r.pending[j] = append(r.pending[j], updates...)
			}
			for id, l := range other.OwnLoads() {
				s := sum[id]
				sum[id] = Load{s.Running + l.Running, s.PrefillTokens + l.PrefillTokens, s.MemoryTokens + l.MemoryTokens, s.BodyBytes + l.BodyBytes}
			}
		}
		p.SetPeerLoads(sum)
		p.ApplyCacheUpdates(now, r.pending[i])
		r.pending[i] = nil
	}
}

// advance plays the events until now.
func (r *mixedRun) advance(now time.Time) {
	events := r.events
	r.events = nil
	for _, e := range events {
		switch {
		case e.at.After(now):
			r.events = append(r.events, e)
		case e.arrival != nil:
			r.send(now, e.arrival)
		case e.end:
			e.dispatch.Finish(e.at, true, true)
		default:
			e.dispatch.RecordFirstToken(e.at)
		}
	}
	r.exchange(now)
}

func (r *mixedRun) query(long bool) *Query {
	q := &Query{Service: "engines", TimeLeft: r.load.longObjective, NoRemotePrefill: true}
	shared, own, output, parts := 13_300, 3720, 9, r.load.parts
	if !long {
		q.Urgent, q.TimeLeft = true, shortObjective
		shared, own, output, parts = 92, 291, 3, 40
	}
	own = int(float64(own) * (0.5 + r.random.Float64()))
	// A few prefixes are used much more often than the others.
	part := int(float64(parts) * r.random.Float64() * r.random.Float64())
	q.Prompt = sqattempt.Prompt{Model: "m", Tokens: shared + own, MaxOutputTokens: output,
		Parts: []sqattempt.Part{{ID: fmt.Sprint(long, part), Tokens: shared}, {ID: "own", Tokens: own}}}
	return q
}

// play runs the load and returns what callers got. Requests that no endpoint takes are
// counted as refused, after they have waited for room at the gateway.
func (r *mixedRun) play() *mixedResult {
	l := r.load
	rate := l.longPerSecond + shortPerSecond
	nextRestart := start.Add(l.restartEvery)
	for now := start; now.Before(start.Add(mixedSeconds * time.Second)); {
		now = now.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		r.advance(now)
		if l.restartEvery > 0 && now.After(nextRestart) {
			nextRestart = nextRestart.Add(l.restartEvery)
			i := r.random.IntN(len(r.ids))
			r.ids[i] = fmt.Sprint("d", i, "-", now.Unix())
			r.engines[r.ids[i]] = &mixedEngine{lengths: map[prefixHash]int{}}
			r.list()
		}
		long := r.random.Float64() < l.longPerSecond/rate
		q := r.query(long)
		r.send(now, &mixedArrival{at: now, query: q, gateway: r.gateways[r.random.IntN(len(r.gateways))], long: long, due: q.TimeLeft})
	}
	return &r.result
}

// send places a request, or lets it wait for room at its gateway.
func (r *mixedRun) send(now time.Time, a *mixedArrival) {
	res, q := &r.result, a.query
	// The caller's own deadline is twice the objective after the arrival.
	q.Waited = now.Sub(a.at)
	q.TimeLeft = 2*a.due - q.Waited
	c := a.gateway.Choose(now, q)
	if c.Wait > 0 {
		r.events = append(r.events, mixedEvent{at: now.Add(c.Wait), arrival: a})
		return
	}
	counted := a.at.Sub(start) >= mixedWarmup*time.Second
	var first, end time.Time
	var prefilled int
	took, fits := 2*a.due, false
	if c.Endpoint != nil {
		d := a.gateway.StartDispatch(now, c.Endpoint, q, c.UncachedTokens, c.ExpectedLatency)
		first, end, prefilled, fits = r.engines[c.Endpoint.ID()].run(now, r.load, q, r.random)
		r.events = append(r.events, mixedEvent{at: first, dispatch: d}, mixedEvent{at: end, dispatch: d, end: true})
		took = first.Sub(a.at)
	}
	if !counted {
		return
	}
	res.prefilled += prefilled
	switch {
	case c.Endpoint == nil:
		res.refused++
	case !fits:
		res.overfull++
	}
	onTime := 0
	if fits && took <= a.due {
		onTime = 1
	}
	if a.long {
		res.longSent++
		res.longOn += onTime
		res.long = append(res.long, took)
		return
	}
	res.shortSent++
	res.shortOn += onTime
	res.short = append(res.short, took)
}
