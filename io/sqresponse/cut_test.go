package sqresponse_test

import (
	"strings"
	"testing"
)

// TestHeadThatBreaksOffIsTakenForSuccess fails if a reader accepts a response whose head ended
// before its blank line, wherever that is.
func TestHeadThatBreaksOffIsTakenForSuccess(t *testing.T) {
	heads := map[string]string{}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n"
	for cut := range len(head) {
		heads[head[:cut]] = head[:cut]
	}
	expectError(t, heads)
}

// TestBodyThatBreaksOffIsTakenForSuccess fails if a reader accepts a body that ended before its
// length or its last chunk.
func TestBodyThatBreaksOffIsTakenForSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCONTENT-TYPE\r\n"
	long := strings.Repeat(" ", 500)
	expectError(t, map[string]string{
		"length, nothing":   head + "Content-Length: 500\r\n\r\n",
		"length":            head + "Content-Length: 500\r\n\r\n  ",
		"length, long":      head + "Content-Length: 5000\r\n\r\n" + long,
		"chunks, nothing":   head + "Transfer-Encoding: chunked\r\n\r\n",
		"inside a chunk":    head + "Transfer-Encoding: chunked\r\n\r\n1f4\r\n  ",
		"after a chunk":     head + "Transfer-Encoding: chunked\r\n\r\n1f4\r\n" + long + "\r\n",
		"inside the length": head + "Transfer-Encoding: chunked\r\n\r\n1f4\r\n" + long + "\r\n1f",
	})
	expectSuccess(t, map[string]string{
		"no length": head + "\r\nBODY",
	})
}
