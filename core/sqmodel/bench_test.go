package sqmodel

import (
	"strconv"
	"testing"
)

// BenchmarkPlan measures Plan for a fleet that needs no load, and for one in which
// a new version is rolled out to full engines.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name, version string
	}{{"rest", "1"}, {"rollout", "2"}} {
		for _, n := range []int{30, 300} {
			b.Run(c.name+"/engines="+strconv.Itoa(n), func(b *testing.B) {
				const models = 8
				cfg := ViewConfig{}
				for i := range models {
					cfg.Models = append(cfg.Models, newModel("m"+strconv.Itoa(i)+"@"+c.version, float64(n)/models))
				}
				for i := range n {
					first, second := strconv.Itoa(i%models), strconv.Itoa((i+1+i/models)%models)
					cfg.Engines = append(cfg.Engines, newEngine("e"+strconv.Itoa(i)+" z"+strconv.Itoa(i%3)+" m"+first+"@1,m"+second+"@1"))
				}
				v := NewView(cfg)
				p := NewPlanner(Config{})
				b.ReportAllocs()
				for b.Loop() {
					p.Plan(at(0), v)
				}
			})
		}
	}
}
