package sqrole

import (
	"sort"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

// Defaults of Config.
const (
	DefaultPrefillRate = sqroute.DefaultPrefillRate
	// DefaultDecodeRate is that of a full batch, in tokens a second.
	DefaultDecodeRate        = 500
	DefaultMinChangeInterval = 6
	DefaultHorizon           = 20
	DefaultMinGain           = 0.7
	DefaultBacklogDrainTime  = 10 * time.Second
	DefaultRoleChangeTime    = 5 * time.Second
	DefaultEnginesPerChange  = 6
)

// Config sets up a planner. Fields left at zero take the defaults.
type Config struct {
	// MinChangeInterval is the least time between two changes of one engine, and Horizon
	// the time over which a change has to pay, both in role changes.
	MinChangeInterval float64
	Horizon           float64
	// MinGain is the least gain of a change, as a part of what one engine of
	// the model carries.
	MinGain float64
	// BacklogDrainTime is the time in which queued work should be done.
	BacklogDrainTime time.Duration
	// EnginesPerChange bounds the changes at once: one of so many engines of the model.
	EnginesPerChange int
}

func (cfg Config) withDefaults() Config {
	if cfg.MinChangeInterval <= 0 {
		cfg.MinChangeInterval = DefaultMinChangeInterval
	}
	if cfg.Horizon <= 0 {
		cfg.Horizon = DefaultHorizon
	}
	if cfg.MinGain <= 0 {
		cfg.MinGain = DefaultMinGain
	}
	if cfg.BacklogDrainTime <= 0 {
		cfg.BacklogDrainTime = DefaultBacklogDrainTime
	}
	if cfg.EnginesPerChange <= 0 {
		cfg.EnginesPerChange = DefaultEnginesPerChange
	}
	return cfg
}

// Planned changes roles where the expected gain over the horizon outweighs the
// engine time that the change takes. It is not safe for concurrent use.
type Planned struct {
	cfg    Config
	models map[string]*history
	// targets are the roles that were ordered.
	targets map[string]sqroute.Role
}

// history is what was seen of one model's demand, and its last change.
type history struct {
	prefill   forecast
	decode    forecast
	from, to  sqroute.Role
	changedAt time.Time
}

// NewPlanned returns a planner that has seen nothing.
func NewPlanned(cfg Config) *Planned {
	return &Planned{
		cfg:     cfg.withDefaults(),
		models:  make(map[string]*history),
		targets: make(map[string]sqroute.Role),
	}
}

// Plan returns the changes to order now.
func (p *Planned) Plan(now time.Time, view View) Plan {
	var plan Plan
	engines := p.withTargets(view.cfg.Engines)
	demands := append([]Demand(nil), view.cfg.Demands...)
	sort.Slice(demands, func(i, j int) bool { return demands[i].cfg.Model < demands[j].cfg.Model })
	for i := range demands {
		p.planModel(now, &view, engines, &demands[i].cfg, &plan)
	}
	return plan
}

// withTargets fills in the roles that engines are changing to. An engine whose
// order ended is forgotten.
func (p *Planned) withTargets(engines []Engine) []EngineConfig {
	known := make([]EngineConfig, len(engines))
	targets := make(map[string]sqroute.Role)
	for i := range engines {
		known[i] = engines[i].cfg
		e := &known[i]
		to, ok := p.targets[e.ID]
		if ok && e.ChangingRole {
			e.TargetRole = to
			targets[e.ID] = to
		}
	}
	p.targets = targets
	return known
}

func (p *Planned) planModel(now time.Time, view *View, engines []EngineConfig, d *DemandConfig, plan *Plan) {
	h, ok := p.models[d.Model]
	if !ok {
		h = &history{}
		p.models[d.Model] = h
	}
	s := newSituation(now, view, engines, d.Model, p.cfg)
	w := demand(d, p.cfg.BacklogDrainTime)
	h.prefill.add(now, w.prefill, s.lead)
	h.decode.add(now, w.decode, s.lead)
	allowed := (s.size()+p.cfg.EnginesPerChange-1)/p.cfg.EnginesPerChange - s.changing.total()
	for range max(0, allowed) {
		m, ok := s.best(h)
		if !ok {
			break
		}
		c := s.apply(m, h)
		p.targets[c.engine] = c.to
		plan.changes = append(plan.changes, c)
	}
	plan.lines = append(plan.lines, s.summary(d.Model, h))
}

// Times, in seconds, that work is at the engines when nothing waits.
const (
	usualPrefill = 0.5
	usualDecode  = 5
)

// demand returns the work of now in engines: what arrives, and what waits beyond
// the usual spread over the time in which it should be done.
func demand(d *DemandConfig, backlog time.Duration) work {
	prefillRate, decodeRate := d.EnginePrefillRate, d.EngineDecodeRate
	if prefillRate <= 0 {
		prefillRate = DefaultPrefillRate
	}
	if decodeRate <= 0 {
		decodeRate = DefaultDecodeRate
	}
	prefill := max(0, d.PrefillOutstanding-usualPrefill*d.PrefillArrivalRate)
	decode := max(0, d.DecodeOutstanding-usualDecode*d.DecodeArrivalRate)
	return work{
		prefill: (d.PrefillArrivalRate + prefill/backlog.Seconds()) / prefillRate,
		decode:  (d.DecodeArrivalRate + decode/backlog.Seconds()) / decodeRate,
	}
}

// goodputShare is the share of a deployment's values that is on time answers.
func goodputShare(w *sqcommand.Weights) float64 {
	sum := w.GetGoodput() + w.GetWorstTeam() + w.GetCost() + w.GetReports()
	if sum <= 0 {
		return 0.5
	}
	return (w.GetGoodput() + w.GetWorstTeam()) / sum
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
