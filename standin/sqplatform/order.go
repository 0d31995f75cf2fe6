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
	Cheap           bool   `json:"cheap"`
	VM              string `json:"vm"`
	FencingTerm     uint64 `json:"fencingTerm"`
	FencingSequence uint64 `json:"fencingSequence"`
}

// orderAnswer is the answer to an order, kept for repeats.
type orderAnswer struct {
	status int

	State string `json:"state,omitempty"`
	VM    string `json:"vm,omitempty"`
	Error string `json:"error,omitempty"`
}

// fenced reports whether the number is older than the newest and notes it; the
// lock is held.
func (p *Platform) fenced(term, sequence uint64) bool {
	older := term < p.term || term == p.term && sequence < p.sequence
	if !older {
		p.term, p.sequence = term, sequence
	}
	return older && p.cfg.HonoursFencing
}

func (p *Platform) handleOrder(c echo.Context) error {
	var o order
	if err := sqserver.Decode(c, &o); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, detail := p.takeOrder(o)
	body, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	p.record(sqrecord.Entry{
		Kind: sqrecord.OrderReceived, OrderID: o.OrderID, OrderKind: o.Action, Argument: o.Zone + o.VM,
		Term: o.FencingTerm, Sequence: o.FencingSequence, Detail: detail, Body: body,
	})
	return c.JSON(a.status, a)
}

func (p *Platform) takeOrder(o order) (orderAnswer, string) {
	if p.fenced(o.FencingTerm, o.FencingSequence) {
		return orderAnswer{status: http.StatusConflict, Error: "fenced"}, "fenced"
	}
	if a, ok := p.answers[o.OrderID]; ok {
		return a, "repeated " + a.State + a.Error
	}
	a := orderAnswer{status: http.StatusBadRequest, Error: "badOrder"}
	switch o.Action {
	case actionAdd:
		a = p.add(o)
	case actionRelease:
		a = p.release(o)
	}
	p.answers[o.OrderID] = a
	return a, a.State + a.Error
}

func (p *Platform) add(o order) orderAnswer {
	k := stockKey{o.Zone, o.Cheap}
	if p.stock[k] <= 0 {
		return orderAnswer{status: http.StatusConflict, Error: "outOfStock"}
	}
	p.stock[k]--
	p.ordered++
	id := "ordered-" + strconv.Itoa(p.ordered)
	time.AfterFunc(p.scaled(p.cfg.Arrival), func() { p.arrive(id, o) })
	return orderAnswer{status: http.StatusOK, State: "accepted", VM: id}
}

// arrive starts an ordered endpoint and lists it.
func (p *Platform) arrive(id string, o order) {
	address, err := p.cfg.Host.StartEngine(id, o.Zone, o.Cheap)
	if err != nil {
		p.record(sqrecord.Entry{Kind: sqrecord.VMGone, Argument: id, Detail: err.Error()})
		return
	}
	p.Add(VM{
		ID: id, Zone: o.Zone, Address: address, Kind: KindEngine, Cheap: o.Cheap, HonoursFencing: p.cfg.HonoursFencing,
	})
}

func (p *Platform) release(o order) orderAnswer {
	v := p.find(o.VM)
	if v == nil || v.Kind != KindEngine {
		return orderAnswer{status: http.StatusNotFound, Error: "unknownVM"}
	}
	p.stock[stockKey{v.Zone, v.Cheap}]++
	p.leave(v, p.scaled(p.cfg.ReleaseDelay), "released "+o.OrderID)
	return orderAnswer{status: http.StatusOK, State: "accepted", VM: v.ID}
}

type reclaimRequest struct {
	Zone string `json:"zone"`
	// NoticeMillis is the time until the endpoints go; it is not scaled.
	NoticeMillis int `json:"noticeMillis"`
}

type reclaimAnswer struct {
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
	a := reclaimAnswer{VMs: []string{}}
	for _, v := range p.vms {
		if v.Zone == q.Zone && v.Cheap && v.until.IsZero() {
			p.leave(v, time.Duration(q.NoticeMillis)*time.Millisecond, "reclaimed")
			a.VMs = append(a.VMs, v.ID)
		}
	}
	return c.JSON(http.StatusOK, a)
}

type restockRequest struct {
	Zone  string `json:"zone"`
	Cheap bool   `json:"cheap"`
	Count int    `json:"count"`
}

func (p *Platform) handleRestock(c echo.Context) error {
	var q restockRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock[stockKey{q.Zone, q.Cheap}] = q.Count
	return c.NoContent(http.StatusNoContent)
}
