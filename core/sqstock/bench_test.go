package sqstock

import (
	"strconv"
	"testing"
	"time"
)

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{8, 20, 100, 340, 1100} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			fleet := fleetOf("a", "b", "c")
			fleet.MaxEngines = 2000
			var endpoints []Endpoint
			for i := range workers {
				endpoints = append(endpoints, NewEndpoint(EndpointConfig{ID: strconv.Itoa(i), Zone: fleet.Zones[i%3], Spot: i%2 == 0}))
			}
			view := NewView(ViewConfig{Fleet: fleet, Endpoints: endpoints, RequiredEngines: float64(workers) * 0.9, RequiredOnDemand: float64(workers) / 3})
			balanced := NewPlanner(Config{})
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				balanced.Plan(now, view)
			}
		})
	}
}
