package sqplace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqspeed"
)

// speedSim simulates many gateways, each of which hears from an engine once in many
// seconds, and engines of different speed that are 2.5 times as slow for moments.
type speedSim struct {
	*sim
	holder *sqspeed.Merger
	// lossPercent of the heartbeats lose what they report and get of speeds.
	lossPercent int
}

func speedFleet(run string) []Endpoint {
	return simFleet(12, func(i int) Endpoint { return engineEndpoint(string(rune('a'+i))+run, Decode) })
}

// speedPercent returns the figure of an engine: the usual one, and 2.5 times as much for one
// fifth of the time, 0.4 s at once.
func speedPercent(now time.Time, id string) int {
	const moment = 400 * time.Millisecond
	percent := []int{60, 100, 160}[id[0]%3]
	if (uint64(now.Sub(start)/moment)+uint64(id[0])*7)*0x9e3779b97f4a7c15>>32%5 == 0 {
		return percent * 5 / 2
	}
	return percent
}

// exchangeSpeeds plays the heartbeats of all gateways.
func (s *speedSim) exchangeSpeeds(now time.Time) {
	for _, p := range s.gateways {
		reports := p.Speeds().Take(now)
		if s.random.IntN(100) < s.lossPercent {
			continue
		}
		p.Speeds().Acknowledge()
		for _, r := range reports {
			s.holder.Record(r)
		}
		for _, id := range s.holder.Endpoints() {
			speed, _ := s.holder.Speed(now, id)
			p.SetSpeeds(now, []sqspeed.Speed{speed})
		}
	}
}

// shareLate plays the load and returns the share of late requests.
func shareLate(t *testing.T, seed uint64, reportSpeed bool, event func(s *speedSim)) float64 {
	s := &speedSim{sim: newSim(t, 5, seed, 40), holder: sqspeed.NewMerger()}
	s.tokensPerMilli = decodeTokensPerMilli
	for _, p := range s.gateways {
		p.randomState = s.random.Uint64()
	}
	s.list(speedFleet(""))
	onTime, _ := s.play(simLoad{perSecond: 60, seconds: 40, warmupSeconds: 5, exchangeEvery: 300 * time.Millisecond,
		exchange: s.exchangeSpeeds, percent: speedPercent, reportSpeed: reportSpeed, halfTime: func() { event(s) },
		request: func(n int) (*Query, time.Duration) {
			q := engineQuery(fmt.Sprint(n), 1, 1599)
			q.NoRemotePrefill = true
			return q, 500 * time.Millisecond
		}})
	return 1 - onTime
}

// TestSpeedKeepsRequestsOnTime fails if placement by reported speeds does not serve clearly
// fewer requests late than placement that ignores them, also with lost reports, a new lease
// holder and restarted engines.
func TestSpeedKeepsRequestsOnTime(t *testing.T) {
	for name, event := range map[string]func(s *speedSim){
		"reports arrive": func(*speedSim) {}, "half of the reports are lost": func(s *speedSim) { s.lossPercent = 50 },
		"new holder": func(s *speedSim) { s.holder = sqspeed.NewMerger() }, "engines restart": func(s *speedSim) { s.list(speedFleet("b")) },
	} {
		late, lateIgnored := 0.0, 0.0
		const seeds = 3
		for seed := range uint64(seeds) {
			late += shareLate(t, seed, true, event) / seeds
			lateIgnored += shareLate(t, seed, false, event) / seeds
		}
		t.Logf("%s: share late %.3f, %.3f with speeds ignored", name, late, lateIgnored)
		assert.Assert(t, late < lateIgnored*0.8, name)
	}
}

// TestLearnedSpeed fails if the latency ratio or the mean duration learns a speed that an
// endpoint reports, or if answer times do not correct the speed of one without figures where
// others report theirs.
func TestLearnedSpeed(t *testing.T) {
	for name, reports := range map[string]bool{"reports its speed": true, "others report theirs": false} {
		p, now := newPlacer(t, engineEndpoint("d", Decode)), start
		usual := p.Choose(now, engineQuery("a", 1, 8000)).ExpectedLatency
		p.SetSpeeds(now, []sqspeed.Speed{{Endpoint: "elsewhere", Percent: 100}})
		for i := range 50 {
			q, percent := engineQuery(fmt.Sprint(i), 1, 8000), []int{150, 300}[i%2]
			c := p.Choose(now, q)
			r := p.StartDispatch(now, c.Endpoint, q, c.UncachedTokens, c.ExpectedLatency)
			now = now.Add(usual * time.Duration(percent) / 100)
			if reports {
				p.RecordLoadReport(now, "d", sqattempt.LoadReport{WorkPercent: percent})
			}
			r.RecordFirstToken(now)
			r.Finish(now, true, true)
		}
		assert.Assert(t, !reports || p.pool("engines").meanDuration < usual, "%s: mean duration", name)
		ratio, mean := p.pool("engines").latencyRatio[Decode], p.nodes["d"].speed.Mean(now)
		assert.Assert(t, !reports || ratio > 0.99 && ratio < 1.01, "%s: ratio %v", name, ratio)
		assert.Assert(t, mean > 110 && ratio*mean > 170 && ratio*mean < 280, "%s: ratio %v, mean %v", name, ratio, mean)
	}
}

// TestSlowEndpointIsTriedAgain fails if a request is sent to an endpoint that is too slow for
// its deadline, or if the endpoint is avoided for good.
func TestSlowEndpointIsTriedAgain(t *testing.T) {
	p := newPlacer(t, engineEndpoint("slow", Decode))
	q := engineQuery("a", 1, 8000)
	q.TimeLeft = time.Second
	assert.Assert(t, p.Choose(start, q).Endpoint != nil)
	p.RecordLoadReport(start, "slow", sqattempt.LoadReport{WorkPercent: 400})
	c := p.Choose(start, q)
	assert.Assert(t, c.Endpoint == nil && c.RetryAfter > 0)
	assert.Assert(t, p.Choose(start.Add(time.Minute), q).Endpoint != nil)
	p.SetEndpoints([]Endpoint{engineEndpoint("slow", Decode), engineEndpoint("fast", Decode)})
	for range 200 {
		assert.Equal(t, p.Choose(start, q).Endpoint.ID(), "fast")
	}
}
