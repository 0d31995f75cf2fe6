package sqendpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

// TestEmptyBodies checks that requests without a body arrive without one and share
// one connection. The server then closes the connection on requests with an
// Idempotency-Key, which net/http must not resend.
func TestEmptyBodies(t *testing.T) {
	type seen struct {
		method, from string
		length       int64
		encodings    int
		body         string
	}
	var mu sync.Mutex
	var got []seen
	closeConnection := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		got = append(got, seen{r.Method, r.RemoteAddr, r.ContentLength, len(r.TransferEncoding), string(body)})
		if closeConnection {
			c, _, _ := w.(http.Hijacker).Hijack()
			c.Close()
		}
	}))
	t.Cleanup(server.Close)
	c := newTestClient(t)
	send := func(method string, closeAfter bool) error {
		mu.Lock()
		closeConnection = closeAfter
		mu.Unlock()
		_, err := c.SendPlain(t.Context(), PlainConfig{
			Address: server.Listener.Addr().String(), Method: method, Path: "/",
			Header: http.Header{"Idempotency-Key": {"1"}}, MaxResponseBytes: 1 << 10,
		})
		return err
	}
	requestAt := func(i int) seen {
		mu.Lock()
		defer mu.Unlock()
		return got[i]
	}
	methods := []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, http.MethodGet}
	for i, method := range methods {
		assert.NilError(t, send(method, false))
		assert.Equal(t, requestAt(i), seen{method: method, from: requestAt(0).from})
	}
	for _, method := range methods {
		assert.Equal(t, sqerror.KindOf(send(method, true)), sqerror.EndpointFailed)
		assert.NilError(t, send(method, false))
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(got), 3*len(methods))
}
