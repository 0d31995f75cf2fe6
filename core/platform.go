package sqcore

import (
	"context"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/core/sqwindow"
)

// Platform is the client of the platform that runs the endpoints and bills the teams.
type Platform interface {
	// Endpoints returns the platform's list of endpoints. It leaves out the entries
	// that cannot be parsed and returns their number as unreadable.
	Endpoints(ctx context.Context) (list []sqplace.Endpoint, unreadable int, err error)
	// ReportUsage reports the counts of a billing window. The error is of kind
	// LeaseLost if the platform has seen a newer lease.
	ReportUsage(ctx context.Context, l Lease, window uint64, counts []sqwindow.Count) error
	// Order sets the desired number of endpoints of a service in a zone. The error
	// is of kind LeaseLost if the platform has seen a newer lease, and of kind
	// Refused if the platform has no endpoints of that kind left.
	Order(ctx context.Context, l Lease, o EndpointOrder) error
}

// Engines is the client of the engines' own control interface.
type Engines interface {
	// AcceptedOrders returns how many orders the engine has accepted, and whether
	// the engine is carrying one out. The error is of kind Leaving if the engine is
	// about to stop, and of kind Overloaded if it refuses requests, for as long as the
	// error's RetryAfter says.
	AcceptedOrders(ctx context.Context, e *sqplace.Endpoint) (accepted uint64, busy bool, err error)
	// SetStage orders the engine to change its stage, on condition that the engine
	// has accepted exactly that many orders so far. The error is of kind
	// LeaseLost if the engine has seen a newer lease, and of kind Refused if the
	// engine does not carry the order out.
	SetStage(ctx context.Context, l Lease, e *sqplace.Endpoint, stage sqplace.Stage, accepted uint64) error
}

// Lease identifies the lease holder that calls the platform or an engine.
type Lease struct {
	// Holder is the name of the process that holds the lease. Term is the fencing
	// token of the lease.
	Holder string
	Term   uint64
}

// EndpointOrder is the desired number of endpoints of one kind of a service in a zone.
type EndpointOrder struct {
	Service string
	Zone    string
	// Spot endpoints are cheaper and may be reclaimed.
	Spot  bool
	Count int
}

// Wire converts between the headers and documents of the platform's protocol and
// the types of this product. Header names are in canonical form.
type Wire interface {
	// ParseAttempt parses the headers of a caller's request.
	ParseAttempt(headers map[string][]string) sqattempt.Attempt
	// RewriteHeaders changes a caller's headers in place to those that are sent to
	// the endpoint.
	RewriteHeaders(headers map[string][]string, s sqattempt.SendParams)
	// ParseResponse parses the status and the headers of an endpoint's response.
	ParseResponse(status int, headers map[string][]string) sqattempt.Response
	// ParsePrefillHandle returns the handle of the KV cache from the response of an
	// endpoint that has prefilled a prompt for another endpoint.
	ParsePrefillHandle(body []byte) (string, error)
	// ReleasePath returns the request path that releases the KV cache of a handle.
	ReleasePath(handle string) string
	// ParseTable decodes and validates a routing table that an operator declared.
	ParseTable(document []byte) (*sqtable.Table, error)
}

// Directory returns the gateways that callers may connect to.
type Directory interface {
	// Addresses returns the addresses of the gateways for a caller in the zone and
	// region, and for how many seconds the caller may cache them. It returns no
	// addresses if no gateways are known yet.
	Addresses(zone, region string) (addresses []string, keepSeconds int)
}

// Declarations stores and returns the routing tables that operators declare.
type Declarations interface {
	// Declare puts the routing table of a document in force. An error of kind
	// BadRequest means that the document is invalid and no retry can succeed. An
	// error of kind NotHolder carries the address of the process that can answer.
	Declare(ctx context.Context, document []byte) error
	// Declared returns the document in force. The error is of kind NotFound if no
	// document has been declared yet, or of kind NotHolder as for Declare.
	Declared(ctx context.Context) ([]byte, error)
}
