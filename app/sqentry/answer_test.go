package sqentry

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// failFirstStream makes the first stream of any engine fail with f.
func failFirstStream(s *testSystem, f streamFault) {
	failed := false
	for _, e := range s.engines {
		e.mu.Lock()
		e.faultFor = func(int, fakeRequest) streamFault {
			if failed {
				return streamFault{position: -1}
			}
			failed = true
			return f
		}
		e.mu.Unlock()
	}
}

// TestWholeResponseDespiteStreamFaults breaks one stream per case, at different
// positions and in different ways: the caller gets the complete and correct
// response.
func TestWholeResponseDespiteStreamFaults(t *testing.T) {
	test := func(kind string, at, streams int) {
		t.Helper()
		t.Run(kind, func(t *testing.T) {
			s := newTestSystem(t, 2)
			failFirstStream(s, streamFault{kind: kind, position: at})
			r := s.chat(20, true)
			text, end := parseStream(t, r)
			assert.Equal(t, text, expectedText(20), r.body)
			assert.Equal(t, end, "length")
			assert.Equal(t, len(s.engines[0].received())+len(s.engines[1].received()), streams)
		})
	}
	test("notStarted", -1, 2)
	test("cut", 0, 2)
	test("cut", 7, 2)
	test("cut", 19, 2)
	test("end", 7, 2)
	test("double", 7, 1)
	test("cross", 7, 2)
	test("gap", 7, 2)
	test("garble", 7, 2)
	test("long", 7, 2)
	test("endless", 7, 2)
	test("hang", 7, 2)
}

// TestEngineDies kills the engine mid-stream while the retry budget is used up,
// as after the loss of a zone: the other engine computes the prefix again and
// the caller gets the rest.
func TestEngineDies(t *testing.T) {
	e := newEntry(t.Context(), benchConfig())
	e.retries.available = 0
	s := &testSystem{t: t}
	var views []*sqrpc.EndpointView
	for i := range 2 {
		f := newFakeEngine(t)
		f.tokenInterval = 5 * time.Millisecond
		s.engines = append(s.engines, f)
		views = append(views, &sqrpc.EndpointView{
			Id: "engine" + string(rune('0'+i)), Kind: "engine", State: stateLive, Models: []string{"m@1"}, Address: f.address(),
		})
	}
	conf := testConfiguration()
	conf.Services[0].Open = true
	e.routes.Store(newRoutes(1, conf))
	e.fleet.setEndpoints(sqclock.Now(), views)
	e.admission.setTeams(sqclock.Now(), admissionTeams(e.watch.View()))
	s.callers = serveHandler(t, e.callersHandler())
	done := make(chan httpReply, 1)
	go func() { done <- s.chat(60, true) }()
	var first *fakeEngine
	s.eventually("a stream runs", func() bool {
		for _, f := range s.engines {
			if len(f.received()) > 0 {
				first = f
			}
		}
		return first != nil
	})
	time.Sleep(50 * time.Millisecond)
	first.server.Listener.Close()
	first.server.CloseClientConnections()
	text, end := parseStream(t, <-done)
	assert.Equal(t, text, expectedText(60))
	assert.Equal(t, end, "length")
}

// TestDifferentPrefix makes the second engine generate a different response:
// the caller gets an error and never a mix of the two responses.
func TestDifferentPrefix(t *testing.T) {
	s := newTestSystem(t, 2)
	first := ""
	for i, e := range s.engines {
		e.wordPrefix = string(rune('a' + i))
		e.faultFor = func(_ int, q fakeRequest) streamFault {
			if first == "" {
				first = q.RequestID
			}
			if q.RequestID != first {
				return streamFault{position: -1}
			}
			return streamFault{position: 7, kind: "cut"}
		}
	}
	r := s.chat(20, true)
	text, end := parseStream(t, r)
	assert.Assert(t, text == strings.ReplaceAll(expectedText(7), "w", "a") || text == strings.ReplaceAll(expectedText(7), "w", "b"), r.body)
	assert.Equal(t, end, "badAnswer")
}

// TestCallerLeaves checks that a request is canceled at the engine when the
// caller disconnects.
func TestCallerLeaves(t *testing.T) {
	s := newTestSystem(t, 1)
	e := s.engines[0]
	e.tokenInterval = 20 * time.Millisecond
	resp, cancel := s.openStream(1000)
	_, err := bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	s.eventually("the engine gets the cancellation", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.canceledIDs) == 1 && e.canceledIDs[0] == e.requests[0].RequestID
	})
}

// openStream starts a stream and returns after its headers were received.
func (s *testSystem) openStream(tokens int) (*http.Response, context.CancelFunc) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers+pathChat, strings.NewReader(chatJSON(tokens, true)))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := testClient.Do(req)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() {
		cancel()
		resp.Body.Close()
	})
	assert.Equal(s.t, resp.StatusCode, http.StatusOK)
	return resp, cancel
}

// readStream reads a stream to its end.
func readStream(t *testing.T, resp *http.Response) (text, end string) {
	t.Helper()
	var b strings.Builder
	_, err := bufio.NewReader(resp.Body).WriteTo(&b)
	assert.NilError(t, err)
	return parseStream(t, httpReply{status: resp.StatusCode, header: resp.Header, body: b.String()})
}

