// Package sqhttp has the HTTP listener, client and shutdown helpers that all
// processes share.
//
// A Guard owns the servers of a process that callers could exhaust. It limits the open
// connections of each listener, and gives each connection an account in the memory budget of
// the process: headers are reserved by conn as they are read, the request by guardedHandler,
// and its body by ReadBody or, for handlers that read it themselves, by countedBody.
package sqhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"sequoiadock/core/sqerror"
)

// Listen listens on a TCP address. Its errors are of kind Unreachable.
func Listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "cannot listen on " + address, Cause: err})
	}
	return ln, nil
}

// Shutdown stops srv and waits up to timeout for running requests to finish. It
// then closes the remaining connections.
func Shutdown(srv *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}

// LimitBody returns a reader of a request's body that fails with *http.MaxBytesError
// after limit bytes. The server of w then lets the caller read the response before it
// closes the connection, also if w wraps the server's own writer: http.MaxBytesReader
// does not unwrap it, and the connection would be reset with bytes of the body unread.
func LimitBody(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, body, limit)
		}
		w = wrapper.Unwrap()
	}
}
