package sqstate

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// orderTable holds the open orders and the most recently closed ones.
type orderTable struct {
	maxClosed    int
	lastSequence uint64
	openByID     map[string]*sqcommand.Order
	// closed is ordered by the time of closing, newest last.
	closed []*sqcommand.OrderRecord
}

func newOrderTable(maxClosed int) orderTable {
	return orderTable{maxClosed: maxClosed, openByID: make(map[string]*sqcommand.Order)}
}

// open records an order before it is sent. A target has at most one open order,
// so the next lease holder can finish that order before it issues a different
// one. A repeated order ID returns the order already recorded.
func (t *orderTable) open(o *sqcommand.Order) *sqcommand.Result {
	if t.openByID[o.GetId()] != nil {
		return &sqcommand.Result{Order: proto.CloneOf(t.openByID[o.GetId()])}
	}
	for _, other := range t.openByID {
		if sameTarget(other, o) {
			return errorResult(sqerror.OrderOpen, o.GetTarget()+" has an open order")
		}
	}
	t.lastSequence++
	stored := proto.CloneOf(o)
	stored.Sequence = t.lastSequence
	t.openByID[o.GetId()] = stored
	return &sqcommand.Result{Order: proto.CloneOf(stored)}
}

// sameTarget reports whether two orders conflict. Role and load orders share
// one target namespace, the engines. Orders of any other kind conflict only
// with orders of the same kind. An order to add an endpoint does not have a VM
// as its target, because the VM does not exist yet.
func sameTarget(a, b *sqcommand.Order) bool {
	if a.GetTarget() != b.GetTarget() {
		return false
	}
	if isEngineOrder(a.GetKind()) != isEngineOrder(b.GetKind()) {
		return false
	}
	return isEngineOrder(a.GetKind()) || a.GetKind() == b.GetKind()
}

func isEngineOrder(k sqcommand.OrderKind) bool {
	return k == sqcommand.OrderKind_ORDER_KIND_ROLE || k == sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL
}

func (t *orderTable) close(c *sqcommand.CloseOrder) *sqcommand.Result {
	o := t.openByID[c.GetId()]
	if o == nil {
		return errorResult(sqerror.UnknownOrder, "no open order "+c.GetId())
	}
	delete(t.openByID, c.GetId())
	t.closed = append(t.closed, &sqcommand.OrderRecord{Order: o, Closed: true, Done: c.GetDone(), Note: c.GetNote(), Result: c.GetResult()})
	if len(t.closed) > t.maxClosed {
		t.closed = t.closed[1:]
	}
	return &sqcommand.Result{Order: proto.CloneOf(o)}
}

func (t *orderTable) openOrders() []*sqcommand.Order {
	all := make([]*sqcommand.Order, 0, len(t.openByID))
	for _, o := range t.openByID {
		all = append(all, proto.CloneOf(o))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetSequence() < all[j].GetSequence() })
	return all
}

// OpenOrders returns the open orders, oldest first.
func (s *State) OpenOrders() []*sqcommand.Order { return s.orders.openOrders() }

// Orders returns the retained closed orders, oldest first, followed by the open
// orders.
func (s *State) Orders() []*sqcommand.OrderRecord {
	all := make([]*sqcommand.OrderRecord, 0, len(s.orders.closed)+len(s.orders.openByID))
	for _, rec := range s.orders.closed {
		all = append(all, proto.CloneOf(rec))
	}
	for _, o := range s.orders.openOrders() {
		all = append(all, &sqcommand.OrderRecord{Order: o})
	}
	return all
}
