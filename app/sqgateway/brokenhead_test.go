package sqgateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withAttempt replaces ATTEMPT by the ID of the request's attempt.
func withAttempt(bytes string, r *http.Request) string {
	return strings.ReplaceAll(bytes, "ATTEMPT", r.Header.Get("X-Attempt"))
}

// rawHead is the head of a sound response up to its last header.
const rawHead = "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\n"

// brokenStatuses are responses whose status line is none.
var brokenStatuses = map[string]string{
	"status 000":                       "HTTP/1.1 000 X\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nwrong",
	"status 000, body like a response": "HTTP/1.1 000 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: 99\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nwrong",
	"status 099":                       "HTTP/1.1 099 X\r\nX-Attempt: ATTEMPT\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nwrong",
	"status +20":                       "HTTP/1.1 +20 X\r\nX-Attempt: ATTEMPT\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nwrong",
	"status 101 unasked":               "HTTP/1.1 101 X\r\nX-Attempt: ATTEMPT\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nwrong",
	"status 600":                       "HTTP/1.1 600 X\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nwrong",
	"status 999":                       "HTTP/1.1 999 X\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nwrong",
	"version 2":                        "HTTP/2.0 200 OK\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nwrong",
}

// TestBrokenStatusReachesCaller fails if a caller gets a response whose status is none, or what
// follows it.
func TestBrokenStatusReachesCaller(t *testing.T) { expectNotPassedOn(t, brokenStatuses) }

// expectNotPassedOn expects that callers get 502 in place of each response.
func expectNotPassedOn(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, bytes := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newRawEndpoint(t, rawResponse(bytes))
			s := newTestSystem(t, e.fleetEntry("i1", "ledger"), e.fleetEntry("i2", "engines"))
			for _, path := range []string{"/book/x", "/read/x", "/quick/x", "/ask/x"} {
				res, body, truncated := s.call(t, http.MethodPost, path, "place")
				assert.Assert(t, !truncated, "%s", path)
				assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%s: %q", path, body)
				assert.Equal(t, body, "", "%s", path)
				assert.Equal(t, res.Header.Get("X-Signed")+res.Header.Get("X-Other"), "", "%s", path)
			}
		})
	}
}

// TestBrokenStatusHoldsCaller fails if a caller waits until its deadline for what follows a
// status that is none, while the endpoint keeps the connection open.
func TestBrokenStatusHoldsCaller(t *testing.T) {
	e := newRawEndpoint(t, func(c *net.TCPConn, r *http.Request) {
		rawResponse("HTTP/1.1 000 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: 0\r\n\r\n")(c, r)
		_, _ = c.Read(make([]byte, 1))
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger"))
	begin := time.Now()
	res, _, truncated := s.call(t, http.MethodPost, "/book/x", "place", "X-Wait", "3000")
	assert.Assert(t, !truncated)
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Assert(t, time.Since(begin) < 1500*time.Millisecond)
}

// TestBrokenStatusIsSentAgain checks that a request that may be repeated goes to another endpoint
// after a broken status, and one that may not goes nowhere else.
func TestBrokenStatusIsSentAgain(t *testing.T) { expectSentAgain(t, brokenStatuses) }

func expectSentAgain(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, bytes := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newRawEndpoint(t, rawResponse(bytes))
			good := newRawEndpoint(t, rawResponse(rawHead+"Connection: close\r\nContent-Length: 5\r\n\r\nright"))
			s := newTestSystem(t, bad.fleetEntry("i1", "ledger"), good.fleetEntry("i2", "ledger"))
			for n := 0; bad.received() == 0; n++ {
				assert.Assert(t, n < 200, "no request reached the broken endpoint")
				_, body, _ := s.call(t, http.MethodGet, "/read/x", "")
				assert.Equal(t, body, "right")
			}
			before := bad.received() + good.received()
			s.call(t, http.MethodPost, "/book/x", "place")
			assert.Equal(t, bad.received()+good.received(), before+1)
		})
	}
}

// soundHeads are the nearest sound responses.
var soundHeads = map[string]struct {
	bytes, header string
	status        int
}{
	"status 200":                {rawHead + "X-Other: a\r\nContent-Length: 5\r\n\r\nright", "a", 200},
	"status 299":                {"HTTP/1.1 299 X\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nright", "", 299},
	"status 499":                {"HTTP/1.1 499 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nright", "", 499},
	"status 599":                {"HTTP/1.1 599 X\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nright", "", 599},
	"no reason":                 {"HTTP/1.1 200 \r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nright", "", 200},
	"early hint":                {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nright", "", 200},
	"continue":                  {"HTTP/1.1 100 Continue\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nright", "", 200},
	"blanks around a value":     {rawHead + "X-Other: \t a \r\nContent-Length: 5\r\n\r\nright", "a", 200},
	"no blank before a value":   {rawHead + "X-Other:a\r\nContent-Length:5\r\n\r\nright", "a", 200},
	"empty value":               {rawHead + "X-Other:\r\nContent-Length: 5\r\n\r\nright", "", 200},
	"folded value":              {rawHead + "X-Other: a\r\n b\r\nContent-Length: 5\r\n\r\nright", "a b", 200},
	"value beyond ASCII":        {rawHead + "X-Other: \xe4\r\nContent-Length: 5\r\n\r\nright", "\xe4", 200},
	"all bytes of a name":       {rawHead + "!#$%&'*+-.^_`|~09azAZ: b\r\nX-Other: a\r\nContent-Length: 5\r\n\r\nright", "a", 200},
	"lines end with LF":         {strings.ReplaceAll(rawHead, "\r", "") + "X-Other: a\nContent-Length: 5\n\nright", "a", 200},
	"version 1.0":               {"HTTP/1.0 200 OK\r\nX-Signed: yes\r\nX-Attempt: ATTEMPT\r\nX-Other: a\r\n\r\nright", "a", 200},
	"no length":                 {rawHead + "X-Other: a\r\n\r\nright", "a", 200},
	"chunks, trailer":           {rawHead + "X-Other: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\nX-Sum: 1\r\n\r\n", "a", 200},
	"chunks, trailer has blank": {rawHead + "X-Other: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\nX Sum: 1\r\n\r\n", "a", 200},
}

// TestSoundHeadIsPassedOn fails if the guard against broken heads turns a sound response away.
func TestSoundHeadIsPassedOn(t *testing.T) {
	for name, c := range soundHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newRawEndpoint(t, rawResponse(c.bytes))
			s := newTestSystem(t, e.fleetEntry("i1", "ledger"))
			res, body, truncated := s.call(t, http.MethodPost, "/book/x", "place")
			assert.Assert(t, !truncated)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Equal(t, body, "right")
			assert.Equal(t, res.Header.Get("X-Other"), c.header)
			assert.Equal(t, res.Header.Get("X-Sum"), "")
		})
	}
}
