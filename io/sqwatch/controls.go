package sqwatch

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlocate"
	"sequoiadock/io/sqrpc"
)

// controls finds the lease holder among the control processes.
type controls struct {
	*sqlocate.Locator
	client *http.Client

	mu      sync.Mutex
	clients map[string]sqrpc.Control
}

func newControls(addresses []string, client *http.Client) *controls {
	return &controls{Locator: sqlocate.New(addresses), client: client, clients: map[string]sqrpc.Control{}}
}

func newHTTPClient(connect time.Duration) *http.Client {
	const connections = 32
	dialer := &net.Dialer{Timeout: connect}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
		IdleConnTimeout:     time.Minute,
	}}
}

// current returns the control that is believed to hold the lease.
func (c *controls) current() (string, sqrpc.Control) {
	holder := c.Holder()
	c.mu.Lock()
	defer c.mu.Unlock()
	return holder, c.clientOf(holder)
}

func (c *controls) clientOf(address string) sqrpc.Control {
	client, ok := c.clients[address]
	if !ok {
		client = sqrpc.NewControlProtobufClient("http://"+address, c.client)
		c.clients[address] = client
	}
	return client
}

// failed moves on from a control that did not answer as the holder.
func (c *controls) failed(address string, err error) {
	sqrpc.ReportFailure(sqclock.Now(), c.Locator, address, err)
}

// noUse reports whether a control was silent, or answered with what is too old.
func noUse(err error) bool {
	kind := sqerror.KindOf(err)
	return kind == sqerror.Unreachable || kind == sqerror.Conflict
}

func unreachable(err error) *sqerror.Error {
	return sqerror.New(sqerror.Config{
		Kind:       sqerror.Unreachable,
		Detail:     "no control answered as the holder",
		RetryAfter: time.Second,
		Cause:      err,
	})
}
