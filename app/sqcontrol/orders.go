package sqcontrol

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqplatform"
	"sequoiadock/io/sqpoint"
)

// orderPrefix returns the prefix of the ids of a term's orders.
func orderPrefix(term uint64) string { return "order-" + strconv.FormatUint(term, 10) + "-" }

// openOrder commits an order without sending it. The process that holds the lease
// in a later round sends it.
func (h *holder) openOrder(ctx context.Context, t *termState, o *sqcommand.Order) {
	h.mu.Lock()
	t.counters.orders++
	o.Id = orderPrefix(t.term) + strconv.FormatUint(t.counters.orders, 10)
	h.mu.Unlock()
	o.OpenedUnixNano = sqclock.Wall().UnixNano()
	c := &sqcommand.Command{OperationId: o.GetId(), Body: &sqcommand.Command_OpenOrder{OpenOrder: &sqcommand.OpenOrder{Order: o}}}
	if h.commit(ctx, "open order", c) == nil {
		return
	}
	h.log.Event(sqevent.OrderOpened, o.GetId(), o.GetKind().String(), o.GetTarget(), o.GetArgument(), o.GetReason())
	sqpoint.StopIfRequested(sqpoint.OrderCommitted)
}

// advanceEngineOrders sends every open engine order that is ready and handles the
// answer. Orders that an earlier holder opened are completed with the same content
// and this term's fencing number. Orders are sent concurrently, since an engine
// that does not answer blocks its request until the timeout.
func (h *holder) advanceEngineOrders(ctx context.Context, t *termState) {
	var engines sync.WaitGroup
	slots := make(chan struct{}, maxEngineCalls)
	for _, o := range h.openOrders() {
		if !isEngineOrder(o) {
			continue
		}
		slots <- struct{}{}
		engines.Go(func() {
			defer func() { <-slots }()
			h.advanceEngineOrder(ctx, t, o)
		})
	}
	engines.Wait()
}

// advanceEndpointOrders sends every open platform order that is ready and handles
// the answer, oldest order first.
func (h *holder) advanceEndpointOrders(ctx context.Context, t *termState) {
	for _, o := range h.openOrders() {
		if !isEngineOrder(o) {
			h.advanceEndpointOrder(ctx, t, o)
		}
	}
}

func (h *holder) openOrders() []*sqcommand.Order {
	var open []*sqcommand.Order
	h.machine.Read(func(s *sqstate.State) { open = s.OpenOrders() })
	return open
}

func isEngineOrder(o *sqcommand.Order) bool {
	return o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ROLE || o.GetKind() == sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL
}

func (h *holder) advanceEngineOrder(ctx context.Context, t *termState, o *sqcommand.Order) {
	e, known := h.endpoint(t, o.GetTarget())
	if !known {
		if h.fleetKnown(t) {
			h.closeOrder(ctx, o, false, "the engine is no longer listed")
		}
		return
	}
	if e.State() == sqfleet.Leaving {
		h.closeOrder(ctx, o, false, "the engine is leaving")
		return
	}
	if isDrainingKind(o.GetKind()) && !h.isDrained(t, e) {
		return
	}
	kind := sqplatform.KindRole
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL {
		kind = sqplatform.KindLoadModel
	}
	a, err := sqplatform.SendEngineOrder(ctx, h.guardedClient(t.term), e.Address(), sqplatform.EngineOrder{
		OrderID: o.GetId(), Kind: kind, Argument: o.GetArgument(), FencingToken: h.nextFencing(t),
	})
	h.logSend(t, o, err)
	if err == nil {
		h.handleEngineAnswer(ctx, t, o, a)
	}
}

func (h *holder) handleEngineAnswer(ctx context.Context, t *termState, o *sqcommand.Order, a sqplatform.OrderResponse) {
	switch {
	case a.Status == http.StatusOK && a.State == sqplatform.OrderStateDone:
		h.recordRoleChange(t, o)
		h.closeOrder(ctx, o, true, "the engine confirmed it")
	case a.Status == http.StatusOK && a.State == sqplatform.OrderStateFailed:
		h.closeOrder(ctx, o, false, "the engine could not do it")
	case a.Status == http.StatusBadRequest:
		h.closeOrder(ctx, o, false, "the engine refused it: "+a.Error)
	}
	// After any other answer the order is sent again in the next round: the engine
	// is still changing, has crashed, or has seen a newer fencing number, which
	// only the next holder has.
}

