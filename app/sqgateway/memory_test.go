package sqgateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqmemory"
)

// TestBodyWithoutMemoryIsNotRun fails if a request for whose body there is no memory reaches
// an endpoint, gets another status than 503, or leaves bytes reserved.
func TestBodyWithoutMemoryIsNotRun(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		_, _ = w.Write([]byte("done"))
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	server := s.gateway.newServers()[0]
	ln, err := sqhttp.ListenBuffered("127.0.0.1:0", socketBuffers())
	assert.NilError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	s.callerServer.URL = "http://" + ln.Addr().String()

	// Another caller, whose request is being handled, holds nearly all of the budget.
	budget := s.gateway.guard.Budget()
	other := budget.Open(sqclock.Now(), sqmemory.AccountConfig{Share: budget.Limit()})
	other.SetServing(true)
	const bodyBytes = 1 << 20
	assert.Assert(t, other.Reserve(budget.Limit()*7/8-bodyBytes))
	body := strings.Repeat("x", bodyBytes)
	res, _, _ := s.call(t, http.MethodPost, "/book/x", body)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Equal(t, len(e.requests()), 0)
	res, answer, _ := s.call(t, http.MethodPost, "/book/x", "short")
	assert.Equal(t, res.StatusCode, http.StatusOK, "an ordinary request is served beside it")
	assert.Equal(t, answer, "done")
	other.Close()
	res, _, _ = s.call(t, http.MethodPost, "/book/x", body)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	waitFor(t, func() bool { return budget.UsedBytes() == 0 })
}
