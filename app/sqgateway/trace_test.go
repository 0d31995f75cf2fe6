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

// follow returns what the gateway's logs tell of a request, once its end is logged.
func (s *system) follow(t *testing.T, request string, end sqevent.Event) *sqtrace.Trace {
	t.Helper()
	var trace *sqtrace.Trace
	waitFor(t, func() bool {
		lines, unreadable := sqtrace.Parse(s.logs.bytes())
		assert.Equal(t, unreadable, 0)
		found, ok := sqtrace.Follow(lines, request)
		trace = found
		return ok && found.Own()[len(found.Own())-1].Event() == end.Number
	})
	return trace
}

// TestThreeFailuresTold plays the three kinds of failed request of the operators'
// page, and wants the way from the identity to the cause in the logs alone.
func TestThreeFailuresTold(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Attempt") {
		case "late":
			time.Sleep(500 * time.Millisecond)
		case "broken":
			reset(w)
			return
		}
		signed("x")(w, r)
	}
	e := newEndpoint(t, answer)
	s := newSystem(t, e.listed("i1", "ledger", sqplace.AnyStage))

	res, _, _ := s.call(t, http.MethodPost, "/ask/x", "", "X-Attempt", "refused")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	trace := s.follow(t, "refused", sqevent.RequestRefused)
	assert.Assert(t, strings.Contains(trace.Own()[0].Text(), `"reason":"no endpoint is listed for the service"`))
	assert.Assert(t, strings.HasPrefix(trace.Advice(), "Refused, it has not run."))
	assert.Assert(t, len(trace.Context()) > 0, "what the gateway believed then")

	res, _, _ = s.call(t, http.MethodPost, "/book/x", "", "X-Attempt", "late", "X-Wait", "150")
	assert.Equal(t, res.StatusCode, http.StatusGatewayTimeout)
	trace = s.follow(t, "late", sqevent.RequestFailed)
	last := trace.Own()[len(trace.Own())-1]
	assert.Assert(t, strings.Contains(last.Text(), `"endpoint":"i1"`), "where it waited")
	assert.Assert(t, strings.HasPrefix(trace.Advice(), "Ended at its deadline."))

	res, _, _ = s.call(t, http.MethodPost, "/book/x", "", "X-Attempt", "broken")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	trace = s.follow(t, "broken", sqevent.RequestFailed)
	assert.Equal(t, trace.Own()[0].Event(), sqevent.SendFailed.Number)
	assert.Assert(t, strings.Contains(trace.Own()[0].Text(), `"outcome":"broken"`), "it may have run")
	assert.Assert(t, strings.HasPrefix(trace.Advice(), "Broken off, it may have run."))
}
