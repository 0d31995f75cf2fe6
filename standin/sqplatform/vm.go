package sqplatform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// KindEngine is the kind of a VM that runs a model engine. The kind of any other
// VM is the name of the service that it runs.
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

// vm is a present or removed VM.
type vm struct {
	VM
	startedAt time.Time
	// endedAt is the time of the VM's removal; zero while the VM is present.
	endedAt time.Time
}

// vmList is the list of VMs at one time.
type vmList struct {
	AtUnixNano int64 `json:"atUnixNano"`
	VMs        []VM  `json:"vms"`
}

// AddVM adds a running VM to the list.
func (p *Platform) AddVM(v VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.State = stateLive
	now := time.Now()
	p.vms = append(p.vms, &vm{VM: v, startedAt: now})
	detail := v.Zone + " dear"
	if v.Spot {
		detail = v.Zone + " cheap"
	}
	p.record(sqrecord.Entry{Kind: sqrecord.VMStarted, Argument: v.ID, Detail: detail})
	p.storeList(now)
}

// PublishList makes the current list visible without the lag, once a fleet has
// started.
func (p *Platform) PublishList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listHistory = nil
	p.storeList(time.Now())
}

func (p *Platform) currentList(now time.Time) vmList {
	l := vmList{AtUnixNano: now.UnixNano(), VMs: []VM{}}
	for _, v := range p.vms {
		if v.endedAt.IsZero() {
			l.VMs = append(l.VMs, v.VM)
		}
	}
	return l
}

// storeList stores the current list, which is served after the lag. The caller
// holds the lock.
func (p *Platform) storeList(now time.Time) {
	p.listHistory = append(p.listHistory, p.currentList(now))
	p.pruneLists(now)
}

func (p *Platform) pruneLists(now time.Time) {
	cutoff := now.Add(-p.scaled(p.cfg.ListLag)).UnixNano()
	for len(p.listHistory) > 1 && p.listHistory[1].AtUnixNano <= cutoff {
		p.listHistory = p.listHistory[1:]
	}
}

func (p *Platform) handleVMs(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.pruneLists(now)
	if len(p.listHistory) == 0 {
		return c.JSON(http.StatusOK, vmList{AtUnixNano: now.UnixNano(), VMs: []VM{}})
	}
	l := p.listHistory[0]
	// The list is dated one lag ago, or at its last change if that is later.
	l.AtUnixNano = max(l.AtUnixNano, now.Add(-p.scaled(p.cfg.ListLag)).UnixNano())
	return c.JSON(http.StatusOK, l)
}

func (p *Platform) handleCurrentVMs(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.currentList(time.Now()))
}

func (p *Platform) find(id string) *vm {
	for _, v := range p.vms {
		if v.ID == id && v.endedAt.IsZero() {
			return v
		}
	}
	return nil
}

// startRemoval lists a VM as leaving and removes it after the notice. The caller
// holds the lock.
func (p *Platform) startRemoval(v *vm, notice time.Duration, reason string) {
	if v.State == stateLeaving {
		return
	}
	now := time.Now()
	p.record(sqrecord.Entry{Kind: sqrecord.VMLeaving, Argument: v.ID, Detail: reason})
	if notice > 0 {
		v.State = stateLeaving
		v.LeavesUnixNano = now.Add(notice).UnixNano()
		p.storeList(now)
	}
	time.AfterFunc(notice, func() { p.finishRemoval(v) })
}

func (p *Platform) finishRemoval(v *vm) {
	p.mu.Lock()
	if !v.endedAt.IsZero() {
		p.mu.Unlock()
		return
	}
	now := time.Now()
	v.endedAt = now
	p.storeList(now)
	p.mu.Unlock()
	p.cfg.Host.StopEngine(v.ID)
	p.record(sqrecord.Entry{Kind: sqrecord.VMRemoved, Argument: v.ID})
}

type leaveRequest struct {
	VM           string `json:"vm"`
	NoticeMillis int    `json:"noticeMillis"`
}

// handleLeave removes one VM after a notice, which is not scaled.
func (p *Platform) handleLeave(c echo.Context) error {
	var q leaveRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	return p.changeVM(c, q.VM, func(v *vm) {
		p.startRemoval(v, time.Duration(q.NoticeMillis)*time.Millisecond, "withdrawn")
	})
}

// changeVM calls change with the VM of a request, or responds that there is none.
func (p *Platform) changeVM(c echo.Context, id string, change func(v *vm)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.find(id)
	if v == nil {
		return c.NoContent(http.StatusNotFound)
	}
	change(v)
	return c.NoContent(http.StatusNoContent)
}

type advertiseRequest struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// handleAdvertise changes a VM's address in the list, so that a test can put a
// proxy in front of the VM.
func (p *Platform) handleAdvertise(c echo.Context) error {
	var q advertiseRequest
	if err := sqserver.Decode(c, &q); err != nil {
		return err
	}
	return p.changeVM(c, q.VM, func(v *vm) {
		v.Address = q.Address
		p.listHistory = nil
		p.storeList(time.Now())
	})
}
