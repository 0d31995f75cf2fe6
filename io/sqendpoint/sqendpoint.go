// Package sqendpoint is the entry's client of engines and plain services. Every
// request that it writes passes a guard first.
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
)

// Config configures a Client.
type Config struct {
	// ConnectTimeout bounds the set-up of a connection.
	ConnectTimeout time.Duration
	// MaxConnections bounds the connections to one endpoint.
	MaxConnections int
	// MaxEventBytes bounds one event of a stream in bytes.
	MaxEventBytes int
	// MaxResponseBytes bounds a whole answer in bytes.
	MaxResponseBytes int64
}

// Bounds that callers of the package do not choose.
const (
	defaultMaxLine = 64 << 10
	// idleConnection is shorter than what servers usually keep connections for:
	// a request that meets a closing connection has an unknown outcome.
	idleConnection = 4 * time.Second
	// maxControl bounds the answers of the calls that are not requests.
	maxControl = 1 << 20
	// maxEvents bounds an answer with cache events.
	maxEvents = 8 << 20
	// writeBuffer lets most requests go out in one write.
	writeBuffer = 64 << 10
	readBuffer  = 16 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
	control   *http.Transport
	// controlBytes counts what went over the connections of control.
	controlBytes atomic.Int64
}

// New returns a client as cfg describes.
func New(cfg Config) *Client {
	if cfg.MaxEventBytes == 0 {
		cfg.MaxEventBytes = defaultMaxLine
	}
	c := &Client{cfg: cfg}
	c.transport = newTransport(cfg, cfg.MaxConnections, nil)
	c.control = newTransport(cfg, maxControlConnections, &c.controlBytes)
	return c
}

// ControlBytes returns the bytes that polls, cancels and KV orders have sent and
// received so far, without packet headers.
func (c *Client) ControlBytes() int64 { return c.controlBytes.Load() }

// maxControlConnections bounds the connections for polls, cancels and KV orders,
// which must get through while requests hold all of theirs.
const maxControlConnections = 8

// newTransport returns a transport that adds its bytes to count, if that is set.
func newTransport(cfg Config, connections int, count *atomic.Int64) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if count != nil {
				c = CountBytes(c, count)
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleConnection,
		MaxResponseHeaderBytes: 64 << 10,
		WriteBufferSize:        writeBuffer,
		ReadBufferSize:         readBuffer,
		DisableCompression:     true,
	}
}

// CountBytes returns a connection whose bytes are added to count, without packet
// headers.
func CountBytes(c net.Conn, count *atomic.Int64) net.Conn {
	return &countingConn{Conn: c, count: count}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.Add(int64(n))
	return n, err
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// newRequest returns a request that net/http can neither rewind nor send a
// second time by itself: it does that for any request whose body it can get
// again and that carries an Idempotency-Key, which here marks those that must
// not be repeated. The body is of a kind that net/http knows to be in memory, so
// that headers and body go out in one write.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "the path cannot be sent", Execution: sqerror.NotRun, Cause: err})
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		// No body at all would let net/http repeat the request. One of unknown
		// length is chunked.
		req.ContentLength = -1
	}
	if len(body) == 0 && lacksBody(method) {
		// For these net/http would probe for a first byte, by a goroutine of its
		// own. This is sent as it is: nothing.
		req.TransferEncoding = []string{"identity"}
	}
	return req, nil
}

// lacksBody reports whether net/http takes it that requests of the method usually
// have no body.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// call does one small request with an answer in JSON.
func (c *Client) call(ctx context.Context, guard WriteCheck, method, url string, in, out any, limit int64) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	s := &sending{guard: guard}
	req, err := newRequest(s.trace(ctx), method, url, body)
	if err != nil {
		return err
	}
	if in == nil {
		// Polls may be repeated, and need no probe for a body.
		req.Body = http.NoBody
		req.ContentLength = 0
	} else {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.control.RoundTrip(req)
	if err != nil {
		return sendError(ctx, s, err)
	}
	defer resp.Body.Close()
	if err := s.late(); err != nil {
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
		return cutError(err)
	}
	if int64(len(body)) > limit {
		return badAnswer("the answer is too large", nil)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return badAnswer("the answer is not the JSON that was expected", err)
	}
	return nil
}
