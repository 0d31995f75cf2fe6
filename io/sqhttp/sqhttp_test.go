package sqhttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessHeadersHoldCall fails if response headers without end hold a call until its timeout.
func TestEndlessHeadersHoldCall(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-Again: x\r\n", maxResponseHeaderBytes/6))
		<-t.Context().Done()
	}))
	// The handler ends with the test's context, before the server is closed.
	t.Cleanup(srv.CloseClientConnections)
	const timeout = 10 * time.Second
	start := time.Now()
	res, err := NewClient(ClientConfig{Timeout: timeout}).Get(srv.URL)
	if err == nil {
		_ = res.Body.Close()
	}
	assert.ErrorContains(t, err, "headers exceeded")
	assert.Assert(t, time.Since(start) < timeout/2, "%s", time.Since(start))
}

// TestTransferIsMeasured checks the times and the size of a response, and of one that never
// comes.
func TestTransferIsMeasured(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "12345") }))
	t.Cleanup(srv.Close)
	ctx, transfer := WithTransfer(t.Context())
	assert.Assert(t, transfer.FirstByte() < 0)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, http.NoBody)
	assert.NilError(t, err)
	res, err := NewClient(ClientConfig{Timeout: time.Second}).Do(req)
	assert.NilError(t, err)
	_, err = io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, transfer.Bytes(), int64(5))
	assert.Assert(t, transfer.FirstByte() >= 0 && transfer.Elapsed(transfer.startedAt.Add(time.Second)) == time.Second)
}

// wrappedWriter wraps a response writer as a router does.
type wrappedWriter struct{ http.ResponseWriter }

func (w wrappedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestCallerReadsStatusOfTooLongBody fails if a caller that sends a body of more than the
// limit has its connection reset before it has read the status.
func TestCallerReadsStatusOfTooLongBody(t *testing.T) {
	const limit, calls = 1 << 10, 200
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(LimitBody(wrappedWriter{w}, r.Body, limit))
		assert.Check(t, err != nil)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	t.Cleanup(srv.Close)
	for range calls {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("x", 2<<20)))
		assert.NilError(t, err)
		req.Close = true
		res, err := NewClient(ClientConfig{Timeout: 10 * time.Second}).Do(req)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
	}
}
