// Package sqendpoint is the HTTP client by which an entry sends requests to
// engines and plain services. A request can carry a WriteCheck that runs before
// each of its writes.
package sqendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqresponse"
)

// Config configures a Client.
type Config struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// MaxConnections bounds the number of connections to one endpoint.
	MaxConnections int
	// MaxEventBytes bounds one event of a stream in bytes.
	MaxEventBytes int
	// MaxResponseBytes bounds a whole streamed response in bytes.
	MaxResponseBytes int64
}

// Limits that are not set by Config.
const (
	defaultMaxEventBytes = 64 << 10
	// idleConnTimeout is shorter than the idle timeout of most servers: a request
	// sent on a connection that the server is closing has an unknown outcome.
	idleConnTimeout = 4 * time.Second
	// maxControlBytes bounds the response to a poll, cancel or KV order.
	maxControlBytes = 1 << 20
	// maxCacheEventsBytes bounds a response with cache events.
	maxCacheEventsBytes = 8 << 20
	// writeBufferBytes is large enough to send most requests in one write.
	writeBufferBytes = 64 << 10
	readBufferBytes  = 16 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	cfg              Config
	transport        *sqresponse.Transport
	controlTransport *sqresponse.Transport
	// controlBytes counts the bytes sent and received by controlTransport.
	controlBytes atomic.Int64
}

// New returns a client configured by cfg.
func New(cfg Config) *Client {
	if cfg.MaxEventBytes == 0 {
		cfg.MaxEventBytes = defaultMaxEventBytes
	}
	c := &Client{cfg: cfg}
	c.transport = newTransport(cfg, cfg.MaxConnections, nil)
	c.controlTransport = newTransport(cfg, maxControlConnections, &c.controlBytes)
	return c
}

// ControlBytes returns the bytes that polls, cancels and KV orders have sent and
// received so far, without packet headers.
func (c *Client) ControlBytes() int64 { return c.controlBytes.Load() }

// maxControlConnections bounds the connections to one endpoint for polls, cancels
// and KV orders. These connections are separate, so that such calls get through
// while requests use all of theirs.
const maxControlConnections = 8

// newTransport returns a transport that adds the bytes that it sends and receives
// to byteCount, unless byteCount is nil.
func newTransport(cfg Config, maxConnections int, byteCount *atomic.Int64) *sqresponse.Transport {
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	return sqresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			socket := sqresponse.NewConn(c)
			if byteCount == nil {
				return &conn{Conn: socket, socket: socket}, nil
			}
			return &conn{Conn: CountBytes(socket, byteCount), socket: socket}, nil
		},
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		WriteBufferSize:        writeBufferBytes,
		ReadBufferSize:         readBufferBytes,
		DisableCompression:     true,
	}, 0)
}

// CountBytes returns a connection that adds the bytes sent and received over c to
// byteCount, without packet headers.
func CountBytes(c net.Conn, byteCount *atomic.Int64) net.Conn {
	return &countingConn{Conn: c, byteCount: byteCount}
}

// countingConn counts the bytes sent and received over a connection.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
}

// newRequest returns a request that net/http cannot rewind or resend on its own.
// net/http resends any request that has a rewindable body and an Idempotency-Key
// header, but here that header marks requests that must not be repeated. The type
// of the body tells net/http that it is in memory, so that headers and body are
// sent in one write.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "the path cannot be sent", Execution: sqerror.NotRun, Cause: err})
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		// Without a body, net/http could resend the request. A body of unknown length
		// is sent chunked.
		req.ContentLength = -1
	}
	if len(body) == 0 && usuallyHasNoBody(method) {
		// For these methods net/http would probe the body for a first byte in a
		// separate goroutine. With this encoding the empty body is sent as it is,
		// without a probe.
		req.TransferEncoding = []string{"identity"}
	}
	return req, nil
}

// usuallyHasNoBody reports whether net/http assumes that requests with this method
// usually have no body.
func usuallyHasNoBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// doJSON sends in as JSON over controlTransport and decodes a JSON response of at
// most limit bytes into out. A nil in sends no body; a nil out ignores the
// response.
func (c *Client) doJSON(ctx context.Context, check WriteCheck, method, url string, in, out any, limit int64) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	s := &writeTracker{writeCheck: check}
	req, err := newRequest(s.withTrace(ctx), method, url, body)
	if err != nil {
		return err
	}
	if in == nil {
		// Polls may be resent by net/http and need no probe for a body.
		req.Body = http.NoBody
		req.ContentLength = 0
	} else {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.controlTransport.RoundTrip(req)
	if err != nil {
		return roundTripError(ctx, s, err)
	}
	defer resp.Body.Close()
	if err := s.errAfterWrite(sqclock.Now()); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return decode(resp.Body, out, limit)
}

func encode(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "the request cannot be encoded", Execution: sqerror.NotRun, Cause: err})
	}
	return body, nil
}

func decode(r io.Reader, out any, limit int64) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return truncatedError(err)
	}
	if int64(len(body)) > limit {
		return badResponse("the answer is too large", nil)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return badResponse("the answer is not the JSON that was expected", err)
	}
	return nil
}
