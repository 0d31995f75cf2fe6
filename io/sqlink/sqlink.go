// Package sqlink is an HTTP/1.1 client with a connection pool for requests to
// endpoints. It sends each request once: unlike the transport of net/http, it never
// retries a request on another connection. It adds no headers but Host and
// Content-Length, and removes none.
package sqlink

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqmeter"
	"sequoiadock/io/sqresponse"
)

const (
	// connectTimeout is the timeout for opening a connection.
	connectTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive
	// probes, which detect a dead endpoint while a response is pending.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 4
	// ackTimeout is how long sent bytes may stay unacknowledged by TCP.
	ackTimeout = 2500 * time.Millisecond
	// keepAliveUsePercent is the percentage of the endpoint's idle timeout during which
	// an idle connection is reused. The rest covers network latency.
	keepAliveUsePercent = 60
	// defaultIdleTimeout is how long an idle connection is kept if the response has no
	// Keep-Alive timeout.
	defaultIdleTimeout = 400 * time.Millisecond
	// maxIdleTimeout limits how long any idle connection is kept.
	maxIdleTimeout = 10 * time.Second
	// receiveBufferBytes and sendBufferBytes are the sizes of the kernel's buffers of a
	// connection, so that an endpoint that does not read, or whose response is not read, takes
	// little memory.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 96 << 10
)

// Owner says to which request a response belongs.
type Owner int

// Owners of a response.
const (
	// OwnerThis means that the response belongs to the request.
	OwnerThis Owner = iota
	// OwnerOther means that the response belongs to another request.
	OwnerOther
	// OwnerUnknown means that the response does not name its request.
	OwnerUnknown
)

// Call is one request to an endpoint.
type Call struct {
	// Endpoint is the ID of the endpoint. Connections are pooled by this ID and not
	// by Address, since an address may be assigned to another endpoint later.
	Endpoint string
	Address  string
	Method   string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// OwnerOf returns the owner of a response with the status and the headers. If it is
	// nil, every response belongs to the request.
	OwnerOf func(status int, h http.Header) Owner
	// Allowed reports, once a connection is open, whether the request may still be sent. A
	// nil Allowed always permits it.
	Allowed func() bool
	// MaxIdle limits how long a reused connection may have been idle; 0 means that
	// only the endpoint's idle timeout applies.
	MaxIdle time.Duration
	// MaxConnections limits the connections to the endpoint; 0 means no limit.
	MaxConnections int
}

// Pool holds the connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	traffic *sqmeter.Traffic

	mu         sync.Mutex
	byEndpoint map[string]*endpointConns
	// idleChanged holds the endpoints whose most recently used idle connection has changed
	// since TakeIdleChanges was last called.
	idleChanged map[string]struct{}
}

// endpointConns holds the idle connections to one endpoint and the number of all
// its connections.
type endpointConns struct {
	idle []*conn
	open int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		byEndpoint:  map[string]*endpointConns{},
		idleChanged: map[string]struct{}{},
		dialer: net.Dialer{
			Timeout: connectTimeout,
			Control: sqhttp.SocketBuffers{Receive: receiveBufferBytes, Send: sendBufferBytes}.Control,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
	}
}

// CountTraffic makes the pool count the bytes of its connections. It must be called before
// the first call.
func (p *Pool) CountTraffic(t *sqmeter.Traffic) { p.traffic = t }

// Do sends a call and returns its response once the headers are read. The caller
// must close the response. The kind of an error is Unreachable with execution NotRun
// if nothing was sent, Overloaded if all connections are in use or Allowed returned false, BadResponse if the
// response is malformed or belongs to another request, Canceled if ctx ended, and
// EndpointFailed otherwise. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.Allowed != nil && !call.Allowed() {
		p.discard(call.Endpoint, c)
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Execution: sqerror.NotRun, Detail: "the endpoint takes no requests any more",
		})
	}
	stopCancel := context.AfterFunc(ctx, c.cancel)
	r, err := c.roundTrip(call)
	if err != nil {
		stopCancel()
		p.discard(call.Endpoint, c)
		return nil, err
	}
	r.pool, r.endpoint, r.stopCancel = p, call.Endpoint, stopCancel
	return r, nil
}

// acquire returns an idle connection that is still usable, or a new one.
func (p *Pool) acquire(ctx context.Context, call *Call) (*conn, error) {
	now := sqclock.Now()
	for {
		c, err := p.takeIdleOrReserve(call)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, call)
		}
		if c.usable(now, call.MaxIdle) {
			return c, nil
		}
		p.discard(call.Endpoint, c)
	}
}

// takeIdleOrReserve returns the most recently used idle connection. If there is none, it
// reserves a slot for a new connection and returns nil, or an error of kind Overloaded
// if MaxConnections is reached.
func (p *Pool) takeIdleOrReserve(call *Call) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byEndpoint[call.Endpoint]
	if conns == nil {
		conns = newEndpointConns()
		p.byEndpoint[call.Endpoint] = conns
	}
	if n := len(conns.idle); n > 0 {
		c := conns.idle[n-1]
		conns.idle = conns.idle[:n-1]
		p.idleChanged[call.Endpoint] = struct{}{}
		return c, nil
	}
	if call.MaxConnections > 0 && conns.open >= call.MaxConnections {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Execution: sqerror.NotRun, Detail: "all connections to the endpoint are in use",
		})
	}
	conns.open++
	return nil, nil
}

func newEndpointConns() *endpointConns { return &endpointConns{} }

func (p *Pool) dial(ctx context.Context, call *Call) (*conn, error) {
	startedAt := sqclock.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		p.releaseSlot(call.Endpoint)
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Unreachable, Execution: sqerror.NotRun, Detail: "no connection to the endpoint", Cause: err,
		})
	}
	if raw, err := nc.(*net.TCPConn).SyscallConn(); err == nil {
		// An error is ignored: without the option, a dead endpoint is only detected later.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
	}
	c := newConn(sqresponse.NewConn(nc), p.traffic)
	c.connectTime = sqclock.Now().Sub(startedAt)
	return c, nil
}

// Refuses reports whether no process listens at the address. It opens a connection
// outside the pool and closes it at once.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return false
}

// discard closes a connection and releases its slot.
func (p *Pool) discard(endpoint string, c *conn) {
	_ = c.nc.Close()
	p.releaseSlot(endpoint)
}

func (p *Pool) releaseSlot(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byEndpoint[endpoint]
	conns.open--
	if conns.open == 0 {
		delete(p.byEndpoint, endpoint)
	}
}

// putIdle returns a connection to the pool for the next call.
func (p *Pool) putIdle(endpoint string, c *conn) {
	c.idleSince, c.reused = sqclock.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byEndpoint[endpoint]
	conns.idle = append(conns.idle, c)
	p.idleChanged[endpoint] = struct{}{}
}

// CloseIdle closes the connections whose idle timeout has passed at now, and all idle
// connections to endpoints for which listed returns false.
func (p *Pool) CloseIdle(now time.Time, listed func(endpoint string) bool) {
	p.mu.Lock()
	var expired []*conn
	for endpoint, conns := range p.byEndpoint {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if now.Sub(c.idleSince) < c.idleTimeout && listed(endpoint) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
			p.idleChanged[endpoint] = struct{}{}
			conns.open--
		}
		conns.idle = kept
		if conns.open == 0 {
			delete(p.byEndpoint, endpoint)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.nc.Close()
	}
}

// OpenConnections returns the number of connections, idle ones and reserved slots
// included.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.byEndpoint {
		n += conns.open
	}
	return n
}
