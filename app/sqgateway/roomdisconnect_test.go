package sqgateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
)

// TestNoWaitForRoomAfterDisconnect fails if a request whose caller has disconnected goes on
// choosing endpoints until there is room or its deadline passes.
func TestNoWaitForRoomAfterDisconnect(t *testing.T) {
	e := newFakeEndpoint(t, signedHandler("done"))
	entry := e.fleetEntry("i1", "ledger", sqplace.AnyStage)
	s := newTestSystem(t, entry)
	s.gateway.mu.Lock()
	s.gateway.placer = sqplace.New(sqplace.Config{Zone: "a", LimitedMemory: true, MaxEndpointBodyBytes: 1000})
	s.gateway.placer.SetEndpoints([]sqplace.Endpoint{entry})
	// A dispatch that never ends keeps the endpoint full.
	s.gateway.placer.StartDispatch(sqclock.Now(), &entry, &sqplace.Query{Service: "ledger", BodyBytes: 900}, 0, 0)
	s.gateway.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.callerServer.URL+"/read/x", strings.NewReader(strings.Repeat("x", 600)))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Attempt", "a1")
	req.Header.Set("X-Key", "key")
	// The route allows 2 s, one wait takes 0.3 s at most.
	halfTime := sqclock.Now().Add(time.Second)
	go func() {
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
	}()
	waitFor(t, func() bool { return s.gateway.metrics.roomWaits.Get() > 0 })
	cancel()
	waitFor(t, func() bool { return s.gateway.metrics.running.Load() == 0 })
	assert.Assert(t, sqclock.Now().Before(halfTime), "the request went on")
}
