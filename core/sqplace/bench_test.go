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
	const engines = 72
	var fleet []Endpoint
	for i := range engines {
		stage := Decode
		if i%5 < 2 {
			stage = Prefill
		}
		fleet = append(fleet, engineEndpoint(fmt.Sprint("e", i), stage))
	}
	p := newPlacer(b, fleet...)
	now := start
	q := &Query{Service: "engines", TimeLeft: time.Minute, Prompt: sqattempt.Prompt{
		Model: "m", Tokens: 2000, MaxOutputTokens: 100, Parts: []sqattempt.Part{{ID: "a", Tokens: 1200}, {ID: "b", Tokens: 600}, {ID: "own", Tokens: 200}},
	}}
	for b.Loop() {
		if p.Choose(now, q).Endpoint == nil {
			b.Fatal("no endpoint was chosen")
		}
	}
}
