package sqplace

import (
	"fmt"
	"testing"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqspeed"
)

// BenchmarkChooseInFleet measures one decision among the engines of today's and of the
// planned largest service, at another time each.
func BenchmarkChooseInFleet(b *testing.B) {
	for _, c := range []struct {
		name    string
		engines int
		speeds  bool
	}{{"130Engines", 130, false}, {"1100Engines", 1100, false}, {"130EnginesWithSpeeds", 130, true}, {"1100EnginesWithSpeeds", 1100, true}} {
		b.Run(c.name, func(b *testing.B) {
			var fleet []Endpoint
			var speeds []sqspeed.Speed
			for i := range c.engines {
				fleet = append(fleet, engineEndpoint(fmt.Sprint("e", i), []Stage{Prefill, Prefill, Decode, Decode, Decode}[i%5]))
				if c.speeds {
					speeds = append(speeds, sqspeed.Speed{Endpoint: fmt.Sprint("e", i), Percent: float64(60 + i%3*50)})
				}
			}
			p := newPlacer(b, fleet...)
			p.SetSpeeds(start, speeds)
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
