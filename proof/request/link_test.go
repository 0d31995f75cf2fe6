package request

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqrecord"
)

type advertiseRequest struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// TestLinkToEngines disturbs the connections to all engines but one during
// streams: slowed down, dropped, reset after some bytes, or cut without an error.
// Every caller gets its complete answer.
func TestLinkToEngines(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond},
	})
	proxies := proxyEngines(t, c)
	tests := []struct {
		name    string
		disturb func(p *sqcluster.Proxy) error
		// endsStreams is whether the disturbance ends running streams.
		endsStreams bool
	}{
		{"slow", func(p *sqcluster.Proxy) error { return p.AddLatency(50*time.Millisecond, 20*time.Millisecond) }, false},
		{"drop", func(p *sqcluster.Proxy) error { return p.CloseConnections() }, true},
		{"limit", func(p *sqcluster.Proxy) error { return p.ResetAfter(60_000) }, true},
		{"cut", func(p *sqcluster.Proxy) error { return p.Partition() }, true},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := len(records(t, c))
			assertWholeStreams(t, c, c.Entries()[i%3].Zone(), streamTokens, func() {
				for _, p := range proxies[1:] {
					assert.NilError(t, tt.disturb(p))
				}
			})
			for _, p := range proxies {
				assert.NilError(t, p.Heal())
			}
			restarts := countStreamStarts(records(t, c)[before:]) - concurrentStreams
			t.Logf("%d streams were restarted or resumed", restarts)
			assert.Assert(t, restarts > 0 || !tt.endsStreams, "the disturbance affected no stream")
		})
	}
}

// countStreamStarts counts the requests that engines started or resumed.
func countStreamStarts(entries []sqrecord.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.RequestStarted || e.Kind == sqrecord.RequestResumed {
			n++
		}
	}
	return n
}

// proxyEngines puts a proxy between the entries and each engine, and waits until the
// lease holder lists the proxies' addresses.
func proxyEngines(t *testing.T, c *sqcluster.Cluster) []*sqcluster.Proxy {
	t.Helper()
	var proxies []*sqcluster.Proxy
	addresses := map[string]bool{}
	for _, e := range c.Endpoints("engine") {
		p, err := sqcluster.NewProxy(e.ID, e.Address)
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		assert.NilError(t, c.PostJSON(c.StandinAddresses().Platform, "/standin/advertise", advertiseRequest{VM: e.ID, Address: p.Address()}, nil))
		proxies = append(proxies, p)
		addresses[p.Address()] = true
	}
	assert.NilError(t, c.Eventually(context.Background(), "the lease holder lists the proxies", func() bool {
		s, _, err := c.HolderStatus(context.Background())
		seen := 0
		for _, e := range s.GetEndpoints() {
			if addresses[e.GetAddress()] {
				seen++
			}
		}
		return err == nil && seen == len(proxies)
	}))
	return proxies
}

// TestEntriesCutOffFailClosed cuts every connection to the control processes.
// Requests on routes that need an API key are refused as not run, routes without
// one are still served, and all routes are served again once the partition heals.
func TestEntriesCutOffFailClosed(t *testing.T) {
	c := start(t, sqcluster.Config{ProxyControls: true})
	ctx := context.Background()
	withKey := newCaller(c, sqcluster.DefaultTeams()[0].Key())
	singleAttempt := sqcaller.New(sqcaller.Config{
		Addresses: sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: entryAddresses(c)}),
		Key:       sqcluster.DefaultTeams()[0].Key(), MaxAttempts: 1,
	})
	withoutKey := newCaller(c, "")
	for _, n := range c.Controls() {
		assert.NilError(t, n.Proxy().Partition())
	}
	n := 0
	read := func(caller *sqcaller.Caller, path string) sqcaller.CallResult {
		n++
		return caller.Call(ctx, sqcaller.CallRequest{Method: http.MethodGet, Path: fmt.Sprintf("%s/%d", path, n), Deadline: 5 * time.Second})
	}
	assert.NilError(t, c.Eventually(ctx, "routes that need a key are refused", func() bool {
		a := read(singleAttempt, "/booking")
		return a.Outcome == sqcaller.NotRun && a.Refusal.Kind == "staleEntry"
	}))
	before := len(records(t, c))
	for range 20 {
		a := read(singleAttempt, "/booking")
		assert.Equal(t, a.Outcome, sqcaller.NotRun, "%+v", a.Refusal)
		assert.Equal(t, a.Refusal.Kind, "staleEntry")
		assert.Assert(t, a.Refusal.RetryAfterMillis > 0)
	}
	for _, e := range records(t, c)[before:] {
		assert.Assert(t, e.Argument == "" || e.Argument[:4] != "GET ", "%+v", e)
	}
	a := read(withoutKey, "/meetups")
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a.Refusal)
	for _, n := range c.Controls() {
		assert.NilError(t, n.Proxy().Heal())
	}
	assert.NilError(t, c.Eventually(ctx, "routes that need a key are served again", func() bool {
		return read(withKey, "/booking").Outcome == sqcaller.Complete
	}))
}

// TestStopFinishesLongStreams stops an entry that streams. It has to complete every
// answer before it exits.
func TestStopFinishesLongStreams(t *testing.T) {
	c := start(t, sqcluster.Config{EntryTiming: map[string]int{"keepMillis": 500}})
	victim := c.Entries()[0]
	assertWholeStreams(t, c, victim.Zone(), longStreamTokens, func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		code, err := victim.Stop(ctx)
		assert.NilError(t, err)
		assert.Equal(t, code, 0)
	})
	assertNoneCut(t, records(t, c))
}
