// Package sqstock plans which endpoints to order and release, by availability
// zone and kind, so that work which must be on time outlives the loss of all
// the cheap endpoints of a zone.
package sqstock

import (
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

// EndpointConfig holds the parts of an Endpoint.
type EndpointConfig struct {
	ID    string
	Zone  string
	Cheap bool
	// Unschedulable is true for one that drains or was told to go.
	Unschedulable bool
	// RunningRequests is the number of its requests.
	RunningRequests int
	// Model and Role say what would be lost with it: the last that prefills or
	// decodes for a model is never released.
	Model string
	Role  sqroute.Role
	// Protected is true for one that must not be released now, for instance since an
	// order on it is open.
	Protected bool
}

// Endpoint is one engine VM that the fleet pays for.
type Endpoint struct {
	cfg EndpointConfig
}

// NewEndpoint returns the endpoint that cfg describes.
func NewEndpoint(cfg EndpointConfig) Endpoint { return Endpoint{cfg: cfg} }

// PendingEndpointConfig holds the parts of a Pending.
type PendingEndpointConfig struct {
	Zone      string
	Cheap     bool
	OrderedAt time.Time
}

// PendingEndpoint is an endpoint that was ordered and isn't ready.
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
	// NeededEngines is the number of engines that the work of now takes, and
	// NeededDear the part that may not run on cheap ones.
	NeededEngines  float64
	NeededOnDemand float64
	// Weights are what the deployment values; nil weighs all alike.
	Weights *sqcommand.Weights
}

// View is what a planner decides on.
type View struct {
	cfg ViewConfig
}

// NewView returns the view that cfg describes.
func NewView(cfg ViewConfig) View { return View{cfg: cfg} }

// Action is what is asked of the platform.
type Action string

// Actions of an order.
const (
	Add     Action = "add"
	Release Action = "release"
)

// Order is one request to the platform.
type Order struct {
	action Action
	zone   string
	cheap  bool
	vm     string
	reason string
}

// Action returns Add or Release.
func (o Order) Action() Action { return o.action }

// Zone returns the availability zone.
func (o Order) Zone() string { return o.zone }

// Cheap returns the kind.
func (o Order) Cheap() bool { return o.cheap }

// VM returns the endpoint to release, "" for Add.
func (o Order) VM() string { return o.vm }

// Reason returns a sentence with the figures that decided.
func (o Order) Reason() string { return o.reason }

// Plan is what a planner decided.
type Plan struct {
	orders []Order
	lines  []string
}

// Orders returns the orders to give now.
func (p Plan) Orders() []Order { return p.orders }

// Lines returns why there are these orders, or none.
func (p Plan) Lines() []string { return p.lines }
