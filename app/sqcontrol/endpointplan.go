package sqcontrol

import (
	"context"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstock"
)

func (h *holder) planEndpoints(ctx context.Context, t *termState, in planInput) {
	if !in.cfg.GetFleet().GetOrdersEnabled() {
		return
	}
	for i, o := range h.planners.planEndpoints(in.now, sqstock.NewView(in.stockView())) {
		h.openOrder(ctx, t, endpointOrder(o, in.now, i))
	}
}

func (in *planInput) stockView() sqstock.ViewConfig {
	view := sqstock.ViewConfig{Fleet: in.cfg.GetFleet(), Weights: in.cfg.GetWeights()}
	for _, e := range in.endpoints {
		if !e.IsEngine() {
			continue
		}
		role, _ := sqroute.ParseRole(e.Role())
		view.Endpoints = append(view.Endpoints, sqstock.NewEndpoint(sqstock.EndpointConfig{
			ID: e.ID(), Zone: e.Zone(), Spot: e.Spot(), Unschedulable: e.State() != sqfleet.Live,
			Model: firstModelName(e.Models()), Role: role,
			RunningRequests: int(e.Load().Running), Protected: in.openOrders[e.ID()] != nil,
		}))
	}
	for _, o := range in.openOrders {
		if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT {
			view.Pending = append(view.Pending, in.pendingEndpoint(o))
		}
	}
	for _, o := range in.arriving {
		view.Pending = append(view.Pending, in.pendingEndpoint(o))
	}
	view.RequiredEngines = in.enginesNeeded()
	view.RequiredOnDemand = view.RequiredEngines * in.onDemandShare
	return view
}

func (in *planInput) pendingEndpoint(o *sqcommand.Order) sqstock.PendingEndpoint {
	zone, spot := parseAddOrder(o)
	return sqstock.NewPendingEndpoint(sqstock.PendingEndpointConfig{Zone: zone, Spot: spot, OrderedAt: in.now})
}

// Limits of the time for which an accepted order counts as arriving.
const (
	// arrivalDelayFactor is a multiple of the fleet's usual arrival delay.
	arrivalDelayFactor = 3
	minArrivalTime     = 30 * time.Second
)

// arrivingOrders returns the accepted orders to add an endpoint whose VM is not
// listed yet. It reads them from the replicated log, so that a new holder does not
// order the same endpoints again.
func arrivingOrders(orders []*sqcommand.OrderRecord, endpoints []sqfleet.Endpoint, wall time.Time, fleet *sqcommand.Fleet) []*sqcommand.Order {
	listed := make(map[string]bool)
	for _, e := range endpoints {
		listed[e.ID()] = true
	}
	limit := max(minArrivalTime, arrivalDelayFactor*time.Duration(fleet.GetArrivalSeconds())*time.Second)
	var out []*sqcommand.Order
	for _, rec := range orders {
		o := rec.GetOrder()
		if o.GetKind() != sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT || !rec.GetDone() || listed[rec.GetResult()] {
			continue
		}
		if wall.Sub(time.Unix(0, o.GetOpenedUnixNano())) < limit {
			out = append(out, o)
		}
	}
	return out
}

// enginesNeeded returns how many engines the current demand for all models
// requires.
func (in *planInput) enginesNeeded() float64 {
	var n float64
	for i := range in.demands {
		n += requiredEngines(&in.demands[i])
	}
	return n
}

// endpointOrder converts a planned order to the form of the replicated log. The
// target of an order to add an endpoint contains a number, so that several orders
// for one zone can be open at once.
func endpointOrder(o sqstock.Order, now time.Time, i int) *sqcommand.Order {
	out := &sqcommand.Order{Reason: o.Reason()}
	if o.Action() == sqstock.Release {
		out.Kind = sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT
		out.Target = o.VM()
		out.Argument = string(sqstock.Release)
		return out
	}
	out.Kind = sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT
	out.Target = o.Zone() + "/" + strconv.FormatInt(now.UnixNano(), 36) + strconv.Itoa(i)
	out.Argument = argumentOnDemand
	if o.Spot() {
		out.Argument = argumentSpot
	}
	return out
}
