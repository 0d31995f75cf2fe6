package sqrole

import (
	"sort"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqroute"
)

// Defaults of Config, DemandConfig and ViewConfig, in the units of their fields.
const (
	DefaultPrefillRate = sqroute.DefaultPrefillRate
	// DefaultDecodeRate is the rate of an engine with a full batch, in tokens per
	// second.
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
	// MinChangeInterval is the shortest time between two role changes of one
	// engine, and Horizon the time over which a change has to pay off. Both are in
	// units of the role change time.
	MinChangeInterval float64
	Horizon           float64
	// MinGain is the smallest gain for which a change is ordered, as a share of
	// the load that one engine of the model carries.
	MinGain float64
	// BacklogDrainTime is the time in which queued work should be finished.
	BacklogDrainTime time.Duration
	// EnginesPerChange limits the role changes in progress to one for each
	// EnginesPerChange engines of the model, rounded up.
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

// Planner changes the role of an engine if the expected gain over the horizon
// outweighs the engine time that is lost during the change. It is not safe for
// concurrent use.
type Planner struct {
	cfg       Config
	histories map[string]*modelHistory
	// targetRoles holds, by engine ID, the roles of ordered changes in progress.
	targetRoles map[string]sqroute.Role
}

// modelHistory holds the demand forecasts of one model and its last role change.
type modelHistory struct {
	prefill          forecast
	decode           forecast
	lastFrom, lastTo sqroute.Role
	lastChangeAt     time.Time
}

// NewPlanner returns a planner without any history of the demand.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg:         cfg.withDefaults(),
		histories:   make(map[string]*modelHistory),
		targetRoles: make(map[string]sqroute.Role),
	}
}

// Plan returns the role changes to order now.
func (p *Planner) Plan(now time.Time, view View) Plan {
	var plan Plan
	engines := p.withTargetRoles(view.cfg.Engines)
	demands := append([]Demand(nil), view.cfg.Demands...)
	sort.Slice(demands, func(i, j int) bool { return demands[i].cfg.Model < demands[j].cfg.Model })
	for i := range demands {
		p.planModel(now, &view, engines, &demands[i].cfg, &plan)
	}
	return plan
}

// withTargetRoles returns the engines' configurations with the target roles that
// this planner has ordered. It forgets the target role of an engine that is no
// longer changing its role.
func (p *Planner) withTargetRoles(engines []Engine) []EngineConfig {
	configs := make([]EngineConfig, len(engines))
	targetRoles := make(map[string]sqroute.Role)
	for i := range engines {
		configs[i] = engines[i].cfg
		e := &configs[i]
		target, ok := p.targetRoles[e.ID]
		if ok && e.ChangingRole {
			e.TargetRole = target
			targetRoles[e.ID] = target
		}
	}
	p.targetRoles = targetRoles
	return configs
}

// planModel adds the role changes for one model and their explanation to plan.
func (p *Planner) planModel(now time.Time, view *View, engines []EngineConfig, d *DemandConfig, plan *Plan) {
	h, ok := p.histories[d.Model]
	if !ok {
		h = &modelHistory{}
		p.histories[d.Model] = h
	}
	s := newPlanState(now, view, engines, d.Model, p.cfg)
	w := workInEngines(d, p.cfg.BacklogDrainTime)
	h.prefill.add(now, w.prefill, s.roleChangeTime)
	h.decode.add(now, w.decode, s.roleChangeTime)
	maxChanges := (s.count()+p.cfg.EnginesPerChange-1)/p.cfg.EnginesPerChange - s.changing.total()
	for range max(0, maxChanges) {
		m, ok := s.bestMove(h)
		if !ok {
			break
		}
		c := s.apply(m, h)
		p.targetRoles[c.engine] = c.to
		plan.changes = append(plan.changes, c)
	}
	plan.explanation = append(plan.explanation, s.summary(d.Model, h))
}

// Time that work spends on an engine when nothing is queued. The arrival rate
// times this time is the work that is outstanding without any backlog.
const (
	prefillServiceSeconds = 0.5
	decodeServiceSeconds  = 5
)

// workInEngines converts a demand to the number of engines that it occupies: the
// arrival rate plus the rate at which the backlog drains within
// backlogDrainTime.
func workInEngines(d *DemandConfig, backlogDrainTime time.Duration) work {
	prefillRate, decodeRate := d.EnginePrefillRate, d.EngineDecodeRate
	if prefillRate <= 0 {
		prefillRate = DefaultPrefillRate
	}
	if decodeRate <= 0 {
		decodeRate = DefaultDecodeRate
	}
	prefillBacklog := max(0, d.PrefillOutstanding-prefillServiceSeconds*d.PrefillArrivalRate)
	decodeBacklog := max(0, d.DecodeOutstanding-decodeServiceSeconds*d.DecodeArrivalRate)
	return work{
		prefill: (d.PrefillArrivalRate + prefillBacklog/backlogDrainTime.Seconds()) / prefillRate,
		decode:  (d.DecodeArrivalRate + decodeBacklog/backlogDrainTime.Seconds()) / decodeRate,
	}
}

// goodputShare returns the share of the weights, from 0 to 1, that is on answers
// being on time.
func goodputShare(w *sqcommand.Weights) float64 {
	sum := w.GetGoodput() + w.GetWorstTeam() + w.GetCost() + w.GetReports()
	if sum <= 0 {
		return 0.5
	}
	return (w.GetGoodput() + w.GetWorstTeam()) / sum
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
