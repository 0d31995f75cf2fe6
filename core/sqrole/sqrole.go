// Package sqrole plans how many engines of a model prefill, decode or do both,
// so that a swing of the mix is followed and noise is not: each change takes an
// engine away for its drain and for seconds more.
package sqrole

import (
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

// EngineConfig holds the parts of an Engine.
type EngineConfig struct {
	ID    string
	Model string
	Role  sqroute.Role
	// ChangingRole is true while an order for its role is open, and Target is the
	// role that it then gets.
	ChangingRole bool
	TargetRole   sqroute.Role
	// HasOpenOrder is true while an order of another kind is open: it keeps its role,
	// and none may be ordered.
	HasOpenOrder bool
	// Unschedulable is true for an engine that drains or leaves.
	Unschedulable bool
	// RunningRequests is the number of its requests, which a change would drain.
	RunningRequests int
	// RoleChangedAt is when its role last changed.
	RoleChangedAt time.Time
}

// Engine is one engine as the holder knows it.
type Engine struct {
	cfg EngineConfig
}

// NewEngine returns the engine that cfg describes.
func NewEngine(cfg EngineConfig) Engine { return Engine{cfg: cfg} }

// DemandConfig holds the parts of a Demand. Rates are tokens a second over the
// last few seconds, from all entries.
type DemandConfig struct {
	Model string
	// PrefillArrivalRate are prompt tokens that are not cached.
	PrefillArrivalRate float64
	DecodeArrivalRate  float64
	// PrefillOutstanding and DecodeQueued are tokens that wait or run now. What
	// runs anyway at that rate of arrival doesn't count as a backlog.
	PrefillOutstanding float64
	DecodeOutstanding  float64
	// EnginePrefillRate and DecodeRate are what one engine does in a second when it
	// does nothing else; 0 takes the defaults.
	EnginePrefillRate float64
	EngineDecodeRate  float64
}

// Demand is the work for one model.
type Demand struct {
	cfg DemandConfig
}

// NewDemand returns the demand that cfg describes.
func NewDemand(cfg DemandConfig) Demand { return Demand{cfg: cfg} }

// ViewConfig holds the parts of a View.
type ViewConfig struct {
	Engines []Engine
	Demands []Demand
	// RoleChangeTime is how long a change takes an engine away after its drain.
	RoleChangeTime time.Duration
	// Weights are what the deployment values; nil weighs all alike.
	Weights *sqcommand.Weights
}

// View is what a planner decides on.
type View struct {
	cfg ViewConfig
}

// NewView returns the view that cfg describes.
func NewView(cfg ViewConfig) View { return View{cfg: cfg} }

// Change is an order to one engine.
type Change struct {
	engine string
	model  string
	from   sqroute.Role
	to     sqroute.Role
	reason string
}

// Engine returns the engine's identity.
func (c Change) Engine() string { return c.engine }

// Model returns the model whose work moves.
func (c Change) Model() string { return c.model }

// From returns the role it has.
func (c Change) From() sqroute.Role { return c.from }

// To returns the role it is to have.
func (c Change) To() sqroute.Role { return c.to }

// Reason returns a sentence with the figures that decided.
func (c Change) Reason() string { return c.reason }

// Plan is what a planner decided.
type Plan struct {
	changes []Change
	lines   []string
}

// Changes returns the orders to give now.
func (p Plan) Changes() []Change { return p.changes }

// Lines returns why there are these changes, or none.
func (p Plan) Lines() []string { return p.lines }

// Static changes nothing. It is the first baseline.
type Static struct{}

// NewStatic returns the baseline.
func NewStatic() *Static { return &Static{} }

// Plan returns no change.
func (*Static) Plan(time.Time, View) Plan {
	return Plan{lines: []string{"Roles are static."}}
}
