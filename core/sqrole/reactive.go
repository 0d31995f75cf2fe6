package sqrole

import (
	"math"
	"time"

	"sequoiadock/core/sqroute"
)

// Reactive changes roles whenever the mix of the moment asks for another split.
// It is the second baseline.
type Reactive struct{}

// NewReactive returns the baseline.
func NewReactive() *Reactive { return &Reactive{} }

// Plan returns all the changes that the mix of now asks for.
func (*Reactive) Plan(now time.Time, view View) Plan {
	var plan Plan
	for i := range view.cfg.Demands {
		d := &view.cfg.Demands[i].cfg
		engines := make([]EngineConfig, len(view.cfg.Engines))
		for j := range engines {
			engines[j] = view.cfg.Engines[j].cfg
		}
		s := newSituation(now, &view, engines, d.Model, Config{}.withDefaults())
		n := s.present.total()
		w := demand(d, DefaultBacklogDrainTime)
		if n < 2 || w.prefill+w.decode <= 0 {
			continue
		}
		want := int(math.Round(float64(n) * w.prefill / (w.prefill + w.decode)))
		want = min(max(want, 1), n-1)
		s.react(want, &plan)
	}
	return plan
}

// react changes engines until as many prefill as wanted and the rest decode.
func (s *situation) react(prefill int, plan *Plan) {
	missing := [3]int{sqroute.RolePrefill: prefill, sqroute.RoleDecode: s.present.total() - prefill}
	var rest []EngineConfig
	for _, e := range s.engines {
		if missing[e.Role] > 0 {
			missing[e.Role]--
			continue
		}
		rest = append(rest, e)
	}
	for _, e := range rest {
		to := sqroute.RoleDecode
		if missing[sqroute.RolePrefill] > 0 {
			to = sqroute.RolePrefill
		}
		missing[to]--
		plan.changes = append(plan.changes, Change{
			engine: e.ID, model: s.model, from: e.Role, to: to, reason: "The mix of the moment asks for it.",
		})
	}
}
