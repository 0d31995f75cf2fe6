// Package sqmodel plans which model and version is loaded on which engine, so
// that every declared model is served in two zones, a new version comes engine
// by engine, and engines follow demand no faster than the weight store bears.
// The adapters of a model belong to its version: a new set is a new version.
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
	// WeightBytes is what one load reads from the weight store; 0 is unknown.
	WeightBytes uint64
	// RequiredEngines is the work for the model in engines that do nothing else.
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
	// Loaded are "model@version" names, the oldest first: an engine that is full
	// drops that for a new one.
	Loaded []string
	// OrderOpen is true while an order on the engine is open, and Loading is what it
	// loads then, if anything.
	OrderOpen bool
	Loading   string
	// Leaving is true for an engine that leaves, or drains for good.
	Leaving bool
	// RunningRequests is the number of its requests.
	RunningRequests int
}

// Engine is one engine as the holder knows it.
type Engine struct {
	cfg EngineConfig
}

// NewEngine returns the engine that cfg describes.
func NewEngine(cfg EngineConfig) Engine { return Engine{cfg: cfg} }

// ViewConfig holds the parts of a View.
type ViewConfig struct {
	Models  []Model
	Engines []Engine
	// WeightStoreBytesPerSecond is the weight store's rate over all readers, in bytes a second;
	// 0 leaves it out.
	WeightStoreBytesPerSecond float64
}

// View is what a planner decides on.
type View struct {
	cfg ViewConfig
}

// NewView returns the view that cfg describes.
func NewView(cfg ViewConfig) View { return View{cfg: cfg} }

// models returns the declared models by name.
func (v *View) models() []ModelConfig {
	all := make([]ModelConfig, 0, len(v.cfg.Models))
	for _, m := range v.cfg.Models {
		all = append(all, m.cfg)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// engines returns the engines that stay, by identity.
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

// LoadOrder is an order to one engine.
type LoadOrder struct {
	engine string
	model  string
	reason string
}

// Engine returns the engine's identity.
func (l LoadOrder) Engine() string { return l.engine }

// Model returns the "model@version" to load.
func (l LoadOrder) Model() string { return l.model }

// Reason returns a sentence with the figures that decided.
func (l LoadOrder) Reason() string { return l.reason }

// Plan is what a planner decided.
type Plan struct {
	loads []LoadOrder
	lines []string
}

// LoadOrders returns the orders to give now.
func (p Plan) LoadOrders() []LoadOrder { return p.loads }

// Problems returns what could not be done, and why.
func (p Plan) Problems() []string { return p.lines }

// full returns the name that engines load.
func (m *ModelConfig) full() string { return m.Name + "@" + m.Version }

// nameOf returns the model's name of a "model@version".
func nameOf(loaded string) string {
	name, _, _ := strings.Cut(loaded, "@")
	return name
}

// has returns whether the engine has the model in any version.
func (e *EngineConfig) has(name string) bool {
	for _, l := range e.Loaded {
		if nameOf(l) == name {
			return true
		}
	}
	return false
}

// hasFull returns whether the engine has the very version.
func (e *EngineConfig) hasFull(full string) bool {
	for _, l := range e.Loaded {
		if l == full {
			return true
		}
	}
	return false
}

// Fixed gives each engine that has no declared model one of them in turn, and
// does nothing else. It is the baseline.
type Fixed struct{}

// NewFixed returns the baseline.
func NewFixed() *Fixed { return &Fixed{} }

// Plan returns the loads to order now.
func (*Fixed) Plan(_ time.Time, view View) Plan {
	var plan Plan
	models := view.models()
	if len(models) == 0 {
		return plan
	}
	for i, e := range view.engines() {
		if e.OrderOpen || e.hasDeclared(models) {
			continue
		}
		m := models[i%len(models)]
		plan.loads = append(plan.loads, LoadOrder{
			engine: e.ID, model: m.full(),
			reason: "Engine " + e.ID + " has no declared model; it is number " + strconv.Itoa(i+1) + " and takes " + m.full() + " in turn.",
		})
	}
	return plan
}

func (e *EngineConfig) hasDeclared(models []ModelConfig) bool {
	for i := range models {
		if e.has(models[i].Name) {
			return true
		}
	}
	return false
}
