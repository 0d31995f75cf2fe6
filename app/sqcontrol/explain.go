package sqcontrol

import (
	"context"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqrpc"
)

// Explain implements sqrpc.Control. It explains an order from the replicated log.
func (s *server) Explain(_ context.Context, req *sqrpc.ExplainRequest) (*sqrpc.ExplainResponse, error) {
	var found *sqcommand.OrderRecord
	s.machine.Read(func(state *sqstate.State) {
		for _, rec := range state.Orders() {
			if rec.GetOrder().GetId() == req.GetDecision() {
				found = rec
			}
		}
	})
	if found == nil {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no order " + req.GetDecision()}))
	}
	return &sqrpc.ExplainResponse{Lines: explainOrder(found)}, nil
}

func explainOrder(rec *sqcommand.OrderRecord) []string {
	o := rec.GetOrder()
	opened := time.Unix(0, o.GetOpenedUnixNano()).UTC().Format(time.RFC3339)
	lines := []string{
		"Order " + o.GetId() + " (number " + strconv.FormatUint(o.GetSequence(), 10) + ") was committed at " + opened + ".",
		"It asks " + describeRequest(o) + ".",
	}
	if o.GetReason() != "" {
		lines = append(lines, o.GetReason())
	}
	switch {
	case !rec.GetClosed():
		lines = append(lines, describeOpenOrder(o))
	case rec.GetDone():
		lines = append(lines, "It was carried out: "+rec.GetNote()+".")
	default:
		lines = append(lines, "It was given up: "+rec.GetNote()+".")
	}
	if rec.GetResult() != "" {
		lines = append(lines, "The endpoint is "+rec.GetResult()+".")
	}
	return lines
}

// describeRequest returns whom an order addresses and what it asks for.
func describeRequest(o *sqcommand.Order) string {
	switch o.GetKind() {
	case sqcommand.OrderKind_ORDER_KIND_ROLE:
		return "engine " + o.GetTarget() + " to take the role " + o.GetArgument()
	case sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL:
		return "engine " + o.GetTarget() + " to load model " + o.GetArgument()
	case sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT:
		zone, spot := parseAddOrder(o)
		kind := argumentOnDemand
		if spot {
			kind = argumentSpot
		}
		return "the platform for one " + kind + " endpoint in zone " + zone
	case sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT:
		return "the platform to take back endpoint " + o.GetTarget()
	case sqcommand.OrderKind_ORDER_KIND_USAGE_REPORT:
		return "the platform to take the usage of window " + o.GetTarget()
	default:
		return o.GetTarget() + " for " + o.GetArgument()
	}
}

// describeOpenOrder returns what an open order is waiting for.
func describeOpenOrder(o *sqcommand.Order) string {
	switch o.GetKind() {
	case sqcommand.OrderKind_ORDER_KIND_ROLE:
		return "It is still open: the engine is draining, changing or silent."
	case sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL:
		return "It is still open: the engine is loading or silent, and serves what it had meanwhile."
	case sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT:
		return "It is still open: the endpoint is draining, or the platform is silent."
	default:
		return "It is still open: the platform has not answered."
	}
}

// kindLabel returns the name of an order kind in metrics.
func kindLabel(k sqcommand.OrderKind) string {
	switch k {
	case sqcommand.OrderKind_ORDER_KIND_ROLE:
		return "role"
	case sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL:
		return "loadModel"
	case sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT:
		return "add"
	case sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT:
		return "release"
	default:
		return "other"
	}
}
