package sqplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqspeed"
)

// speedSim simulates many gateways, each of which hears from an engine once in many
// seconds, and engines of different speed that are 2.5 times as slow for moments.
type speedSim struct {
	random   *rand.Rand
	gateways []*Placer
	engines  map[string]*simEngine
	usual    map[string]int
	inFlight [][]prefillInFlight
	holder   *sqspeed.Merger
	// lossPercent of the heartbeats are lost.
	lossPercent int
	// loads holds the loads in the last heartbeat of each gateway.
	loads []map[string]Load
}

const (
	speedGateways, speedEngines = 40, 12
	speedPerSecond              = 60
	speedSeconds                = 40
	speedTokens                 = 1600
	speedObjective              = 500 * time.Millisecond
)

func newSpeedSim(t *testing.T, seed uint64, lossPercent int) *speedSim {
	s := &speedSim{random: rand.New(rand.NewPCG(5, seed)), engines: map[string]*simEngine{}, usual: map[string]int{},
		inFlight: make([][]prefillInFlight, speedGateways), holder: sqspeed.NewMerger(), lossPercent: lossPercent, loads: make([]map[string]Load, speedGateways)}
	for range speedGateways {
		s.gateways = append(s.gateways, newPlacer(t))
		s.gateways[len(s.gateways)-1].randomState = s.random.Uint64()
	}
	s.list("")
	return s
}

// list lists the engines; those of an earlier list have restarted.
func (s *speedSim) list(run string) {
	var fleet []Endpoint
	for i := range speedEngines {
		id := fmt.Sprint("p", i, run)
		fleet = append(fleet, engineEndpoint(id, Decode))
		s.engines[id], s.usual[id] = &simEngine{cache: newPrefixCache()}, []int{60, 100, 160}[i%3]
	}
	for _, p := range s.gateways {
		p.SetEndpoints(fleet)
	}
}

// percent returns the figure of an engine: the usual one, and 2.5 times as much for one
// fifth of the time, 0.2 to 0.6 s at once.
func (s *speedSim) percent(now time.Time, id string) int {
	const moment = 200 * time.Millisecond
	slot := now.Sub(start) / moment
	if (uint64(slot)/2+uint64(len(id))+uint64(id[1])*7)*0x9e3779b97f4a7c15>>32%5 == 0 {
		return s.usual[id] * 5 / 2
	}
	return s.usual[id]
}

// run sends requests and returns the share of those after the first seconds that were
// prefilled too late. Event is called once in the middle.
func (s *speedSim) run(reportSpeed bool, event func(s *speedSim)) float64 {
	total, late := 0, 0
	for n := range speedPerSecond * speedSeconds {
		now := start.Add(time.Duration(n) * time.Second / speedPerSecond)
		if n == speedPerSecond*speedSeconds/2 {
			event(s)
		}
		for g, p := range s.gateways {
			s.inFlight[g] = finishPrefills(s.inFlight[g], now)
			if n%(speedPerSecond*3/10) == g%(speedPerSecond*3/10) && s.random.IntN(100) >= s.lossPercent {
				s.beat(now, g, p)
			}
		}
		g := s.random.IntN(speedGateways)
		q := engineQuery(fmt.Sprint(n), 1, speedTokens-1)
		q.NoRemotePrefill = true
		c := s.gateways[g].Choose(now, q)
		id := c.Endpoint.ID()
		percent := s.percent(now, id)
		done := s.engines[id].prefillFor(now, speedTokens*percent/100)
		request := s.gateways[g].StartDispatch(now, c.Endpoint, q, c.UncachedTokens, c.ExpectedLatency)
		s.inFlight[g] = append(s.inFlight[g], prefillInFlight{request, done})
		if reportSpeed {
			s.gateways[g].RecordLoadReport(now, id, sqattempt.LoadReport{Slots: 16, WorkPercent: percent})
		}
		if n >= speedPerSecond*5 {
			total++
			if done.Sub(now) > speedObjective {
				late++
			}
		}
	}
	return float64(late) / float64(total)
}

// prefillFor returns when the engine has processed tokens that arrive at now.
func (e *simEngine) prefillFor(now time.Time, tokens int) time.Time {
	if now.After(e.freeAt) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(tokens) / decodeTokensPerMilli * float64(time.Millisecond)))
	return e.freeAt
}

