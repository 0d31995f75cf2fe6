// Package sqlink carries requests to endpoints over HTTP/1.1 connections of its
// own. It sends each request once: unlike the transport of net/http, it never
// repeats one on another connection, and it adds and removes no header.
package sqlink

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

const (
	// connectTimeout bounds the making of a connection.
	connectTimeout = 700 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections whose other side is
	// silent for good while an answer is waited for.
	probeIdle     = 1 * time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 4
	// ackTimeout is how long sent bytes may stay unacknowledged.
	ackTimeout = 2500 * time.Millisecond
	// idlePercent is the part of the endpoint's idle timeout for which a connection
	// is used again.
	idlePercent = 60
	// idleUnset is for how long a connection is kept if the endpoint says nothing.
	idleUnset = 400 * time.Millisecond
	// maxIdle bounds how long any connection is kept.
	maxIdle = 10 * time.Second
)

// Call is one request to an endpoint.
type Call struct {
	// Endpoint is the identity of the endpoint; connections are kept for one
	// identity, since its address may be given to another.
	Endpoint string
	Address  string
	Method   string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches returns whether the head of an answer belongs to the request.
	Matches func(status int, h http.Header) bool
	// MaxIdle bounds how long a connection may have been idle; 0 means the
	// endpoint's own bound.
	MaxIdle time.Duration
	// MaxConnections bounds the connections to the endpoint; 0 means no bound.
	MaxConnections int
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connections to one endpoint.
type peer struct {
	idle []*conn
	open int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		peers: map[string]*peer{},
		dialer: net.Dialer{
			Timeout: connectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
			},
		},
	}
}

// Do sends a call and returns the head of its answer; the caller closes the
// reply. An error is of kind Unreachable with "not run" if nothing was sent, of
// kind Overloaded if all connections are in use, of kind BadAnswer if what came
// is no answer, and of kind EndpointFailed otherwise. When ctx ends, the
// connection is closed.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, error) {
	c, err := p.take(ctx, call)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	r, err := c.exchange(call)
	if err != nil {
		stop()
		p.drop(call.Endpoint, c)
		return nil, err
	}
	r.pool, r.endpoint, r.stop = p, call.Endpoint, stop
	return r, nil
}

// take returns a kept connection that is still good, or a new one.
func (p *Pool) take(ctx context.Context, call *Call) (*conn, error) {
	now := sqclock.Now()
	for {
		c, err := p.reserve(call)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, call)
		}
		if c.usable(now, call.MaxIdle) {
			return c, nil
		}
		p.drop(call.Endpoint, c)
	}
}

// reserve returns the connection that was idle last, or nil with a place for a
// new one.
func (p *Pool) reserve(call *Call) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[call.Endpoint]
	if peer == nil {
		peer = newPeer()
		p.peers[call.Endpoint] = peer
	}
	if n := len(peer.idle); n > 0 {
		c := peer.idle[n-1]
		peer.idle = peer.idle[:n-1]
		return c, nil
	}
	if call.MaxConnections > 0 && peer.open >= call.MaxConnections {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Execution: sqerror.NotRun, Detail: "all connections to the endpoint are in use",
		})
	}
	peer.open++
	return nil, nil
}

func newPeer() *peer { return &peer{} }

func (p *Pool) dial(ctx context.Context, call *Call) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		p.release(call.Endpoint)
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Unreachable, Execution: sqerror.NotRun, Detail: "no connection to the endpoint", Cause: err,
		})
	}
	if raw, err := nc.(*net.TCPConn).SyscallConn(); err == nil {
		// Without the option a silent endpoint is only noticed later.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
	}
	return newConn(nc), nil
}

// drop closes a connection that is not kept.
func (p *Pool) drop(endpoint string, c *conn) {
	_ = c.nc.Close()
	p.release(endpoint)
}

func (p *Pool) release(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[endpoint]
	peer.open--
	if peer.open == 0 {
		delete(p.peers, endpoint)
	}
}

// keep gives a connection back for the next call.
func (p *Pool) keep(endpoint string, c *conn) {
	c.idleSince = sqclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[endpoint]
	peer.idle = append(peer.idle, c)
}

// CloseIdle closes connections that have been idle for too long at now, and all idle
// ones to endpoints that are not listed.
func (p *Pool) CloseIdle(now time.Time, listed func(endpoint string) bool) {
	p.mu.Lock()
	var old []*conn
	for endpoint, peer := range p.peers {
		kept := peer.idle[:0]
		for _, c := range peer.idle {
			if now.Sub(c.idleSince) < c.idleFor && listed(endpoint) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
			peer.open--
		}
		peer.idle = kept
		if peer.open == 0 {
			delete(p.peers, endpoint)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.nc.Close()
	}
}

// OpenConnections returns how many connections there are.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, peer := range p.peers {
		n += peer.open
	}
	return n
}
