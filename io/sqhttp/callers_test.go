package sqhttp

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFramingsOfCallers fails if a legal request of an unusual caller is refused or cut, or if
// its bytes stay reserved: requests that are pipelined, of HTTP/1.0, with an expected
// 100-continue, and with trailers.
func TestFramingsOfCallers(t *testing.T) {
	g := newTestGuard(t, 32<<20, ServerConfig{})
	// A body of line ends must not be counted as headers.
	body := strings.Repeat("\n", 1<<20)
	post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	head := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16_000) + "\r\n\r\n"
	for name, text := range map[string]string{
		"pipelined": post + head + post + post + head,
		"HTTP/1.0":  strings.Replace(post, "1.1", "1.0", 1),
		"continue":  strings.Replace(post, "Host: h\r\n", "Host: h\r\nExpect: 100-continue\r\n", 1),
		"trailers":  "POST / HTTP/1.1\r\nHost: h\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: 1\r\n\r\n" + post,
	} {
		t.Run(name, func(t *testing.T) {
			nc := g.open(t, "")
			go func() { _, _ = io.WriteString(nc, text) }()
			_ = nc.SetReadDeadline(time.Now().Add(testTimeout))
			r := bufio.NewReader(nc)
			for left := strings.Count(text, " HTTP/1."); left > 0; {
				res, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				if res.StatusCode == http.StatusContinue {
					continue
				}
				assert.Equal(t, res.StatusCode, http.StatusOK)
				_, err = io.Copy(io.Discard, res.Body)
				assert.NilError(t, err)
				left--
			}
		})
	}
	g.usedBytesBecome(t, isZero)
}
