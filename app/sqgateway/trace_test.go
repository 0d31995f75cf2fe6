package sqgateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtrace"
)

// waitForTrace waits until lastEvent of the request is logged, and returns the trace
// of the request in the gateway's log.
func (s *testSystem) waitForTrace(t *testing.T, attemptID string, lastEvent sqevent.Event) *sqtrace.Trace {
	t.Helper()
	var trace *sqtrace.Trace
	waitFor(t, func() bool {
		lines, unreadable := sqtrace.Parse(s.logs.bytes())
		assert.Equal(t, unreadable, 0)
		found, ok := sqtrace.Find(lines, attemptID)
		trace = found
		return ok && found.RequestLines()[len(found.RequestLines())-1].Event() == lastEvent.Number
	})
	return trace
}

// TestFailuresTraceableInLogs checks that the logs alone lead from the ID of a failed
// request to the cause, for the three kinds of failure in the operators' guide:
// refused, deadline passed, and connection lost.
func TestFailuresTraceableInLogs(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Attempt") {
		case "late":
			time.Sleep(500 * time.Millisecond)
		case "broken":
			resetConnection(w)
			return
		}
		signedHandler("x")(w, r)
	}
	e := newFakeEndpoint(t, handler)
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))

	res, _, _ := s.call(t, http.MethodPost, "/ask/x", "", "X-Attempt", "refused")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	trace := s.waitForTrace(t, "refused", sqevent.RequestRefused)
	assert.Assert(t, strings.Contains(trace.RequestLines()[0].Text(), `"reason":"no endpoint is listed for the service"`))
	assert.Assert(t, strings.HasPrefix(trace.Advice(), "Refused, it has not run."))
	assert.Assert(t, len(trace.Context()) > 0, "the trace has no lines about the state of the gateway")

	res, _, _ = s.call(t, http.MethodPost, "/book/x", "", "X-Attempt", "late", "X-Wait", "150")
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout)
	trace = s.waitForTrace(t, "late", sqevent.RequestFailed)
	lastLine := trace.RequestLines()[len(trace.RequestLines())-1]
	assert.Assert(t, strings.Contains(lastLine.Text(), `"endpoint":"i1"`), "the endpoint of the request is not logged")
	assert.Assert(t, strings.HasPrefix(trace.Advice(), "Ended at its deadline."))

	res, _, _ = s.call(t, http.MethodPost, "/book/x", "", "X-Attempt", "broken")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	trace = s.waitForTrace(t, "broken", sqevent.RequestFailed)
	assert.Equal(t, trace.RequestLines()[0].Event(), sqevent.SendFailed.Number)
	assert.Assert(t, strings.Contains(trace.RequestLines()[0].Text(), `"outcome":"broken"`), "the outcome is not logged")
	assert.Assert(t, strings.HasPrefix(trace.Advice(), "Broken off, it may have run."))
}
