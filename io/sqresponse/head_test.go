package sqresponse_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

// TestBrokenStatusIsTakenForSuccess fails if a reader accepts a response whose status line is
// none, or takes it for an informational response.
func TestBrokenStatusIsTakenForSuccess(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nCONTENT-TYPE\r\nConnection: close\r\n\r\nBODY"
	expectError(t, map[string]string{
		"000":                   "HTTP/1.1 000 X\r\nCONTENT-TYPE\r\n\r\nBODY",
		"000 before a response": "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + whole,
		"099 before a response": "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n" + whole,
		"+20 before a response": "HTTP/1.1 +20 X\r\nContent-Length: 0\r\n\r\n" + whole,
		"101 before a response": "HTTP/1.1 101 X\r\n\r\n" + whole,
		"101, upgrade":          "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nBODY",
		"-00 before a response": "HTTP/1.1 -00 X\r\nContent-Length: 0\r\n\r\n" + whole,
		"two digits":            "HTTP/1.1 20 OK\r\nCONTENT-TYPE\r\n\r\nBODY",
		"four digits":           "HTTP/1.1 2000 OK\r\nCONTENT-TYPE\r\n\r\nBODY",
		"no digits":             "HTTP/1.1 OK\r\nCONTENT-TYPE\r\n\r\nBODY",
		"600":                   "HTTP/1.1 600 X\r\nCONTENT-TYPE\r\n\r\nBODY",
		"999":                   "HTTP/1.1 999 X\r\nCONTENT-TYPE\r\n\r\nBODY",
		"version 2":             "HTTP/2.0 200 OK\r\nCONTENT-TYPE\r\n\r\nBODY",
		"version 0":             "HTTP/0.9 200 OK\r\nCONTENT-TYPE\r\n\r\nBODY",
	})
	expectSuccess(t, map[string]string{
		"200":                   whole,
		"103 before a response": "HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + whole,
		"version 1.0":           "HTTP/1.0 200 OK\r\nCONTENT-TYPE\r\n\r\nBODY",
	})
}

// TestBrokenNameIsTakenForSuccess fails if a reader accepts a response in whose head a name is
// none: a length with such a name does not count, so that a body that broke off looks complete.
func TestBrokenNameIsTakenForSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCONTENT-TYPE\r\n"
	expectError(t, map[string]string{
		"blank after a name":            head + "X-Other : a\r\n\r\nBODY",
		"blank in a name":               head + "X Other: a\r\n\r\nBODY",
		"blank after Content-Length":    head + "Content-Length : 500\r\n\r\nBODY",
		"blank after Transfer-Encoding": head + "Transfer-Encoding : chunked\r\n\r\nBODY",
		"tab after a name":              head + "X-Other\t: a\r\n\r\nBODY",
		"NUL in a name":                 head + "X-O\x00ther: a\r\n\r\nBODY",
		"control byte in a name":        head + "X-O\x1fther: a\r\n\r\nBODY",
		"CR in a name":                  head + "X-\rOther: a\r\n\r\nBODY",
		"DEL in a name":                 head + "X-O\x7fther: a\r\n\r\nBODY",
		"no name":                       head + ": a\r\n\r\nBODY",
	})
	expectSuccess(t, map[string]string{
		"all bytes of a name":   head + "!#$%&'*+-.^_`|~09azAZ: b\r\n\r\nBODY",
		"blanks around a value": head + "X-Other: \t a \r\n\r\nBODY",
		"folded value":          head + "X-Other: a\r\n b : c\r\n\r\nBODY",
		"empty value":           head + "X-Other:\r\n\r\nBODY",
	})
}

// TestErrorQuotesWholeHead fails if the error for a broken head repeats all that an endpoint sent,
// so that it fills the logs.
func TestErrorQuotesWholeHead(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	for name, bytes := range map[string]string{
		"status": "HTTP/1.1 000 " + long + "\r\n\r\n",
		"name":   "HTTP/1.1 200 OK\r\nX " + long + ": a\r\n\r\n",
	} {
		address := serveRaw(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, bytes) })
		err := readLink(t.Context(), address, nil)
		assert.Equal(t, sqerror.KindOf(err), sqerror.BadResponse, name)
		assert.Assert(t, len(err.Error()) < 200, "%s: %d bytes", name, len(err.Error()))
	}
}
