package sqresponse

import (
	"net/http"
)

// Transport is an http.RoundTripper that fails for broken responses.
type Transport struct {
	next *http.Transport
}

// NewTransport returns a transport whose responses are read by next and then checked.
func NewTransport(next *http.Transport) *Transport {
	return &Transport{next: next}
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
	return res, nil
}

// CloseIdleConnections closes the connections that carry no request, as http.Client expects of
// a transport.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }
