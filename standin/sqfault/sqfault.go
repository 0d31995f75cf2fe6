// Package sqfault lets a test tell a stand-in to misbehave.
package sqfault

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqserver"
)

// Kind is a way to misbehave.
type Kind string

// Kinds of faults.
const (
	// Reset resets the connection at the phase.
	Reset Kind = "reset"
	// Hang sends nothing from the phase on and keeps the connection.
	Hang Kind = "hang"
	// Delay waits at the phase, then goes on.
	Delay Kind = "delay"
	// Truncated ends the answer in order, but before its end.
	Truncated Kind = "cut"
	// Malformed sends text that is not the protocol's.
	Malformed Kind = "malformed"
	// Endless goes on sending beyond the answer's end.
	Endless Kind = "endless"
	// Oversized sends one huge event or body.
	Oversized Kind = "oversized"
	// WrongStream sends another request's stream from the middle on.
	WrongStream Kind = "crossed"
	// DuplicatedEvents sends each event twice.
	DuplicatedEvents Kind = "doubled"
	// SkippedToken leaves out one token.
	SkippedToken Kind = "skipped"
	// Refused refuses the order; only at OnExport and OnImport.
	Refused Kind = "refused"
)

// Phase is a point in an answer.
type Phase string

// Phases of an answer.
const (
	// BeforeRun is before a plain service carries the call out.
	BeforeRun       Phase = "beforeRun"
	BeforeFirstByte Phase = "beforeFirstByte"
	InHeaders       Phase = "inHeaders"
	MidStream       Phase = "midStream"
	BeforeLastEvent Phase = "beforeLastEvent"
	// OnKVExport and OnImport are where an engine gives and takes a KV cache; faults
	// there meet no other requests.
	OnKVExport Phase = "onExport"
	OnKVImport Phase = "onImport"
)

// Fault is one fault for some of the requests to come.
type Fault struct {
	Kind  Kind  `json:"kind"`
	Phase Phase `json:"phase"`
	// Count is the number of requests that are affected; 0 means all until cleared.
	Count       int `json:"count"`
	DelayMillis int `json:"delayMillis"`
	// SizeBytes is the size of an oversized answer.
	SizeBytes int `json:"sizeBytes"`
}

// Is reports whether f is of the kind and at the phase. A fault without a phase
// is at every one.
func (f Fault) Is(kind Kind, phase Phase) bool {
	return f.Kind == kind && (f.Phase == phase || f.Phase == "")
}

// Delay returns the time that a Delay fault waits.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// Injector holds the faults that a test asked for and whether the stand-in is
// paused. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults []Fault
	resume chan struct{}
	taken  int
}

// NewInjector returns a plan without faults.
func NewInjector() *Injector { return &Injector{} }

// Add adds a fault.
func (p *Injector) Add(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, f)
}

// Clear removes all faults and ends a pause.
func (p *Injector) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = nil
	p.endPause()
}

// NextFault returns the fault for the next request; its Kind is empty when there is
// none.
func (p *Injector) NextFault() Fault {
	return p.take(func(f Fault) bool { return f.Phase != OnKVExport && f.Phase != OnKVImport })
}

// NextFaultAt returns the fault for the next order of a KV phase.
func (p *Injector) NextFaultAt(phase Phase) Fault {
	return p.take(func(f Fault) bool { return f.Phase == phase })
}

func (p *Injector) take(meets func(Fault) bool) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, f := range p.faults {
		if !meets(f) {
			continue
		}
		p.taken++
		if f.Count == 1 {
			p.faults = append(p.faults[:i], p.faults[i+1:]...)
		} else if f.Count > 0 {
			p.faults[i].Count--
		}
		return f
	}
	return Fault{}
}

// Pause stops the stand-in until Resume.
func (p *Injector) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

// Resume ends a pause.
func (p *Injector) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endPause()
}

func (p *Injector) endPause() {
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// Resumed returns a channel that closes when the pause ends, or nil when there
// is none.
func (p *Injector) Resumed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resume
}

// WaitWhilePaused returns when the stand-in is not paused or done closes.
func (p *Injector) WaitWhilePaused(done <-chan struct{}) {
	resumed := p.Resumed()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-done:
	}
}

// RegisterRoutes adds the control routes of the plan. changed, if not nil, is called
// after each change.
func (p *Injector) RegisterRoutes(e *echo.Echo, changed func(string)) {
	tell := func(what string) {
		if changed != nil {
			changed(what)
		}
	}
	e.POST("/standin/fault", func(c echo.Context) error {
		var f Fault
		if err := sqserver.Decode(c, &f); err != nil {
			return err
		}
		p.Add(f)
		tell(string(f.Kind) + " " + string(f.Phase))
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/clear", func(c echo.Context) error {
		p.Clear()
		tell("clear")
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/pause", func(c echo.Context) error {
		p.Pause()
		tell("pause")
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/resume", func(c echo.Context) error {
		p.Resume()
		tell("resume")
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/standin/faults", func(c echo.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		return c.JSON(http.StatusOK, status{Taken: p.taken, Waiting: p.faults, Paused: p.resume != nil})
	})
}

type status struct {
	// Taken counts the requests that met a fault.
	Taken   int     `json:"taken"`
	Waiting []Fault `json:"waiting"`
	Paused  bool    `json:"paused"`
}