// recordRoleChange records when an engine's role changed, for the role planner's
// dwell time.
func (h *holder) recordRoleChange(t *termState, o *sqcommand.Order) {
	if o.GetKind() != sqcommand.OrderKind_ORDER_KIND_ROLE {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.roleChangedAt[o.GetTarget()] = sqclock.Now()
}

// isDrained returns whether an endpoint is draining and no entry has work on it.
func (h *holder) isDrained(t *termState, e sqfleet.Endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.DrainRevision() == 0 {
		return false
	}
	return t.entries.Drained(sqclock.Now(), e.ID(), e.DrainRevision())
}

// fleetKnown returns whether the platform's list was read in this term and the
// term has lasted longer than unlistedRetention. Only then is an endpoint that is
// missing from the fleet table known to be gone.
func (h *holder) fleetKnown(t *termState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.listRead && sqclock.Now().Sub(t.startedAt) > unlistedRetention
}

func (h *holder) advanceEndpointOrder(ctx context.Context, t *termState, o *sqcommand.Order) {
	order := sqplatform.EndpointOrder{OrderID: o.GetId(), FencingToken: h.nextFencing(t)}
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT {
		order.Action = sqplatform.ActionAdd
		order.Zone, order.Cheap = parseAddOrder(o)
	} else {
		e, known := h.endpoint(t, o.GetTarget())
		if known && !h.isDrained(t, e) {
			return
		}
		if !known && !h.fleetKnown(t) {
			return
		}
		order.Action = sqplatform.ActionRelease
		order.VM = o.GetTarget()
	}
	a, err := sqplatform.SendEndpointOrder(ctx, h.guardedClient(t.term), h.cfg.PlatformAddress, order)
	h.logSend(t, o, err)
	if err == nil {
		h.handlePlatformAnswer(ctx, o, a)
	}
}

// Arguments of an order to add an endpoint.
const (
	argumentSpot     = "cheap"
	argumentOnDemand = "dear"
)

// parseAddOrder returns the zone that an order to add an endpoint names, and
// whether the endpoint is to be a spot endpoint. The order's target is "zone/number",
// so that several orders for one zone can be open at once.
func parseAddOrder(o *sqcommand.Order) (zone string, spot bool) {
	target := o.GetTarget()
	for i := len(target) - 1; i >= 0; i-- {
		if target[i] == '/' {
			target = target[:i]
			break
		}
	}
	return target, o.GetArgument() == argumentSpot
}

func (h *holder) handlePlatformAnswer(ctx context.Context, o *sqcommand.Order, a sqplatform.OrderResponse) {
	switch {
	case a.Status == http.StatusOK:
		h.commitClose(ctx, &sqcommand.CloseOrder{Id: o.GetId(), Done: true, Note: "the platform accepted it", Result: a.VM}, o)
	case a.Error == sqplatform.OrderErrorOutOfStock:
		zone, spot := parseAddOrder(o)
		h.planners.outOfStock(sqclock.Now(), zone, spot)
		h.closeOrder(ctx, o, false, "out of stock")
	case a.Status == http.StatusNotFound && o.GetKind() == sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT:
		h.closeOrder(ctx, o, true, "the platform no longer has it")
	case a.Status == http.StatusBadRequest, a.Status == http.StatusNotFound:
		h.closeOrder(ctx, o, false, "the platform refused it: "+a.Error)
	}
}

func (h *holder) logSend(t *termState, o *sqcommand.Order, err error) {
	if err != nil {
		h.log.Event(sqevent.OrderFailed, o.GetId(), o.GetTarget(), err.Error())
		return
	}
	h.log.Event(sqevent.OrderSent, o.GetId(), o.GetTarget(), t.term)
}

func (h *holder) closeOrder(ctx context.Context, o *sqcommand.Order, done bool, note string) {
	h.commitClose(ctx, &sqcommand.CloseOrder{Id: o.GetId(), Done: done, Note: note}, o)
}

func (h *holder) commitClose(ctx context.Context, closing *sqcommand.CloseOrder, o *sqcommand.Order) {
	c := &sqcommand.Command{Body: &sqcommand.Command_CloseOrder{CloseOrder: closing}}
	if h.commit(ctx, "close order", c) != nil {
		h.metrics.countClosedOrder(o.GetKind(), closing.GetDone())
		h.log.Event(sqevent.OrderClosed, o.GetId(), o.GetTarget(), closing.GetDone(), closing.GetNote())
	}
}

// nextFencing returns the fencing number of the next request. The number increases
// with each request of the term, also when an order is sent again. Otherwise a
// receiver that tracks one highest number would reject an older order that is still
// open after a newer one, or every order after a usage report.
func (h *holder) nextFencing(t *termState) sqplatform.FencingToken {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.counters.sends++
	return sqplatform.FencingToken{Term: t.term, Sequence: t.counters.sends}
}
