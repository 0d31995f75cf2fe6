package sqplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"sequoiadock/core/sqattempt"
)

// sim simulates gateways, engines and the requests between them without a network. The tests
// of loads name what arrives, and what is checked.
type sim struct {
	random   *rand.Rand
	gateways []*Placer
	engines  map[string]*simEngine
	// tokensPerMilli is how many tokens an engine prefills per millisecond.
	tokensPerMilli float64
	now            time.Time
	events         []simEvent
}

// simEvent is done once its time is reached.
type simEvent struct {
	at time.Time
	do func(at time.Time)
}

// simEngine prefills prompts one after the other and caches the most recently used prefixes.
type simEngine struct {
	freeAt time.Time
	cache  *prefixCache
}

// newSim returns a simulation with the gateways of one zone and all engines of the fleet.
func newSim(t *testing.T, seed1, seed2 uint64, gateways int, fleet ...Endpoint) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed1, seed2)), tokensPerMilli: prefillTokensPerMilli}
	for i := range gateways {
		p := newPlacer(t)
		p.randomState = uint64(i)
		s.gateways = append(s.gateways, p)
	}
	s.list(fleet)
	return s
}

// list lists a fleet, all engines of which have just started.
func (s *sim) list(fleet []Endpoint) {
	s.engines = map[string]*simEngine{}
	for _, e := range fleet {
		s.engines[e.ID()] = &simEngine{cache: newPrefixCache()}
	}
	for _, p := range s.gateways {
		p.SetEndpoints(fleet)
	}
}

func simFleet(n int, endpoint func(i int) Endpoint) (fleet []Endpoint) {
	for i := range n {
		fleet = append(fleet, endpoint(i))
	}
	return fleet
}

// after does something once the time is reached.
func (s *sim) after(at time.Time, do func(at time.Time)) {
	s.events = append(s.events, simEvent{at, do})
}

// advance does what is due.
func (s *sim) advance(now time.Time) {
	events := s.events
	s.now, s.events = now, nil
	for _, e := range events {
		if e.at.After(now) {
			s.events = append(s.events, e)
		} else {
			e.do(e.at)
		}
	}
}

// exchangeLoads gives gateways the loads of all others.
func (s *sim) exchangeLoads(to ...*Placer) {
	sum := map[string]Load{}
	for _, p := range s.gateways {
		for id, l := range p.OwnLoads() {
			o := sum[id]
			sum[id] = Load{o.Running + l.Running, o.PrefillTokens + l.PrefillTokens, o.MemoryTokens + l.MemoryTokens, 0}
		}
	}
	for _, p := range to {
		own, others := p.OwnLoads(), make(map[string]Load, len(sum))
		for id, l := range sum {
			o := own[id]
			others[id] = Load{l.Running - o.Running, l.PrefillTokens - o.PrefillTokens, l.MemoryTokens - o.MemoryTokens, 0}
		}
		p.SetPeerLoads(others)
	}
}

// exchange gives each gateway the loads and cache updates of all others.
func (s *sim) exchange(now time.Time) {
	s.exchangeLoads(s.gateways...)
	for i, p := range s.gateways {
		updates := p.TakeCacheUpdates()
		for j, other := range s.gateways {
			if j != i {
				other.ApplyCacheUpdates(now, updates)
			}
		}
	}
}

// prefill returns when the engine has processed a prompt that arrives at now, and how many of
// its tokens were not cached.
func (e *simEngine) prefill(now time.Time, q *Query, tokensPerMilli float64) (done time.Time, uncached int) {
	hashes, lengths := prefixHashes(&q.Prompt)
	uncached = q.Prompt.Tokens - e.cache.cachedTokens(hashes, lengths)
	e.cache.touch(now, hashes[0], loadSharedTokens, 300_000)
	if now.After(e.freeAt) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(uncached) / tokensPerMilli * float64(time.Millisecond)))
	return e.freeAt, uncached
}

// simLoad is a load that arrives evenly at random gateways.
type simLoad struct {
	perSecond, seconds, warmupSeconds int
	exchangeEvery                     time.Duration
	// request returns the n-th request and its objective, 0 if it does not count.
	request func(n int) (*Query, time.Duration)
	// choose, exchange and percent replace the usual choice, exchange and speed, if set.
	choose   func() Choice
	exchange func(now time.Time)
	percent  func(now time.Time, id string) int
	// reportSpeed is set if engines report their speed.
	reportSpeed bool
	// halfTime is called once in the middle, if set.
	halfTime func()
}

// play plays a load. It returns the share of the requests after the warm-up that were on time
// and the number of prefilled tokens.
func (s *sim) play(l simLoad) (onTime float64, prefilled int) {
	lastExchange, met, total := start.Add(-l.exchangeEvery), 0, 0
	for n := range l.perSecond * l.seconds {
		now := start.Add(time.Duration(n) * time.Second / time.Duration(l.perSecond))
		if n == l.perSecond*l.seconds/2 && l.halfTime != nil {
			l.halfTime()
		}
		s.advance(now)
		if now.Sub(lastExchange) >= l.exchangeEvery {
			lastExchange = now
			s.exchange(now)
			if l.exchange != nil {
				l.exchange(now)
			}
		}
		p := s.gateways[s.random.IntN(len(s.gateways))]
		q, objective := l.request(n)
		r := s.place(now, p, q, &l)
		prefilled += r.uncached
		if r.placed && objective > 0 && n >= l.warmupSeconds*l.perSecond {
			total++
			if r.took <= objective {
				met++
			}
		}
	}
	return float64(met) / float64(total), prefilled
}

// zoneLatency is the latency between two zones.
const zoneLatency = 1150 * time.Microsecond

// placement is what became of a request: the time to its first token, how many of its tokens
// were not cached, and whether an engine took it, or one of another zone did.
type placement struct {
	took              time.Duration
	uncached          int
	placed, otherZone bool
}

// place places a request.
func (s *sim) place(now time.Time, p *Placer, q *Query, l *simLoad) placement {
	var c Choice
	if l.choose != nil {
		c = l.choose()
	} else {
		c = p.Choose(now, q)
	}
	e, expected, latency := c.Endpoint, c.UncachedTokens, c.ExpectedLatency
	if c.PrefillEndpoint != nil {
		e, expected, latency = c.PrefillEndpoint, c.PrefillUncachedTokens, c.PrefillLatency
	}
	if e == nil || s.engines[e.ID()] == nil {
		return placement{}
	}
	percent := 100
	if l.percent != nil {
		percent = l.percent(now, e.ID())
	}
	way := time.Duration(0)
	if e.Zone() != p.cfg.Zone {
		way = zoneLatency
	}
	done, uncached := s.engines[e.ID()].prefill(now.Add(way), q, s.tokensPerMilli*100/float64(percent))
	done = done.Add(way)
	d := p.StartDispatch(now, e, q, expected, latency)
	s.after(done, func(at time.Time) {
		d.RecordFirstToken(at)
		d.Finish(at, true, true)
	})
	if l.reportSpeed {
		p.RecordLoadReport(now, e.ID(), sqattempt.LoadReport{Slots: 16, WorkPercent: percent})
	}
	return placement{took: done.Sub(now), uncached: uncached, placed: true, otherZone: way > 0}
}
