package sqgateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// closeFramedHandler returns a handler whose response has neither a length nor
// chunks, and ends with the connection.
func closeFramedHandler(body func(r *http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text := body(r)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Attempt: %s\r\n\r\n%s", r.Header.Get("X-Attempt"), text)
	}
}

// cutInsideEvent returns events 1 and 2 and the beginning of event 3.
func cutInsideEvent(*http.Request) string { return wantEvents(1, 2) + "id: 3\nda" }

// eventsAfter returns the events up to 6 after the one that the request names.
func eventsAfter(r *http.Request) string {
	after, err := strconv.Atoi(r.Header.Get("X-After"))
	if err != nil {
		after = 0
	}
	return wantEvents(after+1, 6)
}

func TestStreamWithoutLengthIsWhole(t *testing.T) {
	e := newFakeEndpoint(t, closeFramedHandler(eventsAfter))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	res, text, truncated := s.call(t, http.MethodPost, "/quick/x", "prompt")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, wantEvents(1, 6))
	assert.Assert(t, !truncated)
}

func TestStreamCutInsideEventEndsAsComplete(t *testing.T) {
	e := newFakeEndpoint(t, closeFramedHandler(cutInsideEvent))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	_, text, truncated := s.call(t, http.MethodPost, "/quick/x", "prompt")
	assert.Equal(t, text, wantEvents(1, 2))
	assert.Assert(t, truncated)
}

func TestStreamCutInsideEventIsNotResumed(t *testing.T) {
	bad := newFakeEndpoint(t, closeFramedHandler(cutInsideEvent))
	good := newFakeEndpoint(t, closeFramedHandler(eventsAfter))
	s := newTestSystem(t, bad.fleetEntry("i1", "engines", sqplace.Decode), good.fleetEntry("i2", "engines", sqplace.Decode))
	repeatUntilReached(t, bad, func() {
		_, text, truncated := s.call(t, http.MethodPost, "/ask/x", "prompt")
		assert.Equal(t, text, wantEvents(1, 6))
		assert.Assert(t, !truncated)
	})
}

func TestChunkedStreamCutInsideEventEndsAsComplete(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		_, _ = io.WriteString(w, "id: 3\nda")
	})
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	_, text, truncated := s.call(t, http.MethodPost, "/quick/x", "prompt")
	assert.Equal(t, text, wantEvents(1, 2))
	assert.Assert(t, truncated)
}

func TestStreamCutBeforeFirstEventEndsAsComplete(t *testing.T) {
	e := newFakeEndpoint(t, closeFramedHandler(func(*http.Request) string { return "" }))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	res, _, _ := s.call(t, http.MethodPost, "/quick/x", "prompt")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
}

func TestAbortedStreamEndsAsCompleteForHTTP10(t *testing.T) {
	e := newFakeEndpoint(t, closeFramedHandler(cutInsideEvent))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	c, err := net.Dial("tcp", s.callerServer.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /quick/x HTTP/1.0\r\nHost: h.example\r\nX-Key: key\r\nX-Attempt: a1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// TestBrokenStreamIsLogged checks that the log tells how a stream's end was marked.
func TestBrokenStreamIsLogged(t *testing.T) {
	e := newFakeEndpoint(t, closeFramedHandler(eventsAfter))
	s := newTestSystem(t, e.fleetEntry("i1", "engines", sqplace.Decode))
	s.call(t, http.MethodPost, "/quick/x", "prompt")
	waitFor(t, func() bool {
		return strings.Contains(string(s.logs.bytes()), `"event":6006`)
	})
	assert.Assert(t, strings.Contains(string(s.logs.bytes()), `"framing":"close"`))
}
