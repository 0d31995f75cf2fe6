package sqwatch

import (
	"net/http"
	"sync"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlocate"
	"sequoiadock/io/sqrpc"
)

// controls locates the lease holder among the control processes and caches their
// clients.
type controls struct {
	*sqlocate.Locator
	client *http.Client

	mu      sync.Mutex
	clients map[string]sqrpc.Control
}

func newControls(addresses []string, client *http.Client) *controls {
	return &controls{Locator: sqlocate.New(addresses), client: client, clients: map[string]sqrpc.Control{}}
}

func newHTTPClient(connectTimeout time.Duration) *http.Client {
	const maxConnections = 32
	// The whole configuration comes in one response.
	const maxBodyBytes = 64 << 20
	return sqhttp.NewClient(sqhttp.ClientConfig{
		ConnectTimeout: connectTimeout, MaxConnections: maxConnections, MaxIdleConnections: maxConnections,
		MaxBodyBytes: maxBodyBytes,
	})
}

// current returns the address and the client of the control process that is
// believed to hold the lease.
func (c *controls) current() (string, sqrpc.Control) {
	holder := c.Holder()
	c.mu.Lock()
	defer c.mu.Unlock()
	return holder, c.clientFor(holder)
}

func (c *controls) clientFor(address string) sqrpc.Control {
	client, ok := c.clients[address]
	if !ok {
		client = sqrpc.NewControlProtobufClient("http://"+address, c.client)
		c.clients[address] = client
	}
	return client
}

// markFailed makes the locator choose another control process after address did
// not answer as the lease holder.
func (c *controls) markFailed(address string, err error) {
	sqrpc.ReportFailure(sqclock.Now(), c.Locator, address, err)
}

// isUnusable reports whether a control process did not answer, or answered with an
// older version.
func isUnusable(err error) bool {
	kind := sqerror.KindOf(err)
	return kind == sqerror.Unreachable || kind == sqerror.Conflict
}

func unreachableError(err error) *sqerror.Error {
	return sqerror.New(sqerror.Config{
		Kind:       sqerror.Unreachable,
		Detail:     "no control answered as the holder",
		RetryAfter: time.Second,
		Cause:      err,
	})
}
