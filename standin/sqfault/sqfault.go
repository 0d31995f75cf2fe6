// Package sqfault injects faults into a stand-in at the request of a test.
package sqfault

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqserver"
)

// Kind is the way in which a stand-in deviates from its correct behavior.
type Kind string

// Kinds of faults.
const (
	// Reset resets the connection at the phase.
	Reset Kind = "reset"
	// Hang sends nothing after the phase and keeps the connection open.
	Hang Kind = "hang"
	// Delay waits at the phase, then continues.
	Delay Kind = "delay"
	// Truncated closes the response cleanly before it is complete.
	Truncated Kind = "cut"
	// Malformed sends text that violates the protocol.
	Malformed Kind = "malformed"
	// Endless keeps sending tokens after the end of the answer.
	Endless Kind = "endless"
	// Oversized sends one very large event or body.
	Oversized Kind = "oversized"
	// WrongStream sends the tokens of another request from the midpoint on.
	WrongStream Kind = "crossed"
	// DuplicatedEvents sends each event twice.
	DuplicatedEvents Kind = "doubled"
	// SkippedToken omits one token.
	SkippedToken Kind = "skipped"
	// Refused rejects the transfer; it applies at OnKVExport and OnKVImport only.
	Refused Kind = "refused"
)

// Phase is a point in the handling of a request.
type Phase string

// Phases of a request.
const (
	// BeforeRun is before a plain service executes the call or the platform
	// handles the request.
	BeforeRun       Phase = "beforeRun"
	BeforeFirstByte Phase = "beforeFirstByte"
	InHeaders       Phase = "inHeaders"
	MidStream       Phase = "midStream"
	BeforeLastEvent Phase = "beforeLastEvent"
	// OnKVExport and OnKVImport are the requests by which an engine exports and
	// imports a KV cache; their faults affect no other requests.
	OnKVExport Phase = "onExport"
	OnKVImport Phase = "onImport"
)

// Fault is a fault that is injected into some of the next requests.
type Fault struct {
	Kind  Kind  `json:"kind"`
	Phase Phase `json:"phase"`
	// Count is the number of requests that are affected; 0 means all of them until Clear.
	Count       int `json:"count"`
	DelayMillis int `json:"delayMillis"`
	// SizeBytes is the size of an oversized answer.
	SizeBytes int `json:"sizeBytes"`
}

// Is reports whether f is of the kind and at the phase. A fault without a phase
// applies at every phase.
func (f Fault) Is(kind Kind, phase Phase) bool {
	return f.Kind == kind && (f.Phase == phase || f.Phase == "")
}

// Delay returns the time that a Delay fault waits.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Injector holds the faults that a test requested and whether the stand-in is
// paused. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	pending  []Fault
	resumed  chan struct{}
	injected int
}

// NewInjector returns an injector without faults.
func NewInjector() *Injector { return &Injector{} }

// Add adds a fault.
func (p *Injector) Add(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, f)
}

// Clear removes all faults and ends a pause.
func (p *Injector) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = nil
	p.endPause()
}

// NextFault returns the fault for the next request; its Kind is empty when there
// is none.
func (p *Injector) NextFault() Fault {
	return p.takeFirst(func(f Fault) bool { return f.Phase != OnKVExport && f.Phase != OnKVImport })
}

// NextFaultAt returns the fault for the next request of a KV phase.
func (p *Injector) NextFaultAt(phase Phase) Fault {
	return p.takeFirst(func(f Fault) bool { return f.Phase == phase })
}

func (p *Injector) takeFirst(matches func(Fault) bool) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, f := range p.pending {
		if !matches(f) {
			continue
		}
		p.injected++
		if f.Count == 1 {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
		} else if f.Count > 0 {
			p.pending[i].Count--
		}
		return f
	}
	return Fault{}
}

// Pause suspends the stand-in until Resume or Clear.
func (p *Injector) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (p *Injector) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endPause()
}

func (p *Injector) endPause() {
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// Resumed returns a channel that closes when the pause ends, or nil when the
// stand-in is not paused.
func (p *Injector) Resumed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed
}

// WaitWhilePaused blocks until the stand-in is not paused or canceled closes.
func (p *Injector) WaitWhilePaused(canceled <-chan struct{}) {
	resumed := p.Resumed()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-canceled:
	}
}

// RegisterRoutes adds the control routes of the injector. onChange, if not nil,
// is called with a description after each change.
func (p *Injector) RegisterRoutes(e *echo.Echo, onChange func(string)) {
	notify := func(description string) {
		if onChange != nil {
			onChange(description)
		}
	}
	e.POST("/standin/fault", func(c echo.Context) error {
		var f Fault
		if err := sqserver.Decode(c, &f); err != nil {
			return err
		}
		p.Add(f)
		notify(string(f.Kind) + " " + string(f.Phase))
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/clear", func(c echo.Context) error {
		p.Clear()
		notify("clear")
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/pause", func(c echo.Context) error {
		p.Pause()
		notify("pause")
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/resume", func(c echo.Context) error {
		p.Resume()
		notify("resume")
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/standin/faults", func(c echo.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		return c.JSON(http.StatusOK, injectorStatus{Injected: p.injected, Pending: p.pending, Paused: p.resumed != nil})
	})
}

type injectorStatus struct {
	// Injected counts the requests that had a fault injected.
	Injected int     `json:"taken"`
	Pending  []Fault `json:"waiting"`
	Paused   bool    `json:"paused"`
}
