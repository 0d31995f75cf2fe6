package sqcontrol

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
)

// TestFailedExchangeDelaysHandOver checks that a request without a response forbids
// a hand-over until the request can no longer be in flight.
func TestFailedExchangeDelaysHandOver(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	h := &holder{cfg: Config{Timings: Timings{LeaseDuration: time.Second}}}
	c := &http.Client{Transport: failureRecorder{next: http.DefaultTransport, onError: h.recordFailedExchange}}
	expect := func(url string, wantNow, wantLater bool) {
		t.Helper()
		res, err := c.Get(url)
		if err == nil {
			assert.NilError(t, res.Body.Close())
		}
		now := sqclock.Now()
		assert.Equal(t, h.noSendInFlight(now), wantNow)
		assert.Equal(t, h.noSendInFlight(now.Add(callTimeout+2*time.Second)), wantLater)
	}
	expect(srv.URL, true, true)
	srv.Close()
	expect(srv.URL, false, true)
}

// TestGracePeriod checks that work in progress continues after a stop, but only for
// a bounded time.
func TestGracePeriod(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	graceCtx, stop := withGracePeriod(ctx, 2*time.Second)
	defer stop()
	cancel()
	assert.NilError(t, graceCtx.Err())
	select {
	case <-graceCtx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the grace period does not end")
	}
}
