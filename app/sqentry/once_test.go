package sqentry

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/io/sqrpc"
)

// TestOnceConcurrentResends resends the same identities concurrently: each call
// runs once, and all callers get the same outcome.
func TestOnceConcurrentResends(t *testing.T) {
	s := newTestSystem(t, 0)
	const calls, resends = 40, 5
	outcomes := make([][]string, calls)
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range calls * resends {
		all.Go(func() {
			identity := "storm-" + strconv.Itoa(i%calls)
			r := s.bookPlace(identity, `{}`)
			for r.status == http.StatusConflict && r.refusalBody(t).Kind == "callRunning" {
				time.Sleep(5 * time.Millisecond)
				r = s.bookPlace(identity, `{}`)
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[i%calls] = append(outcomes[i%calls], r.body)
		})
	}
	all.Wait()
	for i, bodies := range outcomes {
		assert.Equal(t, s.plain.runCount("storm-"+strconv.Itoa(i)), 1)
		for _, b := range bodies {
			assert.Equal(t, b, bodies[0])
		}
	}
}

func TestOnceRefusals(t *testing.T) {
	s := newTestSystem(t, 0)
	expect := func(r httpReply, status int, kind, run string) {
		t.Helper()
		assert.Equal(t, r.status, status, r.body)
		got := r.refusalBody(t)
		assert.Equal(t, got.Kind, kind)
		assert.Equal(t, got.Run, run)
	}
	auth := []string{"Authorization", "Bearer " + teamKey}
	expect(s.do("POST", s.callers+"/booking/places", "{}", auth...), 400, "noIdentity", "notRun")
	expect(s.do("POST", s.callers+"/booking/places/7", "{}", auth...), 400, "noIdentity", "notRun")
	expect(s.do("POST", s.callers+"/booking//places", "{}", auth...), 400, "badRequest", "notRun")
	expect(s.do("POST", s.callers+"/booking/x/../places", "{}", auth...), 400, "badRequest", "notRun")
	expect(s.do("POST", s.callers+"/booking%2fplaces", "{}", auth...), 400, "badRequest", "notRun")
	expect(s.do("POST", s.callers+"/booking/places", "{}", append(auth, "Idempotency-Key", "a", "Idempotency-Key", "b")...), 400, "noIdentity", "notRun")
	assert.Equal(t, s.bookPlace("same", `{"dog":"Rex"}`).status, 201)
	expect(s.bookPlace("same", `{"dog":"Max"}`), 422, "identityReused", "notRun")
	assert.Equal(t, s.plain.runCount("same"), 1)
	assert.Equal(t, s.plain.runs(), 1)
}

// TestOnceUnknown loses the response of a call that ran: no resend runs it
// again, unless the service itself recognises a repeated identity.
func TestOnceUnknown(t *testing.T) {
	s := newTestSystem(t, 0)
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	s.plain.setHandler(abort)
	for range 3 {
		r := s.bookPlace("lost", `{}`).refusalBody(t)
		assert.Equal(t, r.Kind, "callUnknown")
		assert.Equal(t, r.Run, "mayHaveRun")
	}
	assert.Equal(t, s.plain.runCount("lost"), 1)

	fees := func() httpReply {
		return s.do("POST", s.callers+"/fees", "{}", "Authorization", "Bearer "+teamKey, "Idempotency-Key", "fee")
	}
	assert.Equal(t, fees().refusalBody(t).Kind, "callUnknown")
	// A resend that did not start does not show whether the attempt before it
	// ran.
	s.plain.setHandler(notStarted)
	assert.Equal(t, fees().refusalBody(t).Run, "mayHaveRun")
	s.plain.setHandler(nil)
	first := fees()
	assert.Equal(t, first.status, 201, first.body)
	assert.Equal(t, fees().body, first.body)
	assert.Equal(t, s.plain.runCount("fee"), 3)
}

func notStarted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Sequoiadock-Not-Started", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestOnceNotStarted makes the service report that it did not start the call:
// the call may then run under the same identity.
func TestOnceNotStarted(t *testing.T) {
	s := newTestSystem(t, 0)
	s.plain.setHandler(notStarted)
	r := s.bookPlace("again", `{}`).refusalBody(t)
	assert.Equal(t, r.Run, "notRun")
	assert.Assert(t, r.RetryAfterMillis > 0)
	s.plain.setHandler(nil)
	assert.Equal(t, s.bookPlace("again", `{}`).status, 201)
	assert.Equal(t, s.bookPlace("again", `{}`).status, 201)
	assert.Equal(t, s.plain.runCount("again"), 2)
}

// TestOnceCallerLeaves lets the caller's deadline pass while the call runs: the
// outcome is still recorded, and a resend gets it. The deadline must be longer than the
// commit of the call's begin, or the call does not run.
func TestOnceCallerLeaves(t *testing.T) {
	s := newTestSystem(t, 0)
	release := make(chan struct{})
	s.plain.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("late"))
	})
	r := s.do("POST", s.callers+"/booking/places", "{}", "Authorization", "Bearer "+teamKey,
		"Idempotency-Key", "late", "Sequoiadock-Deadline-Millis", "1500")
	assert.Equal(t, r.refusalBody(t).Kind, "callRunning")
	assert.Equal(t, s.bookPlace("late", "{}").refusalBody(t).Run, "mayHaveRun")
	close(release)
	s.eventually("the outcome is recorded", func() bool { return s.bookPlace("late", "{}").body == "late" })
	assert.Equal(t, s.plain.runCount("late"), 1)
}

// TestOnceDeadlineDuringBegin lets the caller's deadline pass while the begin
// of the call is being committed: nothing is sent, and the record is closed as
// not run.
func TestOnceDeadlineDuringBegin(t *testing.T) {
	s := newTestSystem(t, 0)
	hold := make(chan struct{})
	s.control.change(func() { s.control.holdCommits = hold })
	r := s.do("POST", s.callers+"/booking/places", "{}", "Authorization", "Bearer "+teamKey,
		"Idempotency-Key", "slow", "Sequoiadock-Deadline-Millis", "100")
	assert.Equal(t, r.refusalBody(t).Run, "mayHaveRun")
	close(hold)
	s.eventually("the record is closed", func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		return len(s.control.state.Calls(sqcommand.CallState_CALL_STATE_NOT_RUN)) == 1
	})
	assert.Equal(t, s.plain.runCount("slow"), 0)
	assert.Equal(t, s.bookPlace("slow", "{}").status, 201)
}

// TestOnceNeedsUnbrokenFreshness interrupts the freshness lease while the begin
// of a call is being committed: the call must not be sent in the next lease.
func TestOnceNeedsUnbrokenFreshness(t *testing.T) {
	s := newTestSystem(t, 0)
	hold := make(chan struct{})
	s.control.change(func() { s.control.holdCommits = hold })
	done := make(chan httpReply, 1)
	go func() { done <- s.bookPlace("broken", "{}") }()
	time.Sleep(100 * time.Millisecond)
	s.control.change(func() { s.control.unreachable = true })
	s.eventually("the freshness lease is over", func() bool { return s.get(s.internal, "/healthz").status != 200 })
	s.control.change(func() { s.control.unreachable = false })
	s.eventually("the entry is fresh again", func() bool { return s.get(s.internal, "/healthz").status == 200 })
	close(hold)
	r := (<-done).refusalBody(t)
	assert.Equal(t, r.Kind, "staleEntry")
	assert.Equal(t, r.Run, "notRun")
	assert.Equal(t, s.plain.runCount("broken"), 0)
}

func TestOncePatterns(t *testing.T) {
	s := newService(&sqcommand.Service{OnceCalls: []string{"POST /b/places", "PUT /b/x/"}})
	expect := func(method, path string, want bool) {
		t.Helper()
		assert.Equal(t, s.isOnceCall(method, path), want, method+" "+path)
	}
	expect("POST", "/b/places", true)
	expect("POST", "/b/places/", true)
	expect("POST", "/b/places/1", true)
	expect("POST", "/b/placesx", false)
	expect("GET", "/b/places", false)
	expect("PUT", "/b/x", true)
}

// holdOutcomes blocks commits of outcomes until release is called.
func (s *testSystem) holdOutcomes() (release func()) {
	held := make(chan struct{})
	release = sync.OnceFunc(func() { close(held) })
	s.t.Cleanup(release)
	s.control.change(func() { s.control.holdOutcomes = held })
	return release
}

