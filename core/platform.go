package sqcore

import (
	"context"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/core/sqwindow"
)

// Platform is what runs the endpoints and bills the teams.
type Platform interface {
	// Endpoints returns the platform's list. Entries that cannot be read are left
	// out; unreadable is how many.
	Endpoints(ctx context.Context) (list []sqplace.Endpoint, unreadable int, err error)
	// ReportUsage hands over the counts of a window. The error is of kind
	// LostAuthority if the platform has seen a newer lease.
	ReportUsage(ctx context.Context, l Lease, window uint64, counts []sqwindow.Count) error
	// Order sets how many endpoints a service shall have in a zone. The error is of
	// kind LostAuthority as above, and Refused if there are none of the kind.
	Order(ctx context.Context, l Lease, o EndpointOrder) error
}

// Engines takes orders at the engines themselves.
type Engines interface {
	// AcceptedOrders returns how many orders the engine has accepted, and whether it is
	// carrying one out.
	AcceptedOrders(ctx context.Context, e *sqplace.Endpoint) (accepted uint64, busy bool, err error)
	// SetStage orders a stage if the engine has accepted as many orders as said. The
	// error is of kind LostAuthority if the engine has seen a newer lease, and
	// Refused if it does not carry the order out.
	SetStage(ctx context.Context, l Lease, e *sqplace.Endpoint, stage sqplace.Stage, accepted uint64) error
}

// Lease is the authority under which the platform is called.
type Lease struct {
	// Holder is the name of the process, Term its fencing number.
	Holder string
	Term   uint64
}

// EndpointOrder is how many endpoints of a kind there shall be.
type EndpointOrder struct {
	Service string
	Zone    string
	// Spot endpoints are cheaper and may be reclaimed.
	Spot  bool
	Count int
}

// Wire translates between the headers and documents of the outside and the types
// of the product. Headers are in canonical form.
type Wire interface {
	// ParseAttempt reads what a caller says of its request.
	ParseAttempt(headers map[string][]string) sqattempt.Attempt
	// RewriteHeaders turns a caller's headers into those that the endpoint gets.
	RewriteHeaders(headers map[string][]string, s sqattempt.SendParams)
	// ParseResponse reads the head of an endpoint's answer.
	ParseResponse(status int, headers map[string][]string) sqattempt.Response
	// ParsePrefillHandle reads the answer of an endpoint that has read a prompt ahead.
	ParsePrefillHandle(body []byte) (string, error)
	// ReleasePath returns the path at which a handle is given back.
	ReleasePath(handle string) string
	// ParseTable decodes and checks a declaration of an operator.
	ParseTable(document []byte) (*sqtable.Table, error)
}

// Directory tells callers where to connect.
type Directory interface {
	// Addresses returns the gateways for a caller, and for how many seconds it may
	// keep them; none if nothing is known yet.
	Addresses(zone, region string) (addresses []string, keepSeconds int)
}

// Declarations takes the routing tables of operators.
type Declarations interface {
	// Declare brings a document in force. An error of kind BadRequest means that
	// it never will be; NotHolder names the process that can answer.
	Declare(ctx context.Context, document []byte) error
	// Declared returns the document in force. The error is NotFound before the
	// first, or NotHolder.
	Declared(ctx context.Context) ([]byte, error)
}
