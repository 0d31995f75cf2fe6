package sqtable

import "time"

// RouteKind says what may be repeated of the requests of a route.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota + 1
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
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
	// KeysRequired is true if requests need a key on all routes that are not open.
	KeysRequired bool
	Limits       Limits
}

// RouteConfig describes a Route.
type RouteConfig struct {
	Name string
	Host string
	// PathPrefix is the beginning of the paths, with a slash at both ends.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is within which an answer, or the first event of one, is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of an answer that is on time.
	GapTarget time.Duration
	// AbandonAfter is the longest that callers wait for the first event of a stream
	// before they leave; 0 if it is not known.
	AbandonAfter time.Duration
	// Priority is the rank, 0 first.
	Priority     int
	TrafficSplit []ServiceWeight
	// MaxAttempts bounds the endpoints that one attempt of a caller is sent to.
	MaxAttempts int
	// Public is true if no key is needed.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// ServiceWeight is the part of a route's requests that a service gets.
type ServiceWeight struct {
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
	// KVCapacityTokens is the memory for the KV cache.
	KVCapacityTokens int
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken int
	// LinkMbps is the rate of a KV transfer, in megabits a second.
	LinkMbps float64
	// StageSwitchTime is how long a change of the stage takes an endpoint away.
	StageSwitchTime time.Duration
}

// Scaling bounds and prices the endpoints that may be ordered in each zone.
type Scaling struct {
	MinPerZone, MaxPerZone int
	// BootTime is from an order to a ready endpoint.
	BootTime time.Duration
	// SpotPriceRatio is the price of an endpoint that may be reclaimed, as a part of
	// the price of others; 0 means that there are none.
	SpotPriceRatio float64
	// ZonePrices are the prices of a second by zone.
	ZonePrices map[string]float64
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
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to send the headers, IdleTimeout the time
	// between two requests on a connection. Zero values mean no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
