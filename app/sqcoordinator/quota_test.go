package sqcoordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqquota"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqrpc"
)

// TestHoldersShareQuota fails if a replica without the lease grants units, or if the next holder
// grants more than its bucket has got since its term began.
func TestHoldersShareQuota(t *testing.T) {
	t.Parallel()
	const rate = 10_000
	g := newGroup(t, 1, 2, 3)
	document := fmt.Sprintf(`{"Version":1,"Teams":[{"Name":"t","Keys":["k"],"Quota":{"RatePerS":%d,"Burst":%d}}]}`, rate, rate)
	g.waitFor("the table", func() bool { return g.nodes[g.holder()].Declare(t.Context(), []byte(document)) == nil })
	ask := func(i int) (*sqrpc.GrantQuotaResponse, error) {
		return g.nodes[i].GrantQuota(t.Context(), &sqrpc.GrantQuotaRequest{Gateway: "g", Run: "1", Team: "t", Units: rate / 10})
	}
	g.waitFor("a refusal", func() bool {
		res, err := ask(g.holder())
		return err == nil && !res.GetGranted() && res.GetRetryAfterMillis() > 0 && res.GetRetryAfterMillis() <= 100
	})
	_, err := ask(g.follower())
	assert.Equal(t, sqerror.KindOf(sqrpc.FromTwirp(err)), sqerror.NotHolder)
	// The next term begins while the holder stops.
	stoppedAt, granted := sqclock.Now(), 0
	g.stop(g.holder())
	g.waitFor("grants of the next holder", func() bool {
		for {
			res, err := ask(g.holder())
			if err != nil || !res.GetGranted() {
				return granted >= rate/5
			}
			granted += rate / 10
		}
	})
	limit := rate * sqclock.Now().Sub(stoppedAt).Seconds()
	assert.Assert(t, float64(granted) <= limit, "granted %d of %v", granted, limit)
}

// TestReservesComeWithHeartbeats fails if the heartbeats of gateways that have used their reserves
// bring no units, or if reports without quotas change the response.
func TestReservesComeWithHeartbeats(t *testing.T) {
	t.Parallel()
	c := &coordinator{}
	now := time.Unix(1000, 0)
	ts := newTermState(testLog(), now, 2, time.Second)
	ts.quotas = newQuotaState(now, sqquota.Bounds{Window: 8 * time.Second, Overrun: 0.1, Slack: 10_000})
	beat := func(gateway string) (units uint64) {
		req := registryBeat(gateway)
		req.QuotaReports = []*sqrpc.QuotaReport{{Team: "t", WantedUnits: 4000}}
		ts.gateways.record(now, req, nil)
		res := &sqrpc.BeatResponse{}
		c.exchangeQuotas(now, ts, req, res)
		for _, q := range res.GetQuotaGrants() {
			units += q.GetUnits()
		}
		return units
	}
	assert.Equal(t, beat("g1"), uint64(0))
	ts.quotas.issuer.SetQuotas(now, map[string]sqquota.Quota{"t": {RatePerS: 50_000, Burst: 50_000}})
	beat("g1")
	beat("g2")
	now = now.Add(5 * time.Second)
	assert.Equal(t, beat("g1")+beat("g2"), uint64(8000))
}

// BenchmarkGrantQuotaCall measures a call for units over loopback, the caller's part included.
func BenchmarkGrantQuotaCall(b *testing.B) {
	g := newGroup(b, 1, 2, 3)
	document := []byte(`{"Version":1,"Teams":[{"Name":"t","Quota":{"RatePerS":1e9,"Burst":1e9}}]}`)
	g.waitFor("the table", func() bool { return g.nodes[g.holder()].Declare(b.Context(), document) == nil })
	client := sqrpc.NewCoordinatorProtobufClient("http://"+g.internalAddress(g.holder()), sqhttp.NewClient(sqhttp.ClientConfig{Timeout: callTimeout}))
	req := &sqrpc.GrantQuotaRequest{Gateway: "g", Run: "1", Team: "t", Units: 400}
	g.waitFor("the quotas", func() bool { _, err := client.GrantQuota(b.Context(), req); return err == nil })
	for b.Loop() {
		_, err := client.GrantQuota(b.Context(), req)
		assert.NilError(b, err)
	}
}

// BenchmarkGrantQuota measures the answer to a call for units without the network, and the
// quota part of a heartbeat of one of 84 gateways with reports on 84 teams.
func BenchmarkGrantQuota(b *testing.B) {
	now := time.Unix(1000, 0)
	issuer := sqquota.NewIssuer(now, sqquota.Bounds{Window: 8 * time.Second, Overrun: 0.1, Slack: 190_000})
	quotas, reports := map[string]sqquota.Quota{}, []sqquota.Report{}
	for i := range 84 {
		team := fmt.Sprint("team-", i)
		quotas[team] = sqquota.Quota{RatePerS: 1e6, Burst: 1e6}
		reports = append(reports, sqquota.Report{Team: team, Wanted: 400})
	}
	issuer.SetQuotas(now, quotas)
	issuer.SetGateways(84)
	b.Run("grant", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(time.Millisecond)
			issuer.Grant(now, "team-7", 400)
		}
	})
	b.Run("heartbeat", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(time.Millisecond)
			issuer.Exchange(now, "g/1", reports)
		}
	})
}
