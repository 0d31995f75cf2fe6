// Package sqstock plans which endpoints to order from the platform and which to
// release, by availability zone and kind. Spot endpoints may be reclaimed by the
// platform on short notice; on-demand endpoints are not reclaimed. Settings and
// recorded reasons call them "cheap" and "dear". The plan leaves enough
// capacity for work that must be on time when a zone loses all its spot
// endpoints.
package sqstock

import (
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

// EndpointConfig holds the parts of an Endpoint.
type EndpointConfig struct {
	ID   string
	Zone string
	Spot bool
	// Unschedulable is true for an endpoint that takes no new requests because
	// it is draining or leaving the fleet.
	Unschedulable bool
	// RunningRequests is the number of requests that the endpoint is running.
	RunningRequests int
	// Model and Role are what the endpoint serves: the last endpoint that runs
	// prefill or decode for a model is never released.
	Model string
	Role  sqroute.Role
	// Protected is true for an endpoint that must not be released now, for
	// instance because an order for it is open.
	Protected bool
}

// Endpoint is one engine VM that the fleet pays for.
type Endpoint struct {
	cfg EndpointConfig
}

// NewEndpoint returns the endpoint that cfg describes.
func NewEndpoint(cfg EndpointConfig) Endpoint { return Endpoint{cfg: cfg} }

// PendingEndpointConfig holds the parts of a PendingEndpoint.
type PendingEndpointConfig struct {
	Zone      string
	Spot      bool
	OrderedAt time.Time
}

// PendingEndpoint is an endpoint that was ordered and is not ready yet.
type PendingEndpoint struct {
	cfg PendingEndpointConfig
}

// NewPendingEndpoint returns the pending endpoint that cfg describes.
func NewPendingEndpoint(cfg PendingEndpointConfig) PendingEndpoint { return PendingEndpoint{cfg: cfg} }

// ViewConfig holds the parts of a View.
type ViewConfig struct {
	Fleet     *sqcommand.Fleet
	Endpoints []Endpoint
	Pending   []PendingEndpoint
	// RequiredEngines is the number of engines that the current work needs, and
	// RequiredOnDemand the part of it that must not run on spot endpoints.
	RequiredEngines  float64
	RequiredOnDemand float64
	// Weights are the priorities of the deployment. Nil means equal weights,
	// except that cost then does not shorten the release delay.
	Weights *sqcommand.Weights
}

// View is the input of a planner: the fleet and the current demand.
type View struct {
	cfg ViewConfig
}

// NewView returns the view that cfg describes.
func NewView(cfg ViewConfig) View { return View{cfg: cfg} }

// Action is the operation that an order requests from the platform.
type Action string

// Actions of an order.
const (
	Add     Action = "add"
	Release Action = "release"
)

// Order is a request to the platform to add or release one endpoint.
type Order struct {
	action Action
	zone   string
	spot   bool
	vm     string
	reason string
}

// Action returns Add or Release.
func (o Order) Action() Action { return o.action }

// Zone returns the availability zone.
func (o Order) Zone() string { return o.zone }

// Spot returns whether the endpoint is a spot one.
func (o Order) Spot() bool { return o.spot }

// VM returns the ID of the endpoint to release; it is empty for Add.
func (o Order) VM() string { return o.vm }

// Reason returns a sentence that explains the order, with its figures.
func (o Order) Reason() string { return o.reason }

// Plan is the result of a planner.
type Plan struct {
	orders      []Order
	explanation []string
}

// Orders returns the orders to give now.
func (p Plan) Orders() []Order { return p.orders }

// Explanation returns sentences that explain the plan, also when it has no orders.
func (p Plan) Explanation() []string { return p.explanation }
