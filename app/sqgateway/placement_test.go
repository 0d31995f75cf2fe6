package sqgateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqplacement"
)

// askPlacement asks the gateway's internal handler, and returns the status and the answer.
func (s *testSystem) askPlacement(t *testing.T, in *sqplacement.Request) (int, string) {
	t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	s.gateway.internalHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, sqplacement.Path, bytes.NewReader(body)))
	return w.Code, w.Body.String()
}

// TestPlacement guards against an explanation that sends, counts or charges anything, and
// against keys in answers and logs.
func TestPlacement(t *testing.T) {
	e := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	s := newTestSystem(t, e.fleetEntry("e1", "engines", sqplace.AnyStage), e.fleetEntry("gone", "engines", sqplace.AnyStage).WithDraining())
	in := &sqplacement.Request{Host: "h.example", Path: "/ask/x", Key: "key", Tokens: 900, DeadlineMillis: 1500}
	status, answer := s.askPlacement(t, in)
	assert.Equal(t, status, http.StatusOK, answer)
	var r sqplacement.Report
	assert.NilError(t, json.Unmarshal([]byte(answer), &r))
	assert.Equal(t, r.Choice.Endpoint, "e1")
	assert.Equal(t, r.Team+" "+r.Route+" "+r.Service+" "+r.Quota.State, "team ask engines none")
	assert.Equal(t, r.TimeLeftMillis, 1500.0)
	assert.DeepEqual(t, r.Excluded, []sqplacement.Excluded{{Endpoint: "gone", Zone: "a", Reason: "draining"}})

	for _, c := range []struct {
		in     sqplacement.Request
		status int
		kind   sqerror.Kind
	}{
		{sqplacement.Request{Host: "h.example", Path: "/other", Key: "key"}, http.StatusNotFound, sqerror.UnknownRoute},
		{sqplacement.Request{Host: "h.example", Path: "/ask/x"}, http.StatusUnauthorized, sqerror.NoKey},
		{sqplacement.Request{Host: "h.example", Path: "/ask/x", Key: "wrongSecret"}, http.StatusUnauthorized, sqerror.UnknownKey},
		{sqplacement.Request{Host: "h.example", Path: "/ask/x", Key: "key", Service: "ledger"}, http.StatusNotFound, sqerror.NotFound},
		{sqplacement.Request{Host: "h.example", Path: "/ask/x", Key: "key", BodyBytes: 2 << 20}, http.StatusRequestEntityTooLarge, sqerror.TooLarge},
		{sqplacement.Request{Host: "h.example", Path: "/ask/x", Key: "key", Tokens: -1}, http.StatusBadRequest, sqerror.BadRequest},
	} {
		status, answer := s.askPlacement(t, &c.in)
		var f sqplacement.Failure
		assert.NilError(t, json.Unmarshal([]byte(answer), &f))
		assert.Equal(t, status, c.status)
		assert.Equal(t, sqerror.Kind(f.Kind), c.kind)
		assert.Assert(t, !strings.Contains(answer, "wrongSecret"))
	}
	assert.Assert(t, !bytes.Contains(s.logs.bytes(), []byte("wrongSecret")))
	assert.Equal(t, len(e.requests()), 0)
	assert.Equal(t, s.gateway.metrics.refused.Get()+s.gateway.metrics.answered.Get(), uint64(0))
	assert.Equal(t, len(s.gateway.demandByService), 0)
	assert.Equal(t, len(s.gateway.placer.OwnLoads()), 0)
}

// TestPlacementOfStaleGateway guards against an explanation by data that the gateway may no
// longer use.
func TestPlacementOfStaleGateway(t *testing.T) {
	h := newFakeLeaseHolder()
	h.notHolder = true
	s := startTestSystem(t, h)
	status, answer := s.askPlacement(t, &sqplacement.Request{Host: "h.example", Path: "/ask/x"})
	assert.Equal(t, status, http.StatusServiceUnavailable)
	var f sqplacement.Failure
	assert.NilError(t, json.Unmarshal([]byte(answer), &f))
	assert.Assert(t, sqerror.Kind(f.Kind) == sqerror.StaleEntry && f.RetryAfterMillis > 0)
}
