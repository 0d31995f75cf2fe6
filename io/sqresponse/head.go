// Package sqresponse has the rule by which all HTTP clients of the project tell a sound
// response from a broken one. net/http accepts more than HTTP/1.1 allows, so a client that
// reads responses through it checks them here too: Transport does it for a whole client,
// CheckHead for a response that was read otherwise. Both read from a Conn, which tells the end
// of a body from a connection that failed.
package sqresponse

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"sequoiadock/core/sqerror"
)

// minStatus and maxStatus are the status codes that HTTP defines (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// maxExcerptBytes is how much of a broken head an error message quotes.
const maxExcerptBytes = 40

// CheckHead returns an error unless the status line and the names of the headers are sound. The
// error is of kind BadResponse with execution MayHaveRun.
func CheckHead(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return badResponse("the version of the response is " + excerpt(res.Proto))
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		return badResponse("the status of the response is " + excerpt(res.Status))
	case res.StatusCode == http.StatusSwitchingProtocols:
		// No client of the project asks for another protocol.
		return badResponse("the response switches protocols")
	}
	for name := range res.Header {
		// net/http accepts names with blanks. Among them could be a length that was meant to
		// delimit the body.
		if !httpguts.ValidHeaderFieldName(name) {
			return badResponse("the response has a header with the name " + excerpt(name))
		}
	}
	return nil
}

// excerpt quotes the beginning of a text for an error message.
func excerpt(text string) string {
	return strconv.Quote(text[:min(len(text), maxExcerptBytes)])
}

func badResponse(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Execution: sqerror.MayHaveRun, Detail: detail})
}
