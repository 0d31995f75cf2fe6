package sqgateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/io/sqrpc"
)

// callWithPart sends a request whose prompt has the shared part.
func (s *testSystem) callWithPart(t *testing.T, part string) *http.Response {
	t.Helper()
	res, _, _ := s.call(t, http.MethodPost, "/quick/x", "prompt", "X-Tokens", "200", "X-Subject", part)
	return res
}

func TestQuarantinedPartReachesEndpoint(t *testing.T) {
	e := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.holder.update(func() {
		s.holder.quarantines = []*sqrpc.Quarantine{{Trait: &sqrpc.Trait{Service: "engines", Id: "bad"}, LeftMillis: 60_000}}
	})
	waitFor(t, func() bool { return len(s.gateway.view.Load().quarantines) == 1 })
	res := s.callWithPart(t, "bad")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 50 && seconds <= 60, "%v", seconds)
	assert.Equal(t, len(e.requests()), 0)
	assert.Equal(t, s.callWithPart(t, "sound").StatusCode, http.StatusOK)
	assert.Assert(t, strings.Contains(string(s.logs.bytes()), "the part bad of the prompt is quarantined"))
	s.holder.update(func() { s.holder.quarantines = nil })
	waitFor(t, func() bool { return len(s.gateway.view.Load().quarantines) == 0 })
	assert.Equal(t, s.callWithPart(t, "bad").StatusCode, http.StatusOK)
}

func TestAllRequestsReturnAfterAQuarantine(t *testing.T) {
	e := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.holder.update(func() {
		s.holder.quarantines = []*sqrpc.Quarantine{{Trait: &sqrpc.Trait{Service: "engines", Id: "bad"}}}
	})
	waitFor(t, func() bool { return len(s.gateway.view.Load().quarantines) == 1 })
	assert.Equal(t, s.callWithPart(t, "bad").StatusCode, http.StatusOK)
	res := s.callWithPart(t, "bad")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Retry-After"), "2.00")
	assert.Equal(t, len(e.requests()), 1)
}

// TestLastPartIsAskedAboutFirst guards against refused requests that use up what the holder
// allows of a part that many sound requests share.
func TestLastPartIsAskedAboutFirst(t *testing.T) {
	e := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.holder.update(func() {
		s.holder.probes = 1 // None is granted.
		s.holder.quarantines = []*sqrpc.Quarantine{{Trait: &sqrpc.Trait{Service: "engines", Id: "shared"}}, {Trait: &sqrpc.Trait{Service: "engines", Id: "last"}}}
	})
	waitFor(t, func() bool { return len(s.gateway.view.Load().quarantines) == 2 })
	assert.Equal(t, s.callWithPart(t, "shared,last").StatusCode, http.StatusServiceUnavailable)
	s.holder.update(func() {
		assert.Equal(t, len(s.holder.probed), 1)
		assert.Equal(t, s.holder.probed[0].GetId(), "last")
		s.holder.probed = nil
		s.holder.quarantines[0].LeftMillis = 60_000
	})
	active := sqquarantine.Trait{Service: "engines", ID: "shared"}
	waitFor(t, func() bool { return !s.gateway.view.Load().quarantines[active].IsZero() })
	assert.Equal(t, s.callWithPart(t, "shared,last").StatusCode, http.StatusServiceUnavailable)
	s.holder.update(func() { assert.Equal(t, len(s.holder.probed), 0, "the quarantine decides without the holder") })
}

// TestEndedQuarantineRefusesNothing guards against a request that is refused for no time
// because it came just before the heartbeat's response with an ended quarantine.
func TestEndedQuarantineRefusesNothing(t *testing.T) {
	s := newTestSystem(t)
	now := time.Unix(1000, 0)
	var v view
	s.gateway.applyQuarantines(now, &v, &sqrpc.BeatResponse{Quarantines: []*sqrpc.Quarantine{
		{Trait: &sqrpc.Trait{Service: "engines", Id: "ended"}}, {Trait: &sqrpc.Trait{Service: "engines", Id: "active"}, LeftMillis: 50},
	}})
	left := func(id string) time.Duration {
		return v.quarantines[sqquarantine.Trait{Service: "engines", ID: id}].Sub(now.Add(-10 * time.Millisecond))
	}
	assert.Assert(t, left("ended") <= 0)
	assert.Equal(t, left("active"), 60*time.Millisecond)
}

func TestPlainRequestUnderCrashIsNotReported(t *testing.T) {
	var e *fakeEndpoint
	e = newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = e.Listener.Close()
		resetConnection(w)
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	s.call(t, http.MethodGet, "/read/x", "")
	waitFor(t, func() bool {
		reported := false
		s.holder.update(func() { reported = len(s.holder.crashes) > 0 })
		return reported
	})
	s.holder.update(func() { assert.Assert(t, s.holder.crashes[0].GetRequests()[0].GetRequestId() != "") })
}

func TestCrashIsNotReported(t *testing.T) {
	var e *fakeEndpoint
	e = newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = e.Listener.Close()
		resetConnection(w)
	})
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.callWithPart(t, "bad")
	var crashes []*sqrpc.CrashReport
	waitFor(t, func() bool {
		s.holder.update(func() { crashes = s.holder.crashes })
		return len(crashes) > 0
	})
	assert.Equal(t, crashes[0].GetEndpoint(), "i1")
	assert.DeepEqual(t, crashes[0].GetRequests()[0].GetIds(), []string{"bad"})
}

// TestReelectedHolderHearsOfNoCrash guards against a holder that is elected again and never
// hears of the crashes that it knew in its former term.
func TestReelectedHolderHearsOfNoCrash(t *testing.T) {
	var e *fakeEndpoint
	e = newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = e.Listener.Close()
		resetConnection(w)
	})
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.callWithPart(t, "bad")
	reports := func() (n int) {
		s.holder.update(func() { n = len(s.holder.crashes) })
		return n
	}
	waitFor(t, func() bool { return reports() > 0 })
	heartbeats := 0
	s.holder.update(func() { heartbeats = s.holder.heartbeats })
	waitFor(t, func() bool {
		n := 0
		s.holder.update(func() { n = s.holder.heartbeats })
		return n > heartbeats+5
	})
	s.holder.update(func() { s.holder.crashes, s.holder.term = nil, 2 })
	waitFor(t, func() bool { return reports() > 0 })
}

func TestResetIsReportedAsCrash(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.callWithPart(t, "sound")
	var heartbeats int
	s.holder.update(func() { heartbeats = s.holder.heartbeats })
	waitFor(t, func() bool {
		n := 0
		s.holder.update(func() { n = s.holder.heartbeats })
		return n > heartbeats+5
	})
	s.holder.update(func() { assert.Equal(t, len(s.holder.crashes), 0) })
}

func TestAnswerToSuspectIsNotReported(t *testing.T) {
	e := newFakeEndpoint(t, engineHandler(0))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.holder.update(func() { s.holder.suspects = []*sqrpc.Trait{{Service: "engines", Id: "sound"}} })
	s.callWithPart(t, "sound")
	waitFor(t, func() bool {
		reported := false
		s.holder.update(func() { reported = len(s.holder.lastRequest.GetAnswers()) == 1 })
		return reported
	})
}
