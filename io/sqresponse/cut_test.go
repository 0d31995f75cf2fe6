package sqresponse_test

import "testing"

// TestHeadThatBreaksOffIsTakenForSuccess fails if a reader accepts a response whose head ended
// before its blank line, wherever that is.
func TestHeadThatBreaksOffIsTakenForSuccess(t *testing.T) {
	heads := map[string]string{}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Type: application/protobuf\n\n",
	} {
		for cut := range len(head) {
			heads[head[:cut]] = head[:cut]
		}
	}
	expectError(t, heads)
}
