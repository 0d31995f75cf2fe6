package sqresponse_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// maxEndlessBytes is more than any reader keeps of a response, with what the kernel's buffers
// hold.
const maxEndlessBytes = 48 << 20

// TestEndlessResponseIsKept fails if a reader reads a response without end until its deadline,
// and so keeps as much of it as arrives.
func TestEndlessResponseIsKept(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\nCONTENT-TYPE\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ first, again string }{
		"line of a head":  {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"lines of a head": {"HTTP/1.1 200 OK\r\n", "X-Again: x\r\n"},
		"many names":      {"HTTP/1.1 200 OK\r\n", "X-A: x\r\nX-B: x\r\nX-C: x\r\nX-D: x\r\n"},
		"status line":     {"HTTP/1.1 200 ", "x"},
		"no response":     {"", "x"},
		"informational":   {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"body":            {head + "\r\n", "x"},
		"body of blanks":  {head + "\r\n", " "},
		"body of zeros":   {head + "\r\n", "\x00"},
		"body of events":  {head + "\r\n", "data: {\"position\":0}\n\n"},
		"long body":       {head + "Content-Length: 9000000000000000000\r\n\r\n", "\x00"},
		"chunks":          {head + chunked, "10\r\n                \r\n"},
		"one chunk":       {head + chunked + "fffffffffffffff\r\n", " "},
		"chunk extension": {head + chunked + "1;", "x"},
		"trailer":         {head + chunked + "0\r\n", "X-Again: x\r\n"},
		"body of error":   {"HTTP/1.1 500 X\r\nCONTENT-TYPE\r\n\r\n", " "},
	} {
		for readerName, r := range readers(t) {
			t.Run(name+", "+readerName, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				chunk := bytes.Repeat([]byte(c.again), 64<<10/len(c.again))
				address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request) {
					_, err := io.WriteString(conn, strings.ReplaceAll(c.first, "CONTENT-TYPE", "Content-Type: "+contentType(r)))
					for err == nil && sent.Load() <= 4*maxEndlessBytes {
						var n int
						n, err = conn.Write(chunk)
						sent.Add(int64(n))
					}
				})
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				err := r.call(ctx, address)
				assert.NilError(t, ctx.Err())
				assert.Check(t, err != nil || r.stopsReading, "taken for a success")
				assert.Check(t, sent.Load() <= maxEndlessBytes, "%d MB were read", sent.Load()>>20)
			})
		}
	}
}
