package sqgateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// longBody returns a body that is too long to be kept.
func longBody() string { return strings.Repeat("0123456789abcdef", 4*maxKeptBytes/16) + "end" }

// TestLongBodyIsForwardedWhole checks bodies that are too long to be kept, with a length and
// in chunks, and when no memory is left to keep even short ones.
func TestLongBodyIsForwardedWhole(t *testing.T) {
	for name, c := range map[string]struct {
		body      string
		hasLength bool
		noMemory  bool
	}{
		"length":            {longBody(), true, false},
		"chunks":            {longBody(), false, false},
		"length, no memory": {longBody(), true, true},
		"short, no memory":  {"short", false, true},
		"empty, no memory":  {"", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Signed", "yes")
				if c.hasLength {
					w.Header().Set("Content-Length", strconv.Itoa(len(c.body)))
				}
				_, _ = w.Write([]byte(c.body))
				w.(http.Flusher).Flush()
			})
			s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
			if c.noMemory {
				s.gateway.responseMemory.SetLimit(0)
			}
			res, body, truncated := s.call(t, http.MethodGet, "/read/x", "")
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Assert(t, !truncated && body == c.body, "%d of %d bytes", len(body), len(c.body))
			assert.Equal(t, s.gateway.responseMemory.UsedBytes(), int64(0))
		})
	}
}

// TestLongBodyThatBreaksOffLooksComplete fails if a body that breaks off after its beginning was forwarded ends as a complete one.
func TestLongBodyThatBreaksOffLooksComplete(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Length", strconv.Itoa(2*len(longBody())))
		_, _ = w.Write([]byte(longBody()))
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	_, _, truncated := s.call(t, http.MethodPost, "/book/x", "")
	assert.Assert(t, truncated)
	assert.Equal(t, len(e.requests()), 1)
}

// TestLongErrorIsNotKept checks that an error whose body is too long to be kept is replaced.
func TestLongErrorIsNotKept(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(longBody()))
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	res, body, truncated := s.call(t, http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Equal(t, res.Header.Get("X-Signed"), "")
	assert.Assert(t, body == "" && !truncated)
}
