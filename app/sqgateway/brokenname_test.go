package sqgateway

import "testing"

// brokenNames are responses in whose head a name is none.
var brokenNames = map[string]string{
	"blank after a name":                 rawHead + "X-Other : a\r\nContent-Length: 5\r\n\r\nwrong",
	"blank in a name":                    rawHead + "X Other: a\r\nContent-Length: 5\r\n\r\nwrong",
	"blank after Content-Length":         rawHead + "Content-Length : 500\r\n\r\nwrong",
	"blank after Transfer-Encoding":      rawHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
	"blank in the head of an early hint": "HTTP/1.1 103 X\r\nX Other: a\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nwrong",
	"tab after a name":                   rawHead + "X-Other\t: a\r\nContent-Length: 5\r\n\r\nwrong",
	"control byte in a name":             rawHead + "X-O\x01ther: a\r\nContent-Length: 5\r\n\r\nwrong",
	"NUL in a name":                      rawHead + "X-O\x00ther: a\r\nContent-Length: 5\r\n\r\nwrong",
	"CR in a name":                       rawHead + "X-\rOther: a\r\nContent-Length: 5\r\n\r\nwrong",
	"DEL in a name":                      rawHead + "X-O\x7fther: a\r\nContent-Length: 5\r\n\r\nwrong",
	"no name":                            rawHead + ": a\r\nContent-Length: 5\r\n\r\nwrong",
}

// TestBrokenNameReachesCaller fails if a caller gets a response with a name that is none, or a
// body that is not the endpoint's since that name was not understood.
func TestBrokenNameReachesCaller(t *testing.T) { expectNotPassedOn(t, brokenNames) }

// TestBrokenNameIsSentAgain checks that a request that may be repeated goes to another endpoint
// after a broken name, and one that may not goes nowhere else.
func TestBrokenNameIsSentAgain(t *testing.T) { expectSentAgain(t, brokenNames) }
