// Package sqhttp has what every process needs to serve and call over HTTP.
package sqhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"sequoiadock/core/sqerror"
)

// idleTimeout is how long a client keeps a connection that is not used.
const idleTimeout = time.Minute

// Listen opens an address to listen on. The error is of kind Unreachable.
func Listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "cannot listen on " + address, Cause: err})
	}
	return ln, nil
}

// NewClient returns a client whose calls take at most the time.
func NewClient(most time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: most}
	return &http.Client{Timeout: most, Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// Shutdown lets running calls end, for at most the time.
func Shutdown(srv *http.Server, most time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