// TestMoveFromLeaving checks that a running stream moves with its KV cache away
// from an engine that is leaving, that the holder is told when no work is left
// there, and that the engine gets no new requests.
func TestMoveFromLeaving(t *testing.T) {
	s := newTestSystem(t, 2)
	for _, e := range s.engines {
		e.tokenInterval = 10 * time.Millisecond
	}
	resp, _ := s.openStream(100)
	from := 0
	if len(s.engines[0].received()) == 0 {
		from = 1
	}
	id := "engine" + string(rune('0'+from))
	s.control.setState(id, stateLeaving)
	s.eventually("the holder is told that the engine is drained", func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		for _, stopped := range s.control.lastWatch.GetStopped() {
			if stopped == id {
				return true
			}
		}
		return false
	})
	text, end := readStream(t, resp)
	assert.Equal(t, text, expectedText(100))
	assert.Equal(t, end, "length")
	assert.Equal(t, len(s.engines[from].exports()), 1)
	assert.Equal(t, len(s.engines[1-from].imports()), 1)
	before := len(s.engines[from].received())
	for range 10 {
		assert.Equal(t, s.chat(2, false).status, 200)
	}
	assert.Equal(t, len(s.engines[from].received()), before)
}

// TestWithdrawnKey checks that withdrawing a key ends a running stream and
// refuses the next request on the same connection.
func TestWithdrawnKey(t *testing.T) {
	s := newTestSystem(t, 1)
	s.engines[0].tokenInterval = 10 * time.Millisecond
	resp, _ := s.openStream(1000)
	s.control.setKeys()
	_, end := readStream(t, resp)
	assert.Equal(t, end, "badKey")
	refused := s.chat(2, false).refusalBody(t)
	assert.Equal(t, refused.Kind, "badKey")
	assert.Equal(t, refused.Run, "notRun")
}

// TestCutOff checks that an entry partitioned from the holder refuses requests
// on keyed routes within the freshness lease, while open routes keep working.
func TestCutOff(t *testing.T) {
	s := newTestSystem(t, 1)
	s.control.change(func() { s.control.unreachable = true })
	start := time.Now()
	s.eventually("keyed requests are refused", func() bool { return s.chat(1, false).status == http.StatusServiceUnavailable })
	assert.Assert(t, time.Since(start) < 5*time.Second)
	refused := s.chat(1, false).refusalBody(t)
	assert.Equal(t, refused.Kind, "staleEntry")
	assert.Equal(t, refused.Run, "notRun")
	assert.Equal(t, refused.Elsewhere, "127.0.0.9:1")
	assert.Assert(t, refused.RetryAfterMillis > 0)
	assert.Equal(t, s.get(s.callers, openRoute).status, 201)
}

// TestStopGracefully checks that a planned stop finishes a running stream,
// refuses nothing while callers keep the address, and flushes the usage.
func TestStopGracefully(t *testing.T) {
	s := newTestSystemWithTTL(t, 1, 2*time.Second)
	s.engines[0].tokenInterval = 10 * time.Millisecond
	resp, _ := s.openStream(250)
	s.stop()
	s.eventually("the holder is told that the entry is leaving", func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		return s.control.lastWatch.GetLeaving()
	})
	assert.Equal(t, s.get(s.callers, openRoute).status, 201)
	text, end := readStream(t, resp)
	assert.Equal(t, text, expectedText(250))
	assert.Equal(t, end, "length")
	err := <-s.runErr
	s.runErr <- err
	assert.NilError(t, err)
	var output uint64
	for _, l := range s.control.state.Snapshot().GetOpenUsage() {
		output += l.GetOutputTokens()
	}
	assert.Equal(t, output, uint64(250))
}

// TestStopWithHolderUnreachable checks that a stopping entry accepts requests
// for longer than callers keep an address while the holder cannot be told:
// until then the list still names the entry.
func TestStopWithHolderUnreachable(t *testing.T) {
	s := newTestSystem(t, 1)
	s.control.change(func() { s.control.unreachable = true })
	s.stop()
	time.Sleep(10 * s.addressTTL)
	assert.Equal(t, s.get(s.callers, openRoute).status, 201)
	s.control.change(func() { s.control.unreachable = false })
	err := <-s.runErr
	s.runErr <- err
	assert.NilError(t, err)
}

// TestSplitPrefillAndDecode checks that a response is prefilled at one engine
// and continues at another one that imports the KV cache.
func TestSplitPrefillAndDecode(t *testing.T) {
	s := newTestSystem(t, 2)
	s.control.change(func() {
		s.control.fleetRevision++
		s.control.endpoints[0].Role = "prefill"
		s.control.endpoints[1].Role = "decode"
	})
	s.engines[0].faultFor = func(_ int, q fakeRequest) streamFault {
		if q.ResumePosition == nil {
			return streamFault{position: 0, kind: "prefilled"}
		}
		return streamFault{position: -1}
	}
	s.eventually("the roles are known", func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		return s.control.lastWatch.GetKnownFleetRevision() == s.control.fleetRevision
	})
	// The router splits prefill and decode only for long prompts.
	body := strings.Replace(chatJSON(20, true), "hello there", strings.Repeat("hello there ", 10000), 1)
	r := s.do(http.MethodPost, s.callers+pathChat, body, "Authorization", "Bearer "+teamKey)
	assert.Assert(t, strings.Contains(s.explain(r), "Goes on at engine1 with its KV cache"))
	text, end := parseStream(t, r)
	assert.Equal(t, text, expectedText(20))
	assert.Equal(t, end, "length")
	assert.Equal(t, len(s.engines[0].received()), 1)
	decode := s.engines[1].received()
	assert.Equal(t, len(decode), 1)
	assert.Equal(t, *decode[0].ResumePosition, 1)
	assert.DeepEqual(t, s.engines[1].imports(), []string{s.engines[0].address()})
}
