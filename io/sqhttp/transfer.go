package sqhttp

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqresponse"
)

// Transfer measures how the response of one request arrives. It is safe for concurrent
// use.
type Transfer struct {
	mu          sync.Mutex
	startedAt   time.Time
	firstByteAt time.Time
	bytes       int64
}

type transferKey struct{}

// WithTransfer returns a context whose requests, if a client of NewClient sends them,
// are measured by the returned Transfer. It is meant for one request.
func WithTransfer(ctx context.Context) (context.Context, *Transfer) {
	t := &Transfer{startedAt: sqclock.Now()}
	return context.WithValue(ctx, transferKey{}, t), t
}

// FirstByte returns the time from the start to the headers of the response, or a
// negative duration if none have arrived.
func (t *Transfer) FirstByte() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByteAt.IsZero() {
		return -time.Millisecond
	}
	return t.firstByteAt.Sub(t.startedAt)
}

// Elapsed returns the time from the start to now.
func (t *Transfer) Elapsed(now time.Time) time.Duration { return now.Sub(t.startedAt) }

// Bytes returns how many bytes of the body have arrived.
func (t *Transfer) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

func (t *Transfer) recordHeaders(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstByteAt = now
}

func (t *Transfer) recordBytes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes += int64(n)
}

// meteredTransport measures the responses to requests whose context has a Transfer.
type meteredTransport struct {
	*sqresponse.Transport
}

// RoundTrip implements http.RoundTripper.
func (m meteredTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := m.Transport.RoundTrip(req)
	t, ok := req.Context().Value(transferKey{}).(*Transfer)
	if err != nil || !ok {
		return res, err
	}
	t.recordHeaders(sqclock.Now())
	res.Body = &meteredBody{ReadCloser: res.Body, transfer: t}
	return res, nil
}

type meteredBody struct {
	io.ReadCloser
	transfer *Transfer
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transfer.recordBytes(n)
	return n, err
}
