package sqresponse

import (
	"io"
	"net/http"

	"sequoiadock/core/sqerror"
)

// Transport is an http.RoundTripper that fails for broken responses.
type Transport struct {
	next         *http.Transport
	maxBodyBytes int64
}

// NewTransport returns a transport whose responses are read by next and then checked. Reading
// more than maxBodyBytes of a body fails; 0 means that the callers bound what they read.
func NewTransport(next *http.Transport, maxBodyBytes int64) *Transport {
	return &Transport{next: next, maxBodyBytes: maxBodyBytes}
}

// RoundTrip implements http.RoundTripper. The error of a broken response is that of CheckHead.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	if t.maxBodyBytes > 0 {
		res.Body = &boundedBody{ReadCloser: res.Body, remaining: t.maxBodyBytes}
	}
	return res, nil
}

// CloseIdleConnections closes the connections that carry no request, as http.Client expects of
// a transport.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// boundedBody is a body that fails once it is too long. Closing it then closes the connection,
// since the body has not ended.
type boundedBody struct {
	io.ReadCloser
	// remaining is how many bytes may still come.
	remaining int64
}

// Read implements io.Reader. Its error is of kind BadResponse if the body is too long.
func (b *boundedBody) Read(p []byte) (int, error) {
	// One byte more shows whether the body ends here.
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.remaining {
		n, b.remaining = int(b.remaining), 0
		return n, sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Execution: sqerror.MayHaveRun, Detail: "the body of the response is too long"})
	}
	b.remaining -= int64(n)
	return n, err
}
