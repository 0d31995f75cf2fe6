package sqtable

import "time"

// Kind says what may be repeated of the requests of a route.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Once:
		return "once"
	case Stream:
		return "stream"
	default:
		return "unset"
	}
}

// Config describes a Table as an operator declared it.
type Config struct {
	Version  uint64
	Routes   []RouteConfig
	Services []ServiceConfig
	Teams    []TeamConfig
	// Keyed is true if requests need a key on all routes that are not open.
	Keyed  bool
	Limits Limits
}

// RouteConfig describes a Route.
type RouteConfig struct {
	Name string
	Host string
	// Prefix is the beginning of the paths, with a slash at both ends.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Target is within which an answer, or the first event of one, is on time.
	Target time.Duration
	// Gap is the longest pause between events of an answer that is on time.
	Gap time.Duration
	// Patience is the longest that callers wait for the first event of a stream
	// before they leave; 0 if it is not known.
	Patience time.Duration
	// Priority is the rank, 0 first.
	Priority int
	Split    []Share
	// MaxAttempts bounds the endpoints that one attempt of a caller is sent to.
	MaxAttempts int
	// Open is true if no key is needed.
	Open bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  int
}

// ServiceConfig describes a Service.
type ServiceConfig struct {
	Name string
	// MaxConnections bounds the connections to one endpoint from all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of endpoints is fixed.
	Scaling *Scaling
}

// Engine describes the endpoints of a language-model service.
type Engine struct {
	Slots int
	// CacheTokens is the memory for the KV cache.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMbps is the rate of a KV transfer, in megabits a second.
	LinkMbps float64
	// SwitchTime is how long a change of the stage takes an endpoint away.
	SwitchTime time.Duration
}

// Scaling bounds and prices the endpoints that may be ordered in each zone.
type Scaling struct {
	Min, Max int
	// BootTime is from an order to a ready endpoint.
	BootTime time.Duration
	// SpotPrice is the price of an endpoint that may be reclaimed, as a part of
	// the price of others; 0 means that there are none.
	SpotPrice float64
	// Prices are the prices of a second by zone.
	Prices map[string]float64
}

// TeamConfig describes a Team.
type TeamConfig struct {
	Name string
	Keys []string
	// Priority, if HasPriority, takes the place of the route's.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to send the headers, IdleTimeout the time
	// between two requests on a connection. Zero values mean no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
