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

type advertise struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// TestLinkToEngines disturbs the links to all engines but one in the middle of
// streams: cut in silence, dropped, and cut after some bytes. Every caller gets
// its whole answer.
func TestLinkToEngines(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond},
	})
	links := proxyEngines(t, c)
	tests := []struct {
		name string
		harm func(p *sqcluster.Proxy) error
		// breaks is true when streams end by it.
		breaks bool
	}{
		{"slow", func(p *sqcluster.Proxy) error { return p.AddLatency(50*time.Millisecond, 20*time.Millisecond) }, false},
		{"drop", func(p *sqcluster.Proxy) error { return p.CloseConnections() }, true},
		{"limit", func(p *sqcluster.Proxy) error { return p.ResetAfter(60_000) }, true},
		{"cut", func(p *sqcluster.Proxy) error { return p.Partition() }, true},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := len(record(t, c))
			expectWholeWhen(t, c, c.Entries()[i%3].Zone(), streamTokens, func() {
				for _, p := range links[1:] {
					assert.NilError(t, tt.harm(p))
				}
			})
			for _, p := range links {
				assert.NilError(t, p.Heal())
			}
			more := attempts(record(t, c)[before:]) - streamsAtOnce
			t.Logf("%d streams were begun again or resumed", more)
			assert.Assert(t, more > 0 || !tt.breaks, "no stream met the harm")
		})
	}
}

// attempts counts the streams that engines began or resumed.
func attempts(entries []sqrecord.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.RequestStarted || e.Kind == sqrecord.RequestResumed {
			n++
		}
	}
	return n
}

// proxyEngines puts a link between the entries and each engine.
func proxyEngines(t *testing.T, c *sqcluster.Cluster) []*sqcluster.Proxy {
	t.Helper()
	var links []*sqcluster.Proxy
	addresses := map[string]bool{}
	for _, e := range c.Endpoints("engine") {
		p, err := sqcluster.NewProxy(e.ID, e.Address)
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		assert.NilError(t, c.PostJSON(c.StandinAddresses().Platform, "/standin/advertise", advertise{VM: e.ID, Address: p.Address()}, nil))
		links = append(links, p)
		addresses[p.Address()] = true
	}
	assert.NilError(t, c.Eventually(context.Background(), "the holder lists the links", func() bool {
		s, _, err := c.HolderStatus(context.Background())
		seen := 0
		for _, e := range s.GetEndpoints() {
			if addresses[e.GetAddress()] {
				seen++
			}
		}
		return err == nil && seen == len(links)
	}))
	return links
}

// TestEntriesCutOffFailClosed cuts every link to the control processes. Keyed
// routes are refused as not run, routes open to all go on, and all is served
// again once the links are healed.
func TestEntriesCutOffFailClosed(t *testing.T) {
	c := start(t, sqcluster.Config{ProxyControls: true})
	ctx := context.Background()
	keyed := callerOf(c, sqcluster.DefaultTeams()[0].Key())
	once := sqcaller.New(sqcaller.Config{
		Addresses: sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: seeds(c)}),
		Key:       sqcluster.DefaultTeams()[0].Key(), MaxAttempts: 1,
	})
	open := callerOf(c, "")
	for _, n := range c.Controls() {
		assert.NilError(t, n.Proxy().Partition())
	}
	n := 0
	read := func(caller *sqcaller.Caller, path string) sqcaller.CallResult {
		n++
		return caller.Call(ctx, sqcaller.CallRequest{Method: http.MethodGet, Path: fmt.Sprintf("%s/%d", path, n), Deadline: 5 * time.Second})
	}
	assert.NilError(t, c.Eventually(ctx, "keyed routes are refused", func() bool {
		a := read(once, "/booking")
		return a.Outcome == sqcaller.NotRun && a.Refusal.Kind == "staleEntry"
	}))
	before := len(record(t, c))
	for range 20 {
		a := read(once, "/booking")
		assert.Equal(t, a.Outcome, sqcaller.NotRun, "%+v", a.Refusal)
		assert.Equal(t, a.Refusal.Kind, "staleEntry")
		assert.Assert(t, a.Refusal.RetryAfterMillis > 0)
	}
	for _, e := range record(t, c)[before:] {
		assert.Assert(t, e.Argument == "" || e.Argument[:4] != "GET ", "%+v", e)
	}
	a := read(open, "/meetups")
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a.Refusal)
	for _, n := range c.Controls() {
		assert.NilError(t, n.Proxy().Heal())
	}
	assert.NilError(t, c.Eventually(ctx, "keyed routes are served again", func() bool {
		return read(keyed, "/booking").Outcome == sqcaller.Complete
	}))
}

// TestStopFinishesLongStreams stops an entry that streams: it has to give every
// answer whole before it ends.
func TestStopFinishesLongStreams(t *testing.T) {
	c := start(t, sqcluster.Config{EntryTiming: map[string]int{"keepMillis": 500}})
	victim := c.Entries()[0]
	expectWholeWhen(t, c, victim.Zone(), longStreamTokens, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shortWait)
		defer cancel()
		code, err := victim.Stop(ctx)
		assert.NilError(t, err)
		assert.Equal(t, code, 0)
	})
	noneCut(t, record(t, c))
}
