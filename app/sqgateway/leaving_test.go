package sqgateway

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// leavingHandler returns a handler that reports that the endpoint is about to stop and
// responds with next.
func leavingHandler(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		next(w, r)
	}
}

func declineHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// waitForListRevision waits until the gateway has the list with the revision.
func (s *testSystem) waitForListRevision(t *testing.T, revision uint64) {
	t.Helper()
	waitFor(t, func() bool { return s.gateway.view.Load().fleetRevision == revision })
}

// TestRequestsGoToLeavingEndpoint fails if an endpoint gets a request after any kind of answer that says that it leaves.
func TestRequestsGoToLeavingEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, service string
		answer                http.HandlerFunc
	}{
		"response": {http.MethodGet, "/read/x", "ledger", signedHandler("x")},
		"error":    {http.MethodGet, "/read/x", "ledger", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		"declined": {http.MethodGet, "/read/x", "ledger", declineHandler},
		"stream":   {http.MethodPost, "/ask/x", "engines", engineHandler(0)},
	} {
		t.Run(name, func(t *testing.T) {
			leaving, other := newFakeEndpoint(t, leavingHandler(c.answer)), newFakeEndpoint(t, c.answer)
			s := newTestSystem(t, leaving.fleetEntry("i1", c.service, sqplace.AnyStage), other.fleetEntry("i2", c.service, sqplace.AnyStage))
			repeatUntilReached(t, leaving, func() { s.call(t, c.method, c.path, "") })
			for range 30 {
				s.call(t, c.method, c.path, "")
			}
			assert.Equal(t, len(leaving.requests()), 1)
		})
	}
}

// TestStaleListRevivesLeavingEndpoint fails if a list that is older than the report makes requests go to the endpoint again.
func TestStaleListRevivesLeavingEndpoint(t *testing.T) {
	leaving, other := newFakeEndpoint(t, leavingHandler(signedHandler("x"))), newFakeEndpoint(t, signedHandler("x"))
	i1, i2 := leaving.fleetEntry("i1", "ledger", sqplace.AnyStage), other.fleetEntry("i2", "ledger", sqplace.AnyStage)
	s := newTestSystem(t, i1, i2)
	repeatUntilReached(t, leaving, func() { s.call(t, http.MethodGet, "/read/x", "") })
	s.holder.update(func() { s.holder.fleet, s.holder.revision = []sqplace.Endpoint{i2}, 2 })
	s.waitForListRevision(t, 2)
	s.holder.update(func() { s.holder.fleet, s.holder.revision = []sqplace.Endpoint{i1, i2}, 3 })
	s.waitForListRevision(t, 3)
	for range 30 {
		s.call(t, http.MethodGet, "/read/x", "")
	}
	assert.Equal(t, len(leaving.requests()), 1)
}

// TestGatewayOutOfTouchSendsToLeavingEndpoint fails if an endpoint gets a request after its answer while the lease holder does not respond.
func TestGatewayOutOfTouchSendsToLeavingEndpoint(t *testing.T) {
	leaving, other := newFakeEndpoint(t, leavingHandler(signedHandler("x"))), newFakeEndpoint(t, signedHandler("x"))
	s := newTestSystem(t, leaving.fleetEntry("i1", "ledger", sqplace.AnyStage), other.fleetEntry("i2", "ledger", sqplace.AnyStage))
	s.holder.update(func() { s.holder.notHolder = true })
	repeatUntilReached(t, leaving, func() { s.call(t, http.MethodGet, "/read/x", "") })
	for range 30 {
		res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(leaving.requests()), 1)
	s.holder.update(func() { s.holder.notHolder = false })
	waitFor(t, func() bool {
		reported := false
		s.holder.update(func() { reported = len(s.holder.lastRequest.GetLeavingEndpoints()) == 1 })
		return reported
	})
}

// TestPrefillEngineThatLeavesGetsPrompts fails if a prefill engine gets a prompt after it has said that it leaves.
func TestPrefillEngineThatLeavesGetsPrompts(t *testing.T) {
	leaving := newFakeEndpoint(t, leavingHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("handle h")) }))
	decode := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, leaving.fleetEntry("p1", "engines", sqplace.Prefill), decode.fleetEntry("d1", "engines", sqplace.Decode))
	for i := range 20 {
		res, _, _ := s.call(t, http.MethodPost, "/ask/x", "prompt", "X-Tokens", "20000", "X-Subject", strconv.Itoa(i))
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(leaving.requests()), 1)
}
