package sqplace

import (
	"fmt"
	"testing"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqspeed"
)

// benchFleet returns engines of which two in five prefill.
func benchFleet(engines int) []Endpoint {
	var fleet []Endpoint
	for i := range engines {
		stage := Decode
		if i%5 < 2 {
			stage = Prefill
		}
		fleet = append(fleet, engineEndpoint(fmt.Sprint("e", i), stage))
	}
	return fleet
}

// BenchmarkChooseInFleet measures one decision among the engines of today's and of the
// planned largest service, at another time each.
func BenchmarkChooseInFleet(b *testing.B) {
	for _, c := range []struct {
		name    string
		engines int
		speeds  bool
	}{{"130Engines", 130, false}, {"1100Engines", 1100, false}, {"130EnginesWithSpeeds", 130, true}, {"1100EnginesWithSpeeds", 1100, true}} {
		b.Run(c.name, func(b *testing.B) {
			p := newPlacer(b, benchFleet(c.engines)...)
			for i := range c.engines {
				if c.speeds {
					p.SetSpeeds(start, []sqspeed.Speed{{Endpoint: fmt.Sprint("e", i), Percent: float64(60 + i%3*50)}})
				}
			}
			q := &Query{Service: "engines", TimeLeft: time.Minute, Prompt: sqattempt.Prompt{
				Model: "m", Tokens: 2000, MaxOutputTokens: 100, Parts: []sqattempt.Part{{ID: "a", Tokens: 1200}, {ID: "b", Tokens: 600}, {ID: "own", Tokens: 200}},
			}}
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if p.Choose(now, q).Endpoint == nil {
					b.Fatal("no endpoint was chosen")
				}
			}
		})
	}
}
