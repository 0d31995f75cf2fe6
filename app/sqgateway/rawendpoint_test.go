package sqgateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// rawEndpoint is an endpoint that writes the bytes of its responses itself, so that they need
// not be sound ones.
type rawEndpoint struct {
	ln net.Listener

	mu       sync.Mutex
	requests int
}

// newRawEndpoint returns an endpoint that calls respond once the head of a request was read.
// The connection is closed when respond returns.
func newRawEndpoint(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) *rawEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	e := &rawEndpoint{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			// With small buffers, a long request is still being written when the response comes.
			_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
			go e.handle(c.(*net.TCPConn), respond)
		}
	}()
	return e
}

func (e *rawEndpoint) handle(c *net.TCPConn, respond func(c *net.TCPConn, r *http.Request)) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	e.mu.Lock()
	e.requests++
	e.mu.Unlock()
	respond(c, r)
}

// received returns how many requests have reached the endpoint.
func (e *rawEndpoint) received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// fleetEntry returns the entry of the endpoint in the lease holder's fleet.
func (e *rawEndpoint) fleetEntry(id, service string) sqplace.Endpoint {
	return sqplace.NewEndpoint(sqplace.EndpointConfig{ID: id, Service: service, Address: e.ln.Addr().String(), Zone: "a", Slots: 4})
}

// rawResponse returns a handler of a rawEndpoint that reads the request, writes bytes and
// closes the connection. In them, ATTEMPT stands for the ID of the attempt.
func rawResponse(bytes string) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, withAttempt(bytes, r))
	}
}
