package sqgateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// TestLimitedEndpointGetsRequestsWithoutPermit fails if an endpoint that names a limit gets more requests than there are permits.
func TestLimitedEndpointGetsRequestsWithoutPermit(t *testing.T) {
	var isLimited atomic.Bool
	e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if isLimited.Load() {
			w.Header().Set("X-Limit", "2.5")
		}
		signedHandler("read")(w, r)
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	read := func() int {
		res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
		return res.StatusCode
	}
	for range 5 {
		assert.Equal(t, read(), http.StatusOK)
	}
	isLimited.Store(true)
	assert.Equal(t, read(), http.StatusOK)
	start := time.Now()
	res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < 200*time.Millisecond, "refused after %s", time.Since(start))
	retryAfter, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter >= 0.3 && retryAfter < 2, "%v", retryAfter)
	var report *sqrpc.LimitReport
	waitFor(t, func() bool {
		s.holder.update(func() {
			if len(s.holder.limitReports) > 0 {
				report = s.holder.limitReports[0]
			}
		})
		return report != nil
	})
	assert.Assert(t, report.GetEndpoint() == "i1" && report.GetNamed() && report.GetPerSecond() == 2.5, "%v", report)
	arrived := len(e.requests())
	s.holder.update(func() { s.holder.limits[0].Permits = 2 })
	waitFor(t, func() bool { return read() == http.StatusOK })
	statuses := map[int]int{}
	for range 10 {
		statuses[read()]++
	}
	assert.Equal(t, statuses[http.StatusOK], 1)
	assert.Equal(t, len(e.requests()), arrived+2)
	isLimited.Store(false)
	s.holder.update(func() { s.holder.limits[0].Permits = 1 })
	waitFor(t, func() bool { return read() == http.StatusOK })
	for range 5 {
		assert.Equal(t, read(), http.StatusOK)
	}
}

// TestPrefillsCountTowardsLimit fails if prompts are sent to a prefill engine without permits.
func TestPrefillsCountTowardsLimit(t *testing.T) {
	prefiller := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("handle h1")) })
	decoder := newFakeEndpoint(t, signedHandler(wantEvents(1, 2)))
	h := newFakeLeaseHolder(prefiller.fleetEntry("p1", "engines", sqplace.Prefill), decoder.fleetEntry("d1", "engines", sqplace.Decode))
	h.limits = []*sqrpc.EndpointLimit{{Endpoint: "p1", PerSecond: 2.5}}
	s := startTestSystem(t, h)
	waitFor(t, s.gateway.ready)
	for range 20 {
		res, _, _ := s.call(t, http.MethodPost, "/ask/x", "prompt", "X-Tokens", "50000", "X-Subject", "s")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(prefiller.requests()), 0)
	assert.Equal(t, len(decoder.requests()), 20)
}

// TestUnreadableLimitIsIgnored checks that an endpoint whose limit cannot be read is used on.
func TestUnreadableLimitIsIgnored(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Limit", "many")
		signedHandler("read")(w, r)
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	for range 5 {
		res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}
