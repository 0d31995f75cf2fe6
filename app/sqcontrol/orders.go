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

// orderPrefix is what the identities of a term's orders begin with.
func orderPrefix(term uint64) string { return "order-" + strconv.FormatUint(term, 10) + "-" }

// openOrder commits the intent of an order. It is sent in a later round, by
// whoever holds the lease then.
func (h *holder) openOrder(ctx context.Context, t *tenure, o *sqcommand.Order) {
	h.mu.Lock()
	t.numbers.orders++
	o.Id = orderPrefix(t.term) + strconv.FormatUint(t.numbers.orders, 10)
	h.mu.Unlock()
	o.OpenedUnixNano = sqclock.Wall().UnixNano()
	c := &sqcommand.Command{OperationId: o.GetId(), Body: &sqcommand.Command_OpenOrder{OpenOrder: &sqcommand.OpenOrder{Order: o}}}
	if h.commit(ctx, "open order", c) == nil {
		return
	}
	h.log.Event(sqevent.OrderOpened, o.GetId(), o.GetKind().String(), o.GetTarget(), o.GetArgument(), o.GetReason())
	sqpoint.Reach(sqpoint.OrderCommitted)
}

// advanceEngineOrders takes every open order to an engine one step further.
// Orders that an earlier holder opened are finished with the same content and
// this term's fencing number. Engines are served side by side, since one that
// does not answer holds up its exchange.
func (h *holder) advanceEngineOrders(ctx context.Context, t *tenure) {
	var engines sync.WaitGroup
	slots := make(chan struct{}, lookers)
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

// advanceEndpointOrders takes every open order to the platform one step
// further, oldest first.
func (h *holder) advanceEndpointOrders(ctx context.Context, t *tenure) {
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

func (h *holder) advanceEngineOrder(ctx context.Context, t *tenure, o *sqcommand.Order) {
	e, known := h.endpoint(t, o.GetTarget())
	if !known {
		if h.wasListed(t) {
			h.closeOrder(ctx, o, false, "the engine is no longer listed")
		}
		return
	}
	if e.State() == sqfleet.Leaving {
		h.closeOrder(ctx, o, false, "the engine is leaving")
		return
	}
	if needsDrain(o.GetKind()) && !h.stopped(t, e) {
		return
	}
	kind := sqplatform.KindRole
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL {
		kind = sqplatform.KindLoadModel
	}
	a, err := sqplatform.OrderEngine(ctx, h.guard(t.term), e.Address(), sqplatform.EngineOrder{
		OrderID: o.GetId(), Kind: kind, Argument: o.GetArgument(), Fencing: h.fencing(t),
	})
	h.sent(t, o, err)
	if err == nil {
		h.takeEngineAnswer(ctx, t, o, a)
	}
}

func (h *holder) takeEngineAnswer(ctx context.Context, t *tenure, o *sqcommand.Order, a sqplatform.Answer) {
	switch {
	case a.Status == http.StatusOK && a.State == sqplatform.AnswerDone:
		h.changed(t, o)
		h.closeOrder(ctx, o, true, "the engine confirmed it")
	case a.Status == http.StatusOK && a.State == sqplatform.AnswerFailed:
		h.closeOrder(ctx, o, false, "the engine could not do it")
	case a.Status == http.StatusBadRequest:
		h.closeOrder(ctx, o, false, "the engine refused it: "+a.Error)
	}
	// Anything else is asked again in the next round: the engine is changing, has
	// crashed, or holds a newer fencing number, which only the next holder has.
}

// changed notes when an engine's role changed, for the planner's dwell time.
func (h *holder) changed(t *tenure, o *sqcommand.Order) {
	if o.GetKind() != sqcommand.OrderKind_ORDER_KIND_ROLE {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.changedAt[o.GetTarget()] = sqclock.Now()
}

// stopped returns whether the entries have no work on a draining endpoint.
func (h *holder) stopped(t *tenure, e sqfleet.Endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.DrainRevision() == 0 {
		return false
	}
	return t.entries.Drained(sqclock.Now(), e.ID(), e.DrainRevision())
}

func (h *holder) wasListed(t *tenure) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.listed && sqclock.Now().Sub(t.since) > keepUnlisted
}

func (h *holder) advanceEndpointOrder(ctx context.Context, t *tenure, o *sqcommand.Order) {
	order := sqplatform.EndpointOrder{OrderID: o.GetId(), Fencing: h.fencing(t)}
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT {
		order.Action = sqplatform.ActionAdd
		order.Zone, order.Cheap = addTarget(o)
	} else {
		e, known := h.endpoint(t, o.GetTarget())
		if known && !h.stopped(t, e) {
			return
		}
		if !known && !h.wasListed(t) {
			return
		}
		order.Action = sqplatform.ActionRelease
		order.VM = o.GetTarget()
	}
	a, err := sqplatform.OrderEndpoint(ctx, h.guard(t.term), h.cfg.Platform, order)
	h.sent(t, o, err)
	if err == nil {
		h.takePlatformAnswer(ctx, o, a)
	}
}

// Arguments of an order to add an endpoint.
const (
	argumentCheap = "cheap"
	argumentDear  = "dear"
)

// addTarget returns the zone and kind that an order to add asks for. Its target
// is "zone/number", so that several orders for one zone can be open at once.
func addTarget(o *sqcommand.Order) (zone string, cheap bool) {
	target := o.GetTarget()
	for i := len(target) - 1; i >= 0; i-- {
		if target[i] == '/' {
			target = target[:i]
			break
		}
	}
	return target, o.GetArgument() == argumentCheap
}

func (h *holder) takePlatformAnswer(ctx context.Context, o *sqcommand.Order, a sqplatform.Answer) {
	switch {
	case a.Status == http.StatusOK:
		h.commitClose(ctx, &sqcommand.CloseOrder{Id: o.GetId(), Done: true, Note: "the platform accepted it", Result: a.VM}, o)
	case a.Error == sqplatform.AnswerOutOfStock:
		zone, cheap := addTarget(o)
		h.plans.outOfStock(sqclock.Now(), zone, cheap)
		h.closeOrder(ctx, o, false, "out of stock")
	case a.Status == http.StatusNotFound && o.GetKind() == sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT:
		h.closeOrder(ctx, o, true, "the platform no longer has it")
	case a.Status == http.StatusBadRequest, a.Status == http.StatusNotFound:
		h.closeOrder(ctx, o, false, "the platform refused it: "+a.Error)
	}
}

func (h *holder) sent(t *tenure, o *sqcommand.Order, err error) {
	if err != nil {
		h.log.Event(sqevent.OrderFailed, o.GetId(), o.GetTarget(), err.Error())
		return
	}
	h.log.Event(sqevent.OrderSent, o.GetId(), o.GetTarget(), t.term)
}

func (h *holder) closeOrder(ctx context.Context, o *sqcommand.Order, done bool, note string) {
	h.commitClose(ctx, &sqcommand.CloseOrder{Id: o.GetId(), Done: done, Note: note}, o)
}

func (h *holder) commitClose(ctx context.Context, end *sqcommand.CloseOrder, o *sqcommand.Order) {
	c := &sqcommand.Command{Body: &sqcommand.Command_CloseOrder{CloseOrder: end}}
	if h.commit(ctx, "close order", c) != nil {
		h.meter.closed(o.GetKind(), end.GetDone())
		h.log.Event(sqevent.OrderClosed, o.GetId(), o.GetTarget(), end.GetDone(), end.GetNote())
	}
}

// fencing returns the number of the next send. It grows with each send of the
// term, also when an order is sent again: a receiver that keeps one highest
// number would otherwise refuse an older order that is still open after a newer
// one, or every order after a usage report.
func (h *holder) fencing(t *tenure) sqplatform.Fencing {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.numbers.sends++
	return sqplatform.Fencing{Term: t.term, Sequence: t.numbers.sends}
}
