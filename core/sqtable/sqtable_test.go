package sqtable

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

func validConfig() Config {
	return Config{
		Version: 3, KeysRequired: true,
		Services: []ServiceConfig{{Name: "engines", Engine: &Engine{Slots: 16}}, {Name: "ledger", MaxConnections: 100}},
		Teams:    []TeamConfig{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}, Priority: 4, HasPriority: true}},
		Routes: []RouteConfig{
			{Name: "all", Host: "Host.example", PathPrefix: "/", Kind: Idempotent, Timeout: time.Second, TrafficSplit: []ServiceWeight{{"ledger", 1}}, Priority: 2},
			{Name: "ask", Host: "host.example", PathPrefix: "/ask/", Kind: Stream, Timeout: time.Second, TrafficSplit: []ServiceWeight{{"engines", 1}}, Priority: 1},
			{Name: "deep", Host: "host.example", PathPrefix: "/ask/deep/", Kind: AtMostOnce, Timeout: time.Second, TrafficSplit: []ServiceWeight{{"engines", 3}, {"ledger", 1}}},
		},
	}
}

// TestMatch checks that the route with the longest matching prefix of the host
// is returned.
func TestMatch(t *testing.T) {
	table, err := New(validConfig())
	assert.NilError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"host.example", "/ask/x", "ask"},
		{"HOST.example:8080", "/ask/deep/x", "deep"},
		{"host.example", "/ask", "all"},
		{"host.example", "/other", "all"},
		{"host.example", "/", "all"},
		{"host.example", "/ask/deep", "ask"},
		{"host.example", "/ask//deep/", "ask"},
		{"host.example", "/ask/deep//", "deep"},
		{"host.example", "/ask/deep/" + strings.Repeat("/", 1<<16), "deep"},
		{"host.example", "other", ""},
		{"host.example", "", ""},
		{"else.example", "/ask/x", ""},
	} {
		name := ""
		if r := table.Match(c.host, c.path); r != nil {
			name = r.Name()
		}
		assert.Equal(t, name, c.want, "%s %s", c.host, c.path)
	}
}

func TestTeams(t *testing.T) {
	table, err := New(validConfig())
	assert.NilError(t, err)
	assert.Equal(t, table.Team("k2").Name(), "a")
	assert.Assert(t, table.Team("k9") == nil)
	r := table.Match("host.example", "/ask/x")
	assert.Equal(t, r.Priority(table.Team("k1")), 1)
	assert.Equal(t, r.Priority(table.Team("k3")), 4)
	assert.Assert(t, !table.MostUrgent(r, "engines"))
	assert.Assert(t, table.MostUrgent(table.Match("host.example", "/ask/deep/"), "engines"))
}

// TestPickService checks that services are picked in proportion to their
// weights.
func TestPickService(t *testing.T) {
	table, err := New(validConfig())
	assert.NilError(t, err)
	r := table.Match("host.example", "/ask/deep/")
	got := map[string]int{}
	for i := range 1000 {
		got[r.PickService(float64(i)/1000)]++
	}
	assert.DeepEqual(t, got, map[string]int{"engines": 750, "ledger": 250})
}

// TestNewRejectsInvalidConfig checks that every invalid declaration is rejected
// with the kind BadRequest.
func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, mutate := range map[string]func(*Config){
		"no version":                 func(c *Config) { c.Version = 0 },
		"unknown service":            func(c *Config) { c.Routes[0].TrafficSplit[0].Service = "gone" },
		"same host and prefix":       func(c *Config) { c.Routes[1].PathPrefix = "/" },
		"weights add up to 0":        func(c *Config) { c.Routes[2].TrafficSplit[0].Weight, c.Routes[2].TrafficSplit[1].Weight = 0, 0 },
		"negative weight":            func(c *Config) { c.Routes[2].TrafficSplit[0].Weight = -1 },
		"no timeout":                 func(c *Config) { c.Routes[0].Timeout = 0 },
		"no kind":                    func(c *Config) { c.Routes[0].Kind = 0 },
		"prefix without final slash": func(c *Config) { c.Routes[1].PathPrefix = "/ask" },
		"shared key":                 func(c *Config) { c.Teams[1].Keys[0] = "k1" },
		"duplicate service":          func(c *Config) { c.Services[1].Name = "engines" },
		"team without name":          func(c *Config) { c.Teams[0].Name = "" },
	} {
		t.Run(name, func(t *testing.T) {
			c := validConfig()
			mutate(&c)
			_, err := New(c)
			assert.Equal(t, sqerror.KindOf(err), sqerror.BadRequest)
		})
	}
}

func TestRetryable(t *testing.T) {
	for _, c := range []struct {
		kind      RouteKind
		resumable bool
		want      bool
	}{{Idempotent, false, true}, {AtMostOnce, true, false}, {Stream, false, false}, {Stream, true, true}} {
		r := Route{cfg: RouteConfig{Kind: c.kind, Resumable: c.resumable}}
		assert.Equal(t, r.Retryable(), c.want, "%v", c)
	}
}

// TestQuotaErrors fails if a quota that is not a finite number of at least 0 is accepted.
func TestQuotaErrors(t *testing.T) {
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		for _, q := range []Quota{{RatePerS: v}, {RatePerS: 1, Burst: v}, {RatePerS: 1, PlainTokens: v}} {
			_, err := New(Config{Version: 1, Teams: []TeamConfig{{Name: "a", Quota: q}}})
			assert.Equal(t, sqerror.KindOf(err), sqerror.BadRequest, "%v", q)
		}
	}
}
