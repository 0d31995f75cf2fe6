package sqgateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// versionedEntry returns the entry of a decode engine with a software version.
func (e *fakeEndpoint) versionedEntry(id, version string) sqplace.Endpoint {
	return sqplace.NewEndpoint(sqplace.EndpointConfig{
		ID: id, Service: "engines", Address: e.Listener.Addr().String(), Zone: "a", Slots: 4, Stage: sqplace.Decode, Version: version,
	})
}

func TestStreamWithoutEndpointOfItsVersionWaits(t *testing.T) {
	bad, other := newFakeEndpoint(t, engineHandler(3)), newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, bad.versionedEntry("i1", "v1"), other.versionedEntry("i2", "v2"))
	repeatUntilReached(t, bad, func() {
		startedAt := time.Now()
		_, text, truncated := s.call(t, http.MethodPost, "/ask/x", "prompt")
		if truncated {
			assert.Equal(t, text, wantEvents(1, 2))
			assert.Assert(t, time.Since(startedAt) < time.Second)
		}
	})
	assert.Assert(t, strings.Contains(string(s.logs.bytes()), `no endpoint of version \"v1\" is left`), "%s", s.logs.bytes())
	for _, r := range other.requests() {
		assert.Equal(t, r.Header.Get("X-After"), "")
	}
}

func TestCallerTakesUpStreamAtAnotherVersion(t *testing.T) {
	e1, e2 := newFakeEndpoint(t, engineHandler(0)), newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e1.versionedEntry("i1", "v1"), e2.versionedEntry("i2", "v2"))
	s.holder.update(func() { s.holder.origins = map[string]*sqrpc.StreamOrigin{"a0": {Service: "engines", Version: "v2"}} })
	for range 20 {
		_, text, _ := s.call(t, http.MethodPost, "/ask/x", "prompt", "X-Attempt", "a2", "X-After", "3", "X-Resumes", "a0")
		assert.Equal(t, text, wantEvents(4, 6))
	}
	assert.Equal(t, len(e1.requests()), 0)
}

func TestStreamOfUnknownVersionIsTakenUp(t *testing.T) {
	e := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e.versionedEntry("i1", "v1"))
	startedAt := time.Now()
	res, _, _ := s.call(t, http.MethodPost, "/ask/x", "prompt", "X-Attempt", "a2", "X-After", "3", "X-Resumes", "a0")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(startedAt) < time.Second)
	assert.Equal(t, len(e.requests()), 0)
}

func TestStreamsThatBeginAreNotReported(t *testing.T) {
	e := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e.versionedEntry("i1", "v1"))
	s.call(t, http.MethodPost, "/ask/x", "prompt")
	waitFor(t, func() bool {
		reported := false
		s.holder.update(func() { reported = s.holder.origins["a1"].GetVersion() == "v1" })
		return reported
	})
	res, text, _ := s.call(t, http.MethodPost, "/ask/x", "prompt", "X-Attempt", "a2", "X-After", "3", "X-Resumes", "a1")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, wantEvents(4, 6))
}
