package sqtable

import "time"

// RouteKind says whether and how the requests of a route may be retried.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota + 1
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce
	// Stream requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	Stream
)

// String returns the name of the kind as it appears in logs.
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

// Config describes a Table as declared by an operator.
type Config struct {
	Version  uint64
	Routes   []RouteConfig
	Services []ServiceConfig
	Teams    []TeamConfig
	// KeysRequired is true if requests need a key on all routes that are not
	// public.
	KeysRequired bool
	Limits       Limits
}

// RouteConfig describes a Route.
type RouteConfig struct {
	Name string
	Host string
	// PathPrefix is the prefix that request paths are matched against. It
	// begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or its first event,
	// counts as on time.
	LatencyObjective time.Duration
	// InterTokenObjective is the longest pause between two events of a response that
	// still counts as on time.
	InterTokenObjective time.Duration
	// AbandonAfter is how long callers wait for the first event of a stream
	// before they disconnect; 0 means that it is not known.
	AbandonAfter time.Duration
	// Priority is the priority of requests, 0 being the most urgent.
	Priority     int
	TrafficSplit []ServiceWeight
	// MaxSends limits how many endpoints one request is sent to.
	MaxSends int
	// Public is true if requests need no key.
	Public bool
	// Resumable is true if an interrupted stream may continue on another
	// endpoint.
	Resumable bool
}

// ServiceWeight gives a service its share of the requests of a route: Weight
// divided by the sum of the weights of the route.
type ServiceWeight struct {
	Service string
	Weight  int
}

// ServiceConfig describes a Service.
type ServiceConfig struct {
	Name string
	// MaxConnections limits the connections to one endpoint, summed over all
	// clients; 0 means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of endpoints is fixed.
	Scaling *Scaling
}

// Engine describes the endpoints of a language-model service, which are
// inference engines.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVCapacityTokens is the capacity of the KV cache, in tokens.
	KVCapacityTokens int
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int
	// LinkMbps is the rate of a KV cache transfer, in megabits per second.
	LinkMbps float64
	// StageSwitchTime is how long an engine is unavailable while it switches
	// between the prefill and decode stages.
	StageSwitchTime time.Duration
}

// Scaling limits the number of endpoints that may be ordered in each zone and
// gives their prices.
type Scaling struct {
	// MinPerZone and MaxPerZone limit the number of endpoints in one zone.
	MinPerZone, MaxPerZone int
	// BootTime is the time from an order to a ready endpoint.
	BootTime time.Duration
	// SpotPriceRatio is the price of a spot endpoint, which the platform may
	// reclaim, divided by the price of an on-demand endpoint; 0 means that
	// there are no spot endpoints.
	SpotPriceRatio float64
	// ZonePrices maps each zone to the price of one on-demand endpoint for one
	// second.
	ZonePrices map[string]float64
}

// TeamConfig describes a Team.
type TeamConfig struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota limits what the requests of a team may use, over all gateways. A RatePerS of 0 means
// no limit.
type Quota struct {
	// RatePerS and Burst are in units: tokens if CountsTokens is true, requests otherwise.
	RatePerS float64
	Burst    float64
	// CountsTokens is true if a request counts as the tokens that its caller announces, or
	// as PlainTokens if it announces none.
	CountsTokens bool
	PlainTokens  float64
}

// Limits are the limits on what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time to send the headers, IdleTimeout the time
	// between two requests on a connection. Zero values mean no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