// beat plays a heartbeat of one gateway, which exchanges loads and speeds.
func (s *speedSim) beat(now time.Time, g int, p *Placer) {
	s.loads[g] = p.OwnLoads()
	sum := map[string]Load{}
	for i, loads := range s.loads {
		for id, l := range loads {
			if i != g {
				sum[id] = Load{Running: sum[id].Running + l.Running, PrefillTokens: sum[id].PrefillTokens + l.PrefillTokens}
			}
		}
	}
	p.SetPeerLoads(sum)
	for _, r := range p.Speeds().Take(now) {
		s.holder.Record(r)
	}
	p.Speeds().Acknowledge()
	var speeds []sqspeed.Speed
	for _, id := range s.holder.Endpoints() {
		speed, _ := s.holder.Speed(now, id)
		speeds = append(speeds, speed)
	}
	p.SetSpeeds(now, speeds)
}

// TestSpeedKeepsRequestsOnTime fails if placement by reported speeds does not serve clearly fewer
// requests late than placement that ignores them, also with lost reports, a new lease holder and
// restarted engines.
func TestSpeedKeepsRequestsOnTime(t *testing.T) {
	for _, c := range []struct {
		name        string
		lossPercent int
		event       func(s *speedSim)
	}{
		{"reports arrive", 0, func(*speedSim) {}},
		{"half of the heartbeats are lost", 50, func(*speedSim) {}},
		{"new holder", 0, func(s *speedSim) { s.holder = sqspeed.NewMerger() }},
		{"engines restart", 0, func(s *speedSim) { s.list("b") }},
	} {
		late, lateIgnored := 0.0, 0.0
		const seeds = 3
		for seed := range uint64(seeds) {
			late += newSpeedSim(t, seed, c.lossPercent).run(true, c.event) / seeds
			lateIgnored += newSpeedSim(t, seed, c.lossPercent).run(false, c.event) / seeds
		}
		t.Logf("%s: share late %.3f, %.3f with speeds ignored", c.name, late, lateIgnored)
		assert.Assert(t, late < lateIgnored*0.8, c.name)
	}
}

// TestRatioDoesNotLearnSpeed fails if the latency ratio of a service learns a speed that an
// endpoint has reported, whether before the request or with its response.
func TestRatioDoesNotLearnSpeed(t *testing.T) {
	p := newPlacer(t, engineEndpoint("d", Decode))
	usual := p.Choose(start, engineQuery("a", 1, 8000)).ExpectedLatency
	now := start
	for i := range 50 {
		q := engineQuery(fmt.Sprint(i), 1, 8000)
		c := p.Choose(now, q)
		r := p.StartDispatch(now, c.Endpoint, q, c.UncachedTokens, c.ExpectedLatency)
		percent := []int{100, 250}[i%2]
		now = now.Add(usual * time.Duration(percent) / 100)
		p.RecordLoadReport(now, "d", sqattempt.LoadReport{WorkPercent: percent})
		r.RecordFirstToken(now)
		r.Finish(now, true, true)
	}
	ratio := p.pool("engines").latencyRatio[Decode]
	assert.Assert(t, ratio > 0.99 && ratio < 1.01, "%v", ratio)
}

// TestAnswerTimesCorrectSpeed fails if an endpoint without figures is not corrected by its
// answer times where others report figures, or is corrected where none does.
func TestAnswerTimesCorrectSpeed(t *testing.T) {
	for _, othersReport := range []bool{false, true} {
		p := newPlacer(t, engineEndpoint("d1", Decode), engineEndpoint("d2", Decode))
		if othersReport {
			p.SetSpeeds(start, []sqspeed.Speed{{Endpoint: "elsewhere", Percent: 100}})
		}
		now := start
		for range 60 {
			now = now.Add(time.Second / 4)
			e := p.nodes["d1"].endpointCopy()
			r := p.StartDispatch(now, e, engineQuery("a", 1, 10), 0, p.nodes["d1"].slowed(100*time.Millisecond))
			r.RecordFirstToken(now.Add(300 * time.Millisecond))
			r.Finish(now.Add(300*time.Millisecond), true, true)
		}
		assert.Equal(t, p.nodes["d1"].speed.Mean(now) > 130, othersReport, "%v", p.nodes["d1"].speed.Mean(now))
	}
}
