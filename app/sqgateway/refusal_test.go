package sqgateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// refusingHandler returns a handler that declines requests with the value of Retry-After
// that the function returns.
func refusingHandler(retryAfter func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", retryAfter())
		declineHandler(w, r)
	}
}

func seconds(s string) func() string { return func() string { return s } }

// TestRequestsGoToRefusingEndpoint fails if an endpoint gets a request before the time that its Retry-After names.
func TestRequestsGoToRefusingEndpoint(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"seconds":  refusingHandler(seconds("2")),
		"fraction": refusingHandler(seconds("1.75")),
		"date": refusingHandler(func() string {
			return time.Now().Add(3 * time.Second).UTC().Format(http.TimeFormat)
		}),
		"undeclared": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newFakeEndpoint(t, handler)
			s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				s.call(t, http.MethodGet, "/read/x", "")
			}
			assert.Equal(t, len(e.requests()), 1)
			repeatUntilCount(t, e, 2, func() { s.call(t, http.MethodGet, "/read/x", "") })
		})
	}
}

// repeatUntilCount calls f until n requests have reached the endpoint.
func repeatUntilCount(t *testing.T, e *fakeEndpoint, n int, f func()) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(e.requests()) < n; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no request reached the endpoint after its time")
		f()
	}
}

// TestPromptsGoToRefusingEngine fails if a prefill engine gets a prompt before the time that its Retry-After names.
func TestPromptsGoToRefusingEngine(t *testing.T) {
	busy, decode := newFakeEndpoint(t, refusingHandler(seconds("30"))), newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, busy.fleetEntry("p1", "engines", sqplace.Prefill), decode.fleetEntry("d1", "engines", sqplace.Decode))
	for i := range 20 {
		res, _, _ := s.call(t, http.MethodPost, "/ask/x", "prompt", "X-Tokens", "20000", "X-Subject", strconv.Itoa(i))
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(busy.requests()), 1)
}

// TestCallersReturnBeforeEndpointsTakeRequests fails if callers are told to return too early, or all at the same time.
func TestCallersReturnBeforeEndpointsTakeRequests(t *testing.T) {
	e1, e2 := newFakeEndpoint(t, refusingHandler(seconds("20"))), newFakeEndpoint(t, refusingHandler(seconds("4")))
	s := newTestSystem(t, e1.fleetEntry("i1", "ledger", sqplace.AnyStage), e2.fleetEntry("i2", "ledger", sqplace.AnyStage))
	for n := 0; len(e1.requests()) == 0 || len(e2.requests()) == 0; n++ {
		assert.Assert(t, n < 100, "an endpoint got no request")
		s.call(t, http.MethodGet, "/read/x", "")
	}
	start, values := time.Now(), map[string]bool{}
	for range 20 {
		res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		value := res.Header.Get("Retry-After")
		wait, err := strconv.ParseFloat(value, 64)
		assert.NilError(t, err)
		left := 4 - time.Since(start).Seconds()
		assert.Assert(t, wait > left-0.5 && wait < 2*left+1, "%f of %f", wait, left)
		values[value] = true
	}
	assert.Equal(t, len(e1.requests())+len(e2.requests()), 2)
	assert.Assert(t, len(values) > 10, "%v", values)
}

// TestUnreadableRetryAfter checks that a value that cannot be read has no effect.
func TestUnreadableRetryAfter(t *testing.T) {
	for _, value := range []string{"soon", "-3", "NaN", "1e9999", "0x10", ""} {
		e := newFakeEndpoint(t, refusingHandler(seconds(value)))
		s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
		for range 5 {
			s.call(t, http.MethodGet, "/read/x", "")
		}
		assert.Equal(t, len(e.requests()), 5)
	}
}