// recordedCalls returns the number of calls whose outcome is recorded.
func (s *testSystem) recordedCalls() int {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return len(s.control.state.Calls(sqcommand.CallState_CALL_STATE_DONE))
}

// TestOnceRespondsBeforeCommit blocks the commit of the outcome: the caller
// gets the response without waiting for it. A resend neither runs the call
// again nor gets an outcome that could change later.
func TestOnceRespondsBeforeCommit(t *testing.T) {
	s := newTestSystem(t, 0)
	release := s.holdOutcomes()
	first := s.bookPlace("told", "{}")
	assert.Equal(t, first.status, 201, first.body)
	assert.Equal(t, s.recordedCalls(), 0)
	for range 3 {
		r := s.do("POST", s.callers+"/booking/places", "{}", "Authorization", "Bearer "+teamKey,
			"Idempotency-Key", "told", "Sequoiadock-Deadline-Millis", "100").refusalBody(t)
		assert.Equal(t, r.Kind, "callRunning")
		assert.Equal(t, r.Run, "mayHaveRun")
		assert.Assert(t, r.RetryAfterMillis > 0)
	}
	waits := make(chan httpReply, 1)
	go func() { waits <- s.bookPlace("told", "{}") }()
	time.Sleep(50 * time.Millisecond)
	release()
	assert.Equal(t, (<-waits).body, first.body)
	s.eventually("the outcome is recorded", func() bool { return s.recordedCalls() == 1 })
	assert.Equal(t, s.bookPlace("told", "{}").body, first.body)
	assert.Equal(t, s.plain.runCount("told"), 1)
}

// TestOnceNotRunRecordedFirst blocks the commit of an attempt that did not
// start: the caller must not get "not run" before the commit, because it may
// then resend the call at once.
func TestOnceNotRunRecordedFirst(t *testing.T) {
	s := newTestSystem(t, 0)
	s.plain.setHandler(notStarted)
	release := s.holdOutcomes()
	done := make(chan httpReply, 1)
	go func() { done <- s.bookPlace("recorded", "{}") }()
	s.eventually("the call was refused", func() bool { return s.plain.runCount("recorded") == 1 })
	select {
	case r := <-done:
		t.Fatal("answered before the outcome was recorded: " + r.body)
	case <-time.After(100 * time.Millisecond):
	}
	release()
	assert.Equal(t, (<-done).refusalBody(t).Run, "notRun")
}

// TestOnceStopWaitsForRecord stops an entry whose caller has the response while
// the commit of the outcome is blocked: the process exits only after the
// commit.
func TestOnceStopWaitsForRecord(t *testing.T) {
	s := newTestSystem(t, 0)
	release := s.holdOutcomes()
	assert.Equal(t, s.bookPlace("stop", "{}").status, 201)
	s.stop()
	select {
	case err := <-s.runErr:
		t.Fatal("ended before the outcome was recorded: ", err)
	case <-time.After(2 * time.Second):
	}
	release()
	err := <-s.runErr
	s.runErr <- err
	assert.NilError(t, err)
	assert.Equal(t, s.recordedCalls(), 1)
}

// TestOnceRetriesAtOtherEndpoint makes the endpoint in the call's record refuse
// to start: the call begins again at another endpoint, and the record names
// that one.
func TestOnceRetriesAtOtherEndpoint(t *testing.T) {
	s := newTestSystem(t, 0)
	second := newFakeService(t)
	s.plain.setHandler(notStarted)
	second.setHandler(notStarted)
	s.control.change(func() {
		s.control.fleetRevision++
		s.control.endpoints = append(s.control.endpoints, &sqrpc.EndpointView{
			Id: "booking1", Zone: "a", Address: second.address(), Kind: "booking", State: stateLive,
		})
	})
	s.eventually("both endpoints refuse to start", func() bool {
		s.bookPlace("both", "{}")
		return s.plain.runCount("both") > 0 && second.runCount("both") > 0
	})
	second.setHandler(nil)
	assert.Equal(t, s.bookPlace("both", "{}").status, 201)
	s.eventually("the outcome is recorded", func() bool { return s.recordedCalls() == 1 })
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	done := s.control.state.Calls(sqcommand.CallState_CALL_STATE_DONE)
	assert.Equal(t, len(done), 1)
	assert.Equal(t, done[0].GetCall().GetEndpoint(), "booking1")
}
