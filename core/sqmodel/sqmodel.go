// Package sqmodel plans which model and version is loaded on which engine. Every
// declared model is to be served in two zones, a new version is rolled out engine
// by engine, and engines follow demand no faster than the weight store can
// deliver the weights. The adapters of a model belong to its version: a new set of
// adapters is a new version.
package sqmodel

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqroute"
)

// ModelConfig holds the parts of a Model.
type ModelConfig struct {
	Name    string
	Version string
	// Adapters are loaded with the version.
	Adapters []string
	// WeightBytes is the size that one load reads from the weight store, 0 if
	// unknown.
	WeightBytes uint64
	// RequiredEngines is the demand for the model, as the number of engines that
	// it would fully occupy.
	RequiredEngines float64
}

// Model is a declared model with its demand.
type Model struct {
	cfg ModelConfig
}

// NewModel returns the model that cfg describes.
func NewModel(cfg ModelConfig) Model { return Model{cfg: cfg} }

// EngineConfig holds the parts of an Engine.
type EngineConfig struct {
	ID   string
	Zone string
	Role sqroute.Role
	// Loaded are "model@version" names, the oldest first. A full engine evicts the
	// oldest to load a new one.
	Loaded []string
	// HasOpenOrder is true while an order to the engine is open. Loading is the
	// "model@version" that it loads by that order, or "".
	HasOpenOrder bool
	Loading      string
	// Leaving is true for an engine that leaves the fleet or drains permanently.
	Leaving bool
	// RunningRequests is the number of requests that run on the engine.
	RunningRequests int
}

// Engine is an engine as the lease holder knows it.
type Engine struct {
	cfg EngineConfig
}

// NewEngine returns the engine that cfg describes.
func NewEngine(cfg EngineConfig) Engine { return Engine{cfg: cfg} }

// ViewConfig holds the parts of a View.
type ViewConfig struct {
	Models  []Model
	Engines []Engine
	// WeightStoreBytesPerSecond is the weight store's total rate over all engines
	// that read from it; 0 means no limit.
	WeightStoreBytesPerSecond float64
}

// View is the input of a planner: the declared models and the engines.
type View struct {
	cfg ViewConfig
}

// NewView returns the view that cfg describes.
func NewView(cfg ViewConfig) View { return View{cfg: cfg} }

// models returns the declared models, sorted by name.
func (v *View) models() []ModelConfig {
	all := make([]ModelConfig, 0, len(v.cfg.Models))
	for _, m := range v.cfg.Models {
		all = append(all, m.cfg)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// engines returns the engines that are not leaving, sorted by ID.
func (v *View) engines() []EngineConfig {
	all := make([]EngineConfig, 0, len(v.cfg.Engines))
	for _, e := range v.cfg.Engines {
		if !e.cfg.Leaving {
			all = append(all, e.cfg)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// LoadOrder is an order to one engine to load a model.
type LoadOrder struct {
	engine string
	model  string
	reason string
}

// Engine returns the engine's ID.
func (l LoadOrder) Engine() string { return l.engine }

// Model returns the "model@version" to load.
func (l LoadOrder) Model() string { return l.model }

// Reason returns sentences with the figures that led to the order.
func (l LoadOrder) Reason() string { return l.reason }

// Plan is the decision of a planner.
type Plan struct {
	orders   []LoadOrder
	problems []string
}

// LoadOrders returns the orders to open now.
func (p Plan) LoadOrders() []LoadOrder { return p.orders }

// Problems returns a sentence for each model that cannot be served, with the
// reason.
func (p Plan) Problems() []string { return p.problems }

// fullName returns "model@version", the name by which engines load the model.
func (m *ModelConfig) fullName() string { return m.Name + "@" + m.Version }

// modelName returns the name of the model in a "model@version".
func modelName(loaded string) string {
	name, _, _ := strings.Cut(loaded, "@")
	return name
}

// has returns whether the engine has any version of the model.
func (e *EngineConfig) has(name string) bool {
	for _, l := range e.Loaded {
		if modelName(l) == name {
			return true
		}
	}
	return false
}

// hasVersion returns whether the engine has that "model@version".
func (e *EngineConfig) hasVersion(fullName string) bool {
	for _, l := range e.Loaded {
		if l == fullName {
			return true
		}
	}
	return false
}

// Fixed is the baseline policy: it assigns the declared models round-robin to the
// engines that have none of them, and orders nothing else.
type Fixed struct{}

// NewFixed returns the baseline policy.
func NewFixed() *Fixed { return &Fixed{} }

// Plan returns one load for each engine without an open order that has no
// declared model.
func (*Fixed) Plan(_ time.Time, view View) Plan {
	var plan Plan
	models := view.models()
	if len(models) == 0 {
		return plan
	}
	for i, e := range view.engines() {
		if e.HasOpenOrder || e.hasDeclaredModel(models) {
			continue
		}
		m := models[i%len(models)]
		plan.orders = append(plan.orders, LoadOrder{
			engine: e.ID, model: m.fullName(),
			reason: "Engine " + e.ID + " has no declared model; it is number " + strconv.Itoa(i+1) + " and takes " + m.fullName() + " in turn.",
		})
	}
	return plan
}

// hasDeclaredModel returns whether the engine has any of the models.
func (e *EngineConfig) hasDeclaredModel(models []ModelConfig) bool {
	for i := range models {
		if e.has(models[i].Name) {
			return true
		}
	}
	return false
}
