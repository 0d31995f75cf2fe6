package sqhttp

import (
	"net"
	"net/http"
	"time"

	"sequoiadock/io/sqresponse"
)

const (
	// defaultIdleTimeout is how long a client keeps an idle connection.
	defaultIdleTimeout = time.Minute
	// maxResponseHeaderBytes limits the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// defaultMaxBodyBytes limits the body of a response. A VM with 128 MB can hold it, and the
	// buffer that it grew from.
	defaultMaxBodyBytes = 16 << 20
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Timeout bounds a whole request, from connecting to the end of the response; 0 means no
	// bound but that of the request's context.
	Timeout time.Duration
	// ConnectTimeout bounds connecting; 0 means Timeout.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; 0 means a minute.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections to one address, and MaxIdleConnections those of
	// them that are kept when they are idle; 0 means the values of net/http.
	MaxConnections, MaxIdleConnections int
	// MaxBodyBytes bounds the body of a response; 0 means 16 MB.
	MaxBodyBytes int64
	// CloseAfterUse is set if each request gets a connection of its own.
	CloseAfterUse bool
}

// NewClient returns a client that fails for broken responses. It uses no proxy.
func NewClient(cfg ClientConfig) *http.Client {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = cfg.Timeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	transport := sqresponse.NewTransport(&http.Transport{
		DialContext: sqresponse.DialContext(&net.Dialer{Timeout: cfg.ConnectTimeout}), IdleConnTimeout: cfg.IdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableKeepAlives: cfg.CloseAfterUse,
		MaxConnsPerHost: cfg.MaxConnections, MaxIdleConnsPerHost: cfg.MaxIdleConnections,
	}, cfg.MaxBodyBytes)
	return &http.Client{Timeout: cfg.Timeout, Transport: meteredTransport{Transport: transport}}
}
