package sqplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// Actions of an endpoint order.
const (
	actionAdd     = "add"
	actionRelease = "release"
)

// order is the wire form of an endpoint order.
type order struct {
	OrderID         string `json:"orderId"`
	Action          string `json:"action"`
	Zone            string `json:"zone"`
	Spot            bool   `json:"cheap"`
	VM              string `json:"vm"`
	FencingTerm     uint64 `json:"fencingTerm"`
	FencingSequence uint64 `json:"fencingSequence"`
}

// orderResponse is the response to an order. It is stored and returned again if
// the order is repeated.
type orderResponse struct {
	status int

	State string `json:"state,omitempty"`
	VM    string `json:"vm,omitempty"`
	Error string `json:"error,omitempty"`
}

// isStale reports whether a request must be refused because the platform
// has seen a newer fencing number. It stores the newest number. The caller holds
// the lock.
func (p *Platform) isStale(term, sequence uint64) bool {
	stale := term < p.maxTerm || term == p.maxTerm && sequence < p.maxSequence
	if !stale {
		p.maxTerm, p.maxSequence = term, sequence
	}
	return stale && p.cfg.HonoursFencing
}

func (p *Platform) handleOrder(c echo.Context) error {
	var o order
	if err := sqserver.Decode(c, &o); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, detail := p.applyOrder(o)
	body, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	p.record(sqrecord.Entry{
		Kind: sqrecord.OrderReceived, OrderID: o.OrderID, OrderKind: o.Action, Argument: o.Zone + o.VM,
		FencingTerm: o.FencingTerm, FencingSequence: o.FencingSequence, Detail: detail, Body: body,
	})
	return c.JSON(a.status, a)
}

func (p *Platform) applyOrder(o order) (orderResponse, string) {
	if p.isStale(o.FencingTerm, o.FencingSequence) {
		return orderResponse{status: http.StatusConflict, Error: "fenced"}, "fenced"
	}
	if a, ok := p.responses[o.OrderID]; ok {
		return a, "repeated " + a.State + a.Error
	}
	a := orderResponse{status: http.StatusBadRequest, Error: "badOrder"}
	switch o.Action {
	case actionAdd:
		a = p.addEndpoint(o)
	case actionRelease:
		a = p.releaseEndpoint(o)
	}
	p.responses[o.OrderID] = a
	return a, a.State + a.Error
}

func (p *Platform) addEndpoint(o order) orderResponse {
	k := stockKey{o.Zone, o.Spot}
	if p.stock[k] <= 0 {
		return orderResponse{status: http.StatusConflict, Error: "outOfStock"}
	}
	p.stock[k]--
	p.orderedCount++
	id := "ordered-" + strconv.Itoa(p.orderedCount)
	time.AfterFunc(p.scaled(p.cfg.ProvisionDelay), func() { p.finishAddEndpoint(id, o) })
	return orderResponse{status: http.StatusOK, State: "accepted", VM: id}
}

// finishAddEndpoint starts the endpoint of an add order and adds its VM to the list.
func (p *Platform) finishAddEndpoint(id string, o order) {
	address, err := p.cfg.Host.StartEngine(id, o.Zone, o.Spot)
	if err != nil {
		p.record(sqrecord.Entry{Kind: sqrecord.VMRemoved, Argument: id, Detail: err.Error()})
		return
	}
	p.AddVM(VM{
		ID: id, Zone: o.Zone, Address: address, Kind: KindEngine, Spot: o.Spot, HonoursFencing: p.cfg.HonoursFencing,
	})
}

func (p *Platform) releaseEndpoint(o order) orderResponse {
	v := p.find(o.VM)
	if v == nil || v.Kind != KindEngine {
		return orderResponse{status: http.StatusNotFound, Error: "unknownVM"}
	}
	p.stock[stockKey{v.Zone, v.Spot}]++
	p.startRemoval(v, p.scaled(p.cfg.ReleaseDelay), "released "+o.OrderID)
	return orderResponse{status: http.StatusOK, State: "accepted", VM: v.ID}
}

type reclaimRequest struct {
	Zone string `json:"zone"`
	// NoticeMillis is the time until the VMs are removed; it is not scaled.
	NoticeMillis int `json:"noticeMillis"`
}

type reclaimResponse struct {
	VMs []string `json:"vms"`
}

// handleReclaim takes all spot endpoints of a zone away, and its stock.
func (p *Platform) handleReclaim(c echo.Context) error {
	var q reclaimRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock[stockKey{q.Zone, true}] = 0
	a := reclaimResponse{VMs: []string{}}
	for _, v := range p.vms {
		if v.Zone == q.Zone && v.Spot && v.endedAt.IsZero() {
			p.startRemoval(v, time.Duration(q.NoticeMillis)*time.Millisecond, "reclaimed")
			a.VMs = append(a.VMs, v.ID)
		}
	}
	return c.JSON(http.StatusOK, a)
}

type restockRequest struct {
	Zone  string `json:"zone"`
	Spot  bool   `json:"cheap"`
	Count int    `json:"count"`
}

func (p *Platform) handleRestock(c echo.Context) error {
	var q restockRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock[stockKey{q.Zone, q.Spot}] = q.Count
	return c.NoContent(http.StatusNoContent)
}
