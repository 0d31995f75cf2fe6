// Package sqrole plans how many engines of a model run prefill, decode or both.
// The plan follows shifts of the mix of prefill and decode work, but not noise:
// each role change makes an engine unavailable while it drains and for some
// seconds after that.
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
	// ChangingRole is true while an order to change the engine's role is open;
	// TargetRole is the role after the change.
	ChangingRole bool
	TargetRole   sqroute.Role
	// HasOpenOrder is true while any order for the engine is open. Unless the
	// order is a role change, the engine keeps its role and no role change may
	// be ordered for it.
	HasOpenOrder bool
	// Unschedulable is true for an engine that takes no new requests because it
	// is draining or leaving the fleet.
	Unschedulable bool
	// RunningRequests is the number of requests that the engine is running and
	// that a role change has to drain.
	RunningRequests int
	// RoleChangedAt is when the engine's role last changed.
	RoleChangedAt time.Time
}

// Engine is one engine as the lease holder knows it.
type Engine struct {
	cfg EngineConfig
}

// NewEngine returns the engine that cfg describes.
func NewEngine(cfg EngineConfig) Engine { return Engine{cfg: cfg} }

// DemandConfig holds the parts of a Demand. Rates are in tokens per second.
// Arrival rates are measured over the last few seconds and summed over all
// entries.
type DemandConfig struct {
	Model string
	// PrefillArrivalRate counts the prompt tokens that are not cached.
	PrefillArrivalRate float64
	DecodeArrivalRate  float64
	// PrefillOutstanding and DecodeOutstanding are the tokens of requests that
	// are queued or running. The part that is always running at the given arrival
	// rate does not count as backlog.
	PrefillOutstanding float64
	DecodeOutstanding  float64
	// EnginePrefillRate and EngineDecodeRate are the throughput of one engine
	// that runs only prefill or only decode; 0 means DefaultPrefillRate and
	// DefaultDecodeRate.
	EnginePrefillRate float64
	EngineDecodeRate  float64
}

// Demand is the current demand for one model.
type Demand struct {
	cfg DemandConfig
}

// NewDemand returns the demand that cfg describes.
func NewDemand(cfg DemandConfig) Demand { return Demand{cfg: cfg} }

// ViewConfig holds the parts of a View.
type ViewConfig struct {
	Engines []Engine
	Demands []Demand
	// RoleChangeTime is how long an engine is unavailable for a role change after
	// it has drained; 0 means DefaultRoleChangeTime.
	RoleChangeTime time.Duration
	// Weights are the priorities of the deployment; nil means equal weights.
	Weights *sqcommand.Weights
}

// View is the input of a planner: the engines and the current demands.
type View struct {
	cfg ViewConfig
}

// NewView returns the view that cfg describes.
func NewView(cfg ViewConfig) View { return View{cfg: cfg} }

// RoleChange is an order to change the role of one engine.
type RoleChange struct {
	engine string
	model  string
	from   sqroute.Role
	to     sqroute.Role
	reason string
}

// Engine returns the ID of the engine.
func (c RoleChange) Engine() string { return c.engine }

// Model returns the model for whose demand the role changes.
func (c RoleChange) Model() string { return c.model }

// From returns the engine's current role.
func (c RoleChange) From() sqroute.Role { return c.from }

// To returns the engine's new role.
func (c RoleChange) To() sqroute.Role { return c.to }

// Reason returns sentences that explain the change, with its figures.
func (c RoleChange) Reason() string { return c.reason }

// Plan is the result of a planner.
type Plan struct {
	changes     []RoleChange
	explanation []string
}

// RoleChanges returns the role changes to order now.
func (p Plan) RoleChanges() []RoleChange { return p.changes }

// Explanation returns sentences that explain the plan, also when it has no changes.
func (p Plan) Explanation() []string { return p.explanation }

// Static never changes a role. It is the first of two baselines for comparison.
type Static struct{}

// NewStatic returns the baseline.
func NewStatic() *Static { return &Static{} }

// Plan returns a plan without changes.
func (*Static) Plan(time.Time, View) Plan {
	return Plan{explanation: []string{"Roles are static."}}
}
