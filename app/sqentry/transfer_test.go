package sqentry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// kvFaults are failures of a KV cache transfer, at the engine that exports the
// cache or at the one that imports it.
var kvFaults = []struct {
	name   string
	taker  bool
	handle func(w http.ResponseWriter)
}{
	{"exportRefused", false, func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }},
	{"exportCut", false, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }},
	{"exportGarbled", false, func(w http.ResponseWriter) { fmt.Fprint(w, `{"handle":`) }},
	{"exportHangs", false, func(http.ResponseWriter) { time.Sleep(transferTimeout + time.Second) }},
	{"importRefused", true, func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }},
	{"importCut", true, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }},
	// The import reports success, but the engine doesn't know the request.
	{"importLost", true, func(w http.ResponseWriter) { fmt.Fprint(w, `{}`) }},
}

// TestMoveFails makes an engine leave mid-stream and the KV cache transfer
// fail: the response continues after a new prefill and is complete.
func TestMoveFails(t *testing.T) {
	for _, fault := range kvFaults {
		t.Run(fault.name, func(t *testing.T) {
			s := newTestSystem(t, 2)
			for _, e := range s.engines {
				e.tokenInterval = 10 * time.Millisecond
			}
			resp, _ := s.openStream(100)
			from := 0
			if len(s.engines[0].received()) == 0 {
				from = 1
			}
			at := from
			if fault.taker {
				at = 1 - from
			}
			s.engines[at].failKV(fault.handle)
			s.control.setState("engine"+string(rune('0'+from)), stateLeaving)
			text, end := readStream(t, resp)
			assert.Equal(t, text, expectedText(100))
			assert.Equal(t, end, "length")
			assert.Assert(t, len(s.engines[1-from].received()) > 0)
		})
	}
}

// failKV makes the engine handle all export and import requests with handle.
func (e *fakeEngine) failKV(handle func(http.ResponseWriter)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kvFault = func(w http.ResponseWriter, _ string) bool {
		handle(w)
		return true
	}
}

// TestSourceDiesWhileExporting kills the prefill engine for good during its
// export: another engine computes the response from the prompt.
func TestSourceDiesWhileExporting(t *testing.T) {
	s := newTestSystem(t, 3)
	s.control.change(func() {
		s.control.fleetRevision++
		s.control.endpoints[0].Role = "prefill"
		s.control.endpoints[1].Role = "decode"
	})
	s.engines[0].faultFor = func(int, fakeRequest) streamFault { return streamFault{position: 0, kind: "prefilled"} }
	s.engines[0].failKV(func(http.ResponseWriter) {
		s.engines[0].server.Listener.Close()
		go s.engines[0].server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	})
	s.eventually("the roles are known", func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		return s.control.lastWatch.GetKnownFleetRevision() == s.control.fleetRevision
	})
	body := strings.Replace(chatJSON(20, true), "hello there", strings.Repeat("hello there ", 10000), 1)
	r := s.do(http.MethodPost, s.callers+pathChat, body, "Authorization", "Bearer "+teamKey)
	text, end := parseStream(t, r)
	assert.Equal(t, text, expectedText(20))
	assert.Equal(t, end, "length")
	assert.Equal(t, len(s.engines[0].exports()), 1)
}
