package sqgateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// TestRequestsFollowOpenConnection fails if requests to a service with a low limit of
// connections open new ones to equal endpoints, or are lost after the endpoint closed all
// connections without notice.
func TestRequestsFollowOpenConnection(t *testing.T) {
	var endpoints []*fakeEndpoint
	var fleet []sqplace.Endpoint
	for _, id := range []string{"i1", "i2", "i3", "i4"} {
		e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Keep-Alive", "timeout=60")
			signedHandler("x")(w, r)
		})
		endpoints, fleet = append(endpoints, e), append(fleet, e.fleetEntry(id, "ledger", sqplace.AnyStage))
	}
	h := newFakeLeaseHolder(fleet...)
	h.table = []byte(strings.Replace(string(h.table), `"Name":"ledger","MaxConnections":0`, `"Name":"ledger","MaxConnections":10`, 1))
	s := startTestSystem(t, h)
	waitFor(t, s.gateway.ready)
	call := func() {
		res, _, _ := s.call(t, http.MethodPost, "/book/a", "place")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	for range 8 {
		call()
	}
	used := 0
	for _, e := range endpoints {
		if len(e.requests()) > 0 {
			used++
		}
	}
	assert.Equal(t, used, 1)
	assert.Equal(t, s.gateway.metrics.reusedConnections.Get(), uint64(7))
	for _, e := range endpoints {
		e.CloseClientConnections()
	}
	call()
}
