package sqgateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadThatBreaksOffLooksComplete fails if a caller gets a response whose head ended before
// its blank line, wherever the endpoint closed the connection.
func TestHeadThatBreaksOffLooksComplete(t *testing.T) {
	for name, head := range map[string]string{
		"length": rawHead + "Content-Length: 15\r\n\r\n",
		"chunks": rawHead + "Transfer-Encoding: chunked\r\n\r\n",
		"close":  rawHead + "X-Other: a\r\n\r\n",
		"LF":     strings.ReplaceAll(rawHead, "\r", "") + "X-Other: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cut := 0
			e := newRawEndpoint(t, func(c *net.TCPConn, r *http.Request) { rawResponse(head[:cut])(c, r) })
			s := newTestSystem(t, e.fleetEntry("i1", "ledger"), e.fleetEntry("i2", "engines"))
			for ; cut < len(head); cut++ {
				for _, path := range []string{"/book/x", "/quick/x"} {
					res, body, truncated := s.call(t, http.MethodPost, path, "place")
					assert.Assert(t, !truncated)
					assert.Equal(t, res.StatusCode, http.StatusBadGateway, "%s after %q", path, head[:cut])
					assert.Equal(t, body, "")
				}
			}
		})
	}
}
