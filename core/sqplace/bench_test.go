package sqplace

import (
	"fmt"
	"testing"
	"time"

	"sequoiadock/core/sqattempt"
)

// BenchmarkChoose measures one decision among the engines of a large service, two in five
// of which only prefill.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{72, 130, 1100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchmarkChoose(b, engines, Config{Zone: "a", Seed: 1}) })
		b.Run(fmt.Sprint(engines, "/limitedMemory"), func(b *testing.B) {
			benchmarkChoose(b, engines, Config{Zone: "a", Seed: 1, LimitedMemory: true, MaxEndpointBodyBytes: 256 << 20})
		})
	}
}

func benchmarkChoose(b *testing.B, engines int, cfg Config) {
	var fleet []Endpoint
	for i := range engines {
		stage := Decode
		if i%5 < 2 {
			stage = Prefill
		}
		fleet = append(fleet, engineEndpoint(fmt.Sprint("e", i), stage))
	}
	p := New(cfg)
	p.SetServices(testServices(b))
	p.SetEndpoints(fleet)
	now := start
	q := &Query{Service: "engines", TimeLeft: time.Minute, Prompt: sqattempt.Prompt{
		Model: "m", Tokens: 2000, MaxOutputTokens: 100, Parts: []sqattempt.Part{{ID: "a", Tokens: 1200}, {ID: "b", Tokens: 600}, {ID: "own", Tokens: 200}},
	}}
	for i := range fleet {
		// Every third engine holds the prefixes.
		if i%3 == 0 {
			p.StartDispatch(now, &fleet[i], q, 0, 0).Finish(now, true, true)
		}
	}
	for b.Loop() {
		if p.Choose(now, q).Endpoint == nil {
			b.Fatal("no endpoint was chosen")
		}
	}
}
