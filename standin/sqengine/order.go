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

// refusal is the wire form of an order or request that was not started.
type refusal struct {
	Error string `json:"error"`
}

// orderBook knows the orders since the engine started.
type orderBook struct {
	states         map[string]string
	last           string
	term, sequence uint64
}

func newOrderBook() orderBook {
	return orderBook{states: map[string]string{}}
}

func (b *orderBook) older(o order) bool {
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
	status, answer := e.takeOrder(o)
	e.mu.Unlock()
	return c.JSON(status, answer)
}

// takeOrder starts the order if it is new and allowed; the lock is held.
func (e *Engine) takeOrder(o order) (int, any) {
	answer := func(status int, detail string, body any) (int, any) {
		e.record(sqrecord.Entry{
			Kind: sqrecord.OrderReceived, OrderID: o.OrderID, OrderKind: o.Kind, Argument: o.Argument,
			FencingTerm: o.FencingTerm, FencingSequence: o.FencingSequence, Detail: detail,
		})
		return status, body
	}
	if e.cfg.HonoursFencing && e.orders.older(o) {
		return answer(http.StatusConflict, "fenced", refusal{Error: "fenced"})
	}
	if !e.orders.older(o) {
		e.orders.term, e.orders.sequence = o.FencingTerm, o.FencingSequence
	}
	if state, ok := e.orders.states[o.OrderID]; ok {
		return answer(http.StatusOK, "repeated "+state, orderState{State: state})
	}
	if e.changing {
		return answer(http.StatusServiceUnavailable, "changing", refusal{Error: "notStarted"})
	}
	e.orders.last = o.OrderID
	switch o.Kind {
	case orderRole:
		return answer(http.StatusOK, "started", e.startRole(o))
	case orderLoadModel:
		return answer(http.StatusOK, "started", e.startLoad(o))
	default:
		return answer(http.StatusBadRequest, "unknown kind", refusal{Error: "badOrder"})
	}
}

// startRole takes the engine away for the time of the change. What still runs
// is cut, as on a real engine; whoever gives the order has to drain it first.
func (e *Engine) startRole(o order) orderState {
	if o.Argument == e.role {
		e.orders.states[o.OrderID] = orderDone
		return orderState{State: orderDone}
	}
	e.orders.states[o.OrderID] = orderRunning
	e.changing = true
	for _, s := range append(append([]*session{}, e.active...), e.queue...) {
		e.record(entryOf(s, sqrecord.RequestAborted, "role change "+o.OrderID))
		e.end(s, endedCut)
	}
	e.sessions = map[string]*session{}
	e.exports = map[string]export{}
	e.cache.clear(time.Now())
	stopped := e.stopped
	time.AfterFunc(e.cfg.scaled(e.cfg.TimeModel.RoleChange), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stopped != stopped || e.down {
			return
		}
		e.role = o.Argument
		e.changing = false
		e.endOrder(o, orderDone)
	})
	return orderState{State: orderRunning}
}

// startLoad fetches the weights; the engine goes on serving meanwhile.
func (e *Engine) startLoad(o order) orderState {
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
			e.endOrder(o, orderFailed)
			return
		}
		e.models = append(e.models, o.Argument)
		if n := len(e.models) - e.cfg.Limits.MaxModels; n > 0 {
			e.models = e.models[n:]
		}
		e.endOrder(o, orderDone)
	}()
	return orderState{State: orderRunning}
}

func (e *Engine) endOrder(o order, state string) {
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
		Endpoint: e.cfg.Name, Role: e.role, Changing: e.changing, Models: append([]string{}, e.models...),
		HonoursFencing: e.cfg.HonoursFencing, LastOrder: e.orders.last,
	})
}

// splitModel returns the name and the version of "model@version".
func splitModel(s string) (name, version string) {
	name, version, _ = strings.Cut(s, "@")
	return name, version
}
