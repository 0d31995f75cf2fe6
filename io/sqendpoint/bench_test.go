package sqendpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkPlain sends sequential requests without a body, through the client and
// through net/http alone.
func BenchmarkPlain(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	c := New(Config{ConnectTimeout: time.Second, MaxConnections: 4})
	b.Run("client", func(b *testing.B) {
		for b.Loop() {
			_, err := c.SendPlain(b.Context(), PlainConfig{
				Address: address, Method: http.MethodGet, Path: "/", Header: http.Header{}, MaxResponseBytes: 1 << 10,
			})
			assert.NilError(b, err)
		}
	})
	b.Run("bare", func(b *testing.B) {
		transport := &http.Transport{}
		for b.Loop() {
			req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address, nil)
			assert.NilError(b, err)
			resp, err := transport.RoundTrip(req)
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}
