package sqentry

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// rawHandler returns a handler that writes bytes in place of a response and closes the
// connection.
func rawHandler(bytes string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, bytes)
	}
}

// expectBrokenOutcome expects that a call that must not be repeated has an unknown outcome after
// the response, that no resend runs it again, and that another request fails as one whose
// service gave a bad answer.
func expectBrokenOutcome(t *testing.T, response string) {
	t.Helper()
	s := newTestSystem(t, 0)
	s.plain.setHandler(rawHandler(response))
	for range 2 {
		r := s.bookPlace("broken", `{}`).refusalBody(t)
		assert.Equal(t, r.Kind, "callUnknown")
		assert.Equal(t, r.Run, "mayHaveRun")
	}
	assert.Equal(t, s.plain.runCount("broken"), 1)
	other := s.do(http.MethodPost, s.callers+"/booking/search", `{}`, "Authorization", "Bearer "+teamKey)
	assert.Equal(t, other.status, http.StatusBadGateway, other.body)
	assert.Equal(t, other.refusalBody(t).Run, "mayHaveRun")
}

// TestBrokenStatusIsRecorded fails if a response whose status is none is recorded as the
// outcome of a call, or reaches a caller.
func TestBrokenStatusIsRecorded(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			expectBrokenOutcome(t, "HTTP/1.1 "+status+" X\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwrong")
		})
	}
}

// TestBrokenNameIsRecorded fails if a response in whose head a name is none is recorded as the
// outcome of a call, or reaches a caller.
func TestBrokenNameIsRecorded(t *testing.T) {
	for _, line := range []string{"X Other: a", "X-Other : a", "Content-Length : 50", "Transfer-Encoding : chunked", "X-O\x01ther: a"} {
		t.Run(line, func(t *testing.T) {
			expectBrokenOutcome(t, "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n"+line+"\r\n\r\nwrong")
		})
	}
}
