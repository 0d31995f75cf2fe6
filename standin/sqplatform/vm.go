package sqplatform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// KindEngine is the kind of a VM that runs a model engine; the kind of others
// is the service's name.
const KindEngine = "engine"

// States of a VM in the list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// VM is the wire form of one VM in the list.
type VM struct {
	ID             string `json:"id"`
	Zone           string `json:"zone"`
	Address        string `json:"address"`
	Kind           string `json:"kind"`
	Spot           bool   `json:"cheap"`
	State          string `json:"state"`
	LeavesUnixNano int64  `json:"leavesUnixNano"`
	HonoursFencing bool   `json:"honoursFencing"`
}

// vm is a VM that exists or existed.
type vm struct {
	VM
	since time.Time
	// until is when the VM went; zero while it is there.
	until time.Time
}

// vmList is the list as it was at a time.
type vmList struct {
	AtUnixNano int64 `json:"atUnixNano"`
	VMs        []VM  `json:"vms"`
}

// AddVM puts a VM that runs already on the list.
func (p *Platform) AddVM(v VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.State = stateLive
	now := time.Now()
	p.vms = append(p.vms, &vm{VM: v, since: now})
	detail := v.Zone + " dear"
	if v.Spot {
		detail = v.Zone + " cheap"
	}
	p.record(sqrecord.Entry{Kind: sqrecord.VMStarted, Argument: v.ID, Detail: detail})
	p.changed(now)
}

// PublishList makes the present list visible without its lag, for a fleet that
// starts.
func (p *Platform) PublishList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = nil
	p.changed(time.Now())
}

func (p *Platform) list(now time.Time) vmList {
	l := vmList{AtUnixNano: now.UnixNano(), VMs: []VM{}}
	for _, v := range p.vms {
		if v.until.IsZero() {
			l.VMs = append(l.VMs, v.VM)
		}
	}
	return l
}

// changed keeps the list for those who ask later; the lock is held.
func (p *Platform) changed(now time.Time) {
	p.lists = append(p.lists, p.list(now))
	p.dropLists(now)
}

func (p *Platform) dropLists(now time.Time) {
	late := now.Add(-p.scaled(p.cfg.ListLag)).UnixNano()
	for len(p.lists) > 1 && p.lists[1].AtUnixNano <= late {
		p.lists = p.lists[1:]
	}
}

func (p *Platform) handleVMs(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.dropLists(now)
	if len(p.lists) == 0 {
		return c.JSON(http.StatusOK, vmList{AtUnixNano: now.UnixNano(), VMs: []VM{}})
	}
	l := p.lists[0]
	// The list is as old as the lag, or as its last change when that was later.
	l.AtUnixNano = max(l.AtUnixNano, now.Add(-p.scaled(p.cfg.ListLag)).UnixNano())
	return c.JSON(http.StatusOK, l)
}

func (p *Platform) handleTrueVMs(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.list(time.Now()))
}

func (p *Platform) find(id string) *vm {
	for _, v := range p.vms {
		if v.ID == id && v.until.IsZero() {
			return v
		}
	}
	return nil
}

// leave announces the end of a VM and ends it after the notice; the lock is
// held.
func (p *Platform) leave(v *vm, notice time.Duration, why string) {
	if v.State == stateLeaving {
		return
	}
	now := time.Now()
	p.record(sqrecord.Entry{Kind: sqrecord.VMLeaving, Argument: v.ID, Detail: why})
	if notice > 0 {
		v.State = stateLeaving
		v.LeavesUnixNano = now.Add(notice).UnixNano()
		p.changed(now)
	}
	time.AfterFunc(notice, func() { p.gone(v) })
}

func (p *Platform) gone(v *vm) {
	p.mu.Lock()
	if !v.until.IsZero() {
		p.mu.Unlock()
		return
	}
	now := time.Now()
	v.until = now
	p.changed(now)
	p.mu.Unlock()
	p.cfg.Host.StopEngine(v.ID)
	p.record(sqrecord.Entry{Kind: sqrecord.VMGone, Argument: v.ID})
}

type leaveRequest struct {
	VM           string `json:"vm"`
	NoticeMillis int    `json:"noticeMillis"`
}

// handleLeave withdraws one VM; its notice is not scaled.
func (p *Platform) handleLeave(c echo.Context) error {
	var q leaveRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.find(q.VM)
	if v == nil {
		return c.NoContent(http.StatusNotFound)
	}
	p.leave(v, time.Duration(q.NoticeMillis)*time.Millisecond, "withdrawn")
	return c.NoContent(http.StatusNoContent)
}

type advertiseRequest struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// handleAdvertise changes the address in the list, to put a proxy between.
func (p *Platform) handleAdvertise(c echo.Context) error {
	var q advertiseRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.find(q.VM)
	if v == nil {
		return c.NoContent(http.StatusNotFound)
	}
	v.Address = q.Address
	p.lists = nil
	p.changed(time.Now())
	return c.NoContent(http.StatusNoContent)
}
