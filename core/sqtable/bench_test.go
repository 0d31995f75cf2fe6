package sqtable

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkNew measures the validation of tables whose routes share a host.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{1400, 2800, 28000} {
		cfg := Config{Version: 1, Services: []ServiceConfig{{Name: "s"}}}
		for i := range n {
			cfg.Routes = append(cfg.Routes, RouteConfig{
				Name: fmt.Sprint(i), Host: "h.example", PathPrefix: fmt.Sprintf("/%08x/", i*2654435761), Kind: Idempotent,
				Timeout: time.Second, TrafficSplit: []ServiceWeight{{Service: "s", Weight: 1}},
			})
		}
		b.Run(fmt.Sprintf("%dRoutes", n), func(b *testing.B) {
			for b.Loop() {
				_, err := New(cfg)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkMatch measures the search for the route of a request among many of its host.
func BenchmarkMatch(b *testing.B) {
	cfg := Config{Version: 1, Services: []ServiceConfig{{Name: "s"}}}
	for i := range 2800 {
		cfg.Routes = append(cfg.Routes, RouteConfig{
			Name: fmt.Sprint(i), Host: "h.example", PathPrefix: fmt.Sprintf("/%08x/", i*2654435761), Kind: Idempotent,
			Timeout: time.Second, TrafficSplit: []ServiceWeight{{Service: "s", Weight: 1}},
		})
	}
	table, err := New(cfg)
	assert.NilError(b, err)
	for b.Loop() {
		assert.Assert(b, table.Match("h.example", cfg.Routes[2000].PathPrefix+"x") != nil)
	}
}
