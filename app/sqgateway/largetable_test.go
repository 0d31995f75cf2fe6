package sqgateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
)

const (
	// grownLinkBitsPerSecond is the rate of a gateway's link at the users' larger sites,
	// and tableApplyBound the time within which a table has to be in force there.
	grownLinkBitsPerSecond = 10e6
	tableApplyBound        = 2500 * time.Millisecond
	// grownRoutes is the number of routes after the largest known growth came twice.
	grownRoutes = 2850
)

// largeTable returns the document of a table with the routes of testTable and more.
func largeTable(version uint64, routes int) []byte {
	var cfg sqtable.Config
	if err := json.Unmarshal(testTable(version), &cfg); err != nil {
		panic(err)
	}
	rng := rand.New(rand.NewPCG(version, 1))
	for range routes {
		cfg.Routes = append(cfg.Routes, sqtable.RouteConfig{
			Name: fmt.Sprintf("r-%07x", rng.Uint32N(1<<28)), Host: "h.example", PathPrefix: fmt.Sprintf("/%010x/", rng.Uint64N(1<<40)),
			Kind: sqtable.Idempotent, Timeout: 2 * time.Second, LatencyObjective: time.Second, MaxSends: 2,
			TrafficSplit: []sqtable.ServiceWeight{{Service: "ledger", Weight: 1}},
		})
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		panic(err)
	}
	return b
}

// TestLargeTableNeverArrivesOnSlowLink fails if a gateway on a slow link does not get a large table in time or loses its lease.
func TestLargeTableNeverArrivesOnSlowLink(t *testing.T) {
	t.Parallel()
	s := startTestSystemOnLink(t, newFakeLeaseHolder(), &link{bitsPerSecond: grownLinkBitsPerSecond})
	waitFor(t, s.gateway.ready)
	const version = 12
	document := largeTable(version, grownRoutes)
	declaredAt := time.Now()
	s.holder.update(func() { s.holder.table, s.holder.version = document, version })
	for time.Since(declaredAt) < tableApplyBound {
		assert.Assert(t, s.gateway.ready(), "not ready after %s", time.Since(declaredAt))
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, s.gateway.view.Load().table.Version(), uint64(version), "in force after %s, a table of %d bytes", tableApplyBound,
		len(document))
	time.Sleep(s.holder.freshFor)
	assert.Assert(t, s.gateway.ready(), "the freshness lease ran out")
}

// TestOutdatedTableInUseWhileNewOneCannotArrive fails if a gateway handles requests by a table that it has long known to be outdated.
func TestOutdatedTableInUseWhileNewOneCannotArrive(t *testing.T) {
	t.Parallel()
	e := newFakeEndpoint(t, signedHandler("read"))
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	_, body, _ := s.call(t, http.MethodGet, "/read/x", "")
	assert.Equal(t, body, "read")
	declaredAt := time.Now()
	s.holder.update(func() { s.holder.version, s.holder.withholdTable = 12, true })
	time.Sleep(time.Until(declaredAt.Add(tableApplyBound)))
	res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, !s.gateway.ready())
	s.holder.update(func() { s.holder.table, s.holder.withholdTable = testTable(12), false })
	waitFor(t, s.gateway.ready)
	_, body, _ = s.call(t, http.MethodGet, "/read/x", "")
	assert.Equal(t, body, "read")
}
