// Package sqentry is the process that callers connect to. It checks keys,
// admits requests, routes each to an endpoint and relays the response. It gets
// its configuration, the granted keys and the endpoint list from the holder,
// the control process that holds the leader lease, and may use them while its
// freshness lease is valid.
package sqentry

import (
	"io"
	"time"

	"sequoiadock/io/sqlog"
)

// Defaults of Config.
const (
	defaultFresh          = 3 * time.Second
	defaultWatchEvery     = 250 * time.Millisecond
	defaultPollEvery      = 200 * time.Millisecond
	defaultKeep           = 2 * time.Second
	defaultStopGrace      = 30 * time.Second
	defaultConnect        = time.Second
	defaultIdle           = 2 * time.Minute
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 10 * time.Second
	defaultMaxBody        = 4 << 20
	defaultMaxHeader      = 32 << 10
	defaultMaxAnswer      = 16 << 20
	defaultMaxConnections = 8192
	defaultMaxRequests    = 4096
	defaultMaxDecisions   = 8000
	defaultEndpointConns  = 512
	defaultMaxDeadline    = 10 * time.Minute
)

// Config holds the settings of an entry process. Zero durations and limits take
// the defaults.
type Config struct {
	// Deployment is the name of the deployment; control processes of another
	// deployment are refused.
	Deployment string
	// Name is the unique name of the entry.
	Name string
	// Zone is the availability zone of the entry VM.
	Zone string
	// CallerAddress is the "ip:port" that callers connect to; port 0 picks one.
	CallerAddress string
	// AdvertiseCallerAddress is the address given to callers; empty means the address
	// that CallerAddress was bound to.
	AdvertiseCallerAddress string
	// InternalAddress is the "ip:port" for operators, metrics and health.
	InternalAddress string
	// AdvertiseInternalAddress is the address given to operators; empty means the
	// address that InternalAddress was bound to.
	AdvertiseInternalAddress string
	// ControlAddresses are the "ip:port" addresses of the control processes.
	ControlAddresses []string

	Timings  Timings
	Limits   Limits
	Policies Policies

	// Log receives the numbered events; nil discards them.
	Log *sqlog.Log
	// Ready, if set, is called once with the bound addresses.
	Ready func(callers, internal string)
}

// Timings holds intervals and timeouts.
type Timings struct {
	// MaxFreshnessLease is the longest freshness lease that the entry accepts. The
	// holder may grant a shorter one.
	MaxFreshnessLease time.Duration
	// RenewInterval is the time between renewals of the freshness lease.
	RenewInterval time.Duration
	// PollInterval is the time between polls of an endpoint's load and cache
	// events.
	PollInterval time.Duration
	// AddressTTL is how long callers keep the list of entry addresses.
	AddressTTL time.Duration
	// DrainTimeout is how long running requests may continue after a planned stop
	// began.
	DrainTimeout time.Duration
	// ConnectTimeout bounds connecting to an endpoint or control process.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an unused connection of a caller stays open.
	IdleTimeout time.Duration
	// HeaderTimeout bounds how long a caller may take to send its headers.
	HeaderTimeout time.Duration
	// BodyTimeout bounds how long a caller may take to send its body.
	BodyTimeout time.Duration
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline time.Duration
}

// Limits bounds memory, connections and poll traffic.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes is the largest request header in bytes.
	MaxHeaderBytes int
	// MaxResponseBytes is the largest response of an endpoint in bytes.
	MaxResponseBytes int64
	// MaxConnections is the number of open connections from callers.
	MaxConnections int
	// MaxRunning is the number of concurrent requests.
	MaxRunning int
	// MaxDecisions is the number of decision records kept for the explain
	// command.
	MaxDecisions int
	// MaxConnsPerEndpoint is the number of connections to one endpoint.
	MaxConnsPerEndpoint int
	// PollBytesPerSecond limits the traffic for polling endpoints in a fleet
	// too large to be polled at full rate; 0 takes the default of sqreader.
	PollBytesPerSecond int
}

func (c *Config) setDefaults() {
	t := &c.Timings
	setDuration(&t.MaxFreshnessLease, defaultFresh)
	setDuration(&t.RenewInterval, defaultWatchEvery)
	setDuration(&t.PollInterval, defaultPollEvery)
	setDuration(&t.AddressTTL, defaultKeep)
	setDuration(&t.DrainTimeout, defaultStopGrace)
	setDuration(&t.ConnectTimeout, defaultConnect)
	setDuration(&t.IdleTimeout, defaultIdle)
	setDuration(&t.HeaderTimeout, defaultHeaderTimeout)
	setDuration(&t.BodyTimeout, defaultBodyTimeout)
	setDuration(&t.MaxDeadline, defaultMaxDeadline)
	l := &c.Limits
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultMaxBody
	}
	if l.MaxResponseBytes == 0 {
		l.MaxResponseBytes = defaultMaxAnswer
	}
	setInt(&l.MaxHeaderBytes, defaultMaxHeader)
	setInt(&l.MaxConnections, defaultMaxConnections)
	setInt(&l.MaxRunning, defaultMaxRequests)
	setInt(&l.MaxDecisions, defaultMaxDecisions)
	setInt(&l.MaxConnsPerEndpoint, defaultEndpointConns)
	if c.Log == nil {
		c.Log = sqlog.New(sqlog.Config{Name: c.Name, Output: io.Discard})
	}
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

func setInt(n *int, def int) {
	if *n == 0 {
		*n = def
	}
}
