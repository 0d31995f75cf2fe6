package sqrole

import (
	"math"
	"slices"
	"time"

	"sequoiadock/core/sqroute"
)

// Reactive changes roles whenever the current mix of prefill and decode work
// calls for another split. It is the second of two baselines for comparison.
type Reactive struct{}

// NewReactive returns the baseline.
func NewReactive() *Reactive { return &Reactive{} }

// Plan returns all role changes that the current mix calls for.
func (*Reactive) Plan(now time.Time, view View) Plan {
	var plan Plan
	for i := range view.cfg.Demands {
		d := &view.cfg.Demands[i].cfg
		engines := make([]EngineConfig, len(view.cfg.Engines))
		for j := range engines {
			engines[j] = view.cfg.Engines[j].cfg
		}
		s := newPlanState(now, &view, engines, d.Model, Config{}.withDefaults())
		n := s.available.total()
		w := workInEngines(d, DefaultBacklogDrainTime)
		if n < 2 || w.prefill+w.decode <= 0 {
			continue
		}
		wantedPrefill := int(math.Round(float64(n) * w.prefill / (w.prefill + w.decode)))
		wantedPrefill = min(max(wantedPrefill, 1), n-1)
		s.applySplit(wantedPrefill, &plan)
	}
	return plan
}

// applySplit plans the role changes after which the given number of engines run
// prefill and the others run decode.
func (s *planState) applySplit(prefill int, plan *Plan) {
	missing := [3]int{sqroute.RolePrefill: prefill, sqroute.RoleDecode: s.available.total() - prefill}
	// The engines with the fewest running requests change, as an engine changes its role
	// once these have ended.
	engines := slices.Clone(s.engines)
	slices.SortStableFunc(engines, func(a, b EngineConfig) int { return b.RunningRequests - a.RunningRequests })
	var surplus []EngineConfig
	for _, e := range engines {
		if missing[e.Role] > 0 {
			missing[e.Role]--
			continue
		}
		surplus = append(surplus, e)
	}
	for _, e := range surplus {
		to := sqroute.RoleDecode
		if missing[sqroute.RolePrefill] > 0 {
			to = sqroute.RolePrefill
		}
		missing[to]--
		plan.changes = append(plan.changes, RoleChange{
			engine: e.ID, model: s.model, from: e.Role, to: to, reason: "The mix of the moment asks for it.",
		})
	}
}
