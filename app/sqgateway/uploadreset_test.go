package sqgateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// longUploadBytes is more than the kernel's buffers of a connection take.
	longUploadBytes = 512 << 10
	// resetTries is how often each kind of request gets a response that breaks off.
	resetTries = 6
)

// answerEarly returns a handler of a rawEndpoint that reads the beginning of the request, writes
// bytes and calls finish. The connection is closed when that returns.
func answerEarly(bytes func(r *http.Request) string, finish func(c *net.TCPConn, r *http.Request)) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 1<<16)
		_, _ = io.WriteString(c, withAttempt(bytes(r), r))
		finish(c, r)
	}
}

func resetSoon(c *net.TCPConn, _ *http.Request) {
	time.Sleep(5 * time.Millisecond)
	_ = c.SetLinger(0)
}

// endThenReadOn ends the endpoint's bytes and reads the rest of the request.
func endThenReadOn(c *net.TCPConn, r *http.Request) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, r.Body)
}

// TestResetDuringUploadLooksComplete fails if a caller gets the part of a response that came
// before a reset of the connection, without a length, as a complete one.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	part := answerEarly(func(*http.Request) string { return rawHead + "\r\nthe first part" }, resetSoon)
	events := answerEarly(func(*http.Request) string { return rawHead + "\r\n" + wantEvents(1, 2) }, resetSoon)
	plain, engine := newRawEndpoint(t, part), newRawEndpoint(t, events)
	s := newTestSystem(t, plain.fleetEntry("i1", "ledger"), engine.fleetEntry("i2", "engines"))
	upload := strings.Repeat("x", longUploadBytes)
	for range resetTries {
		for _, path := range []string{"/book/x", "/read/x"} {
			res, body, truncated := s.call(t, http.MethodPost, path, upload)
			assert.Assert(t, !truncated)
			assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%s: %q", path, body)
		}
		for _, path := range []string{"/quick/x", "/ask/x"} {
			_, body, truncated := s.call(t, http.MethodPost, path, upload)
			assert.Assert(t, truncated, "%s: %q ends as if it were complete", path, body)
		}
	}
}

// TestResetDuringUploadIsSentAgain checks that a request that may be repeated goes to another
// endpoint after such a reset, and that a stream goes on there.
func TestResetDuringUploadIsSentAgain(t *testing.T) {
	upload := strings.Repeat("x", longUploadBytes)
	for path, c := range map[string]struct{ part, rest, want string }{
		"/read/x": {"the first part", "the whole", "the whole"},
		"/ask/x":  {wantEvents(1, 2), wantEvents(3, 6), wantEvents(1, 6)},
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			bad := newRawEndpoint(t, answerEarly(func(*http.Request) string { return rawHead + "\r\n" + c.part }, resetSoon))
			good := newRawEndpoint(t, answerEarly(func(r *http.Request) string {
				if r.Header.Get("X-After") == "" {
					return rawHead + "\r\n" + c.want
				}
				return rawHead + "\r\n" + c.rest
			}, endThenReadOn))
			s := newTestSystem(t, bad.fleetEntry("i1", "ledger"), good.fleetEntry("i2", "ledger"),
				bad.fleetEntry("i3", "engines"), good.fleetEntry("i4", "engines"))
			for n := 0; n < resetTries || bad.received() == 0; n++ {
				assert.Assert(t, n < 200, "no request reached the endpoint that resets")
				_, body, truncated := s.call(t, http.MethodPost, path, upload)
				assert.Assert(t, !truncated)
				assert.Equal(t, body, c.want)
			}
		})
	}
}

// TestEarlyResponseWithoutLength fails if a whole response without a length is turned away since
// it came while the request was still being written.
func TestEarlyResponseWithoutLength(t *testing.T) {
	whole := answerEarly(func(*http.Request) string { return rawHead + "\r\nthe whole" }, endThenReadOn)
	events := answerEarly(func(*http.Request) string { return rawHead + "\r\n" + wantEvents(1, 6) }, endThenReadOn)
	plain, engine := newRawEndpoint(t, whole), newRawEndpoint(t, events)
	s := newTestSystem(t, plain.fleetEntry("i1", "ledger"), engine.fleetEntry("i2", "engines"))
	upload := strings.Repeat("x", longUploadBytes)
	for range resetTries {
		for path, want := range map[string]string{"/book/x": "the whole", "/quick/x": wantEvents(1, 6)} {
			res, body, truncated := s.call(t, http.MethodPost, path, upload)
			assert.Assert(t, !truncated)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Equal(t, body, want)
		}
	}
}
