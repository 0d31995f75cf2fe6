package sqengine

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// Kinds of orders.
const (
	orderRole      = "role"
	orderLoadModel = "loadModel"
)

// States of an order.
const (
	orderRunning = "running"
	orderDone    = "done"
	orderFailed  = "failed"
)

// order is the wire form of an order to an engine.
type order struct {
	Kind            string `json:"kind"`
	Argument        string `json:"argument"`
	OrderID         string `json:"orderId"`
	FencingTerm     uint64 `json:"fencingTerm"`
	FencingSequence uint64 `json:"fencingSequence"`
}

type orderState struct {
	State string `json:"state"`
}

// errorResponse is the wire form of the response to a rejected order or request.
type errorResponse struct {
	Error string `json:"error"`
}

// orderTracker holds the states of the orders received since the engine started, by
// order ID, and the highest fencing token.
type orderTracker struct {
	states         map[string]string
	lastID         string
	term, sequence uint64
}

func newOrderTracker() orderTracker {
	return orderTracker{states: map[string]string{}}
}

func (b *orderTracker) outdated(o order) bool {
	if o.FencingTerm != b.term {
		return o.FencingTerm < b.term
	}
	return o.FencingSequence < b.sequence
}

func (e *Engine) handleOrder(c echo.Context) error {
	var o order
	if err := sqserver.Decode(c, &o); err != nil {
		return err
	}
	e.mu.Lock()
	status, body := e.applyOrder(o)
	e.mu.Unlock()
	return c.JSON(status, body)
}

// applyOrder starts the order if it is new and allowed; the lock is held.
func (e *Engine) applyOrder(o order) (int, any) {
	respond := func(status int, detail string, body any) (int, any) {
		e.record(sqrecord.Entry{
			Kind: sqrecord.OrderReceived, OrderID: o.OrderID, OrderKind: o.Kind, Argument: o.Argument,
			FencingTerm: o.FencingTerm, FencingSequence: o.FencingSequence, Detail: detail,
		})
		return status, body
	}
	if e.cfg.HonoursFencing && e.orders.outdated(o) {
		return respond(http.StatusConflict, "fenced", errorResponse{Error: "fenced"})
	}
	if !e.orders.outdated(o) {
		e.orders.term, e.orders.sequence = o.FencingTerm, o.FencingSequence
	}
	if state, ok := e.orders.states[o.OrderID]; ok {
		return respond(http.StatusOK, "repeated "+state, orderState{State: state})
	}
	if e.changingRole {
		return respond(http.StatusServiceUnavailable, "changing", errorResponse{Error: "notStarted"})
	}
	e.orders.lastID = o.OrderID
	switch o.Kind {
	case orderRole:
		return respond(http.StatusOK, "started", e.startRoleChange(o))
	case orderLoadModel:
		return respond(http.StatusOK, "started", e.startModelLoad(o))
	default:
		return respond(http.StatusBadRequest, "unknown kind", errorResponse{Error: "badOrder"})
	}
}

// startRoleChange makes the engine unavailable for the duration of the change.
// It aborts the sessions in progress, as a real engine does; the sender of the
// order has to drain the engine first.
func (e *Engine) startRoleChange(o order) orderState {
	if o.Argument == e.role {
		e.orders.states[o.OrderID] = orderDone
		return orderState{State: orderDone}
	}
	e.orders.states[o.OrderID] = orderRunning
	e.changingRole = true
	for _, s := range append(append([]*session{}, e.running...), e.queue...) {
		e.record(sessionEntry(s, sqrecord.RequestAborted, "role change "+o.OrderID))
		e.endSession(s, endedAborted)
	}
	e.sessions = map[string]*session{}
	e.exports = map[string]kvExport{}
	e.cache.clear(time.Now())
	stopped := e.stopped
	time.AfterFunc(e.cfg.scaled(e.cfg.TimeModel.RoleChange), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stopped != stopped || e.down {
			return
		}
		e.role = o.Argument
		e.changingRole = false
		e.finishOrder(o, orderDone)
	})
	return orderState{State: orderRunning}
}

// startModelLoad fetches the weights while the engine continues to serve.
func (e *Engine) startModelLoad(o order) orderState {
	if slices.Contains(e.models, o.Argument) {
		e.orders.states[o.OrderID] = orderDone
		return orderState{State: orderDone}
	}
	e.orders.states[o.OrderID] = orderRunning
	stopped := e.stopped
	go func() {
		err := fetchWeights(e.cfg.WeightStoreAddress, o.Argument, stopped)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stopped != stopped || e.down {
			return
		}
		if err != nil {
			e.finishOrder(o, orderFailed)
			return
		}
		e.models = append(e.models, o.Argument)
		if n := len(e.models) - e.cfg.Limits.MaxModels; n > 0 {
			e.models = e.models[n:]
		}
		e.finishOrder(o, orderDone)
	}()
	return orderState{State: orderRunning}
}

func (e *Engine) finishOrder(o order, state string) {
	e.orders.states[o.OrderID] = state
	e.record(sqrecord.Entry{
		Kind: sqrecord.OrderEnded, OrderID: o.OrderID, OrderKind: o.Kind, Argument: o.Argument, Detail: state,
	})
}

// engineStatus is the wire form of the engine's state.
type engineStatus struct {
	Endpoint       string   `json:"endpoint"`
	Role           string   `json:"role"`
	Changing       bool     `json:"changing"`
	Models         []string `json:"models"`
	HonoursFencing bool     `json:"honoursFencing"`
	LastOrder      string   `json:"lastOrder"`
}

func (e *Engine) handleStatus(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, engineStatus{
		Endpoint: e.cfg.Name, Role: e.role, Changing: e.changingRole, Models: append([]string{}, e.models...),
		HonoursFencing: e.cfg.HonoursFencing, LastOrder: e.orders.lastID,
	})
}

// splitModel returns the name and the version of "model@version".
func splitModel(s string) (name, version string) {
	name, version, _ = strings.Cut(s, "@")
	return name, version
}
