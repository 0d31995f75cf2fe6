package sqrole

import (
	"sort"
	"strconv"
	"time"

	"sequoiadock/core/sqroute"
)

// planState holds the engines of one model while a plan is made.
type planState struct {
	now   time.Time
	cfg   Config
	model string
	// engines are those whose role may be changed, in the order of changesBefore.
	engines []EngineConfig
	// available counts engines by current role, changing counts the engines that
	// are changing their role by target role.
	available roleCounts
	changing  roleCounts
	// busy counts, by role, the engines that cannot change now because another
	// order for them is open. They carry work, but a move must leave an available
	// engine for prefill and for decode beside them.
	busy           roleCounts
	roleChangeTime time.Duration
	minGain        float64
}

func newPlanState(now time.Time, view *View, engines []EngineConfig, model string, cfg Config) *planState {
	s := &planState{now: now, cfg: cfg, model: model, roleChangeTime: view.cfg.RoleChangeTime}
	if s.roleChangeTime <= 0 {
		s.roleChangeTime = DefaultRoleChangeTime
	}
	for _, e := range engines {
		switch {
		case e.Model != model:
		case e.ChangingRole:
			s.changing[e.TargetRole]++
		case !e.Unschedulable && e.HasOpenOrder:
			s.busy[e.Role]++
		case !e.Unschedulable:
			s.engines = append(s.engines, e)
			s.available[e.Role]++
		}
	}
	// The higher the weight of goodput, the more closely the mix is followed.
	s.minGain = cfg.MinGain / float64(max(1, s.count())) * (1.5 - goodputShare(view.cfg.Weights))
	sort.Slice(s.engines, func(i, j int) bool { return s.engines[i].changesBefore(&s.engines[j]) })
	return s
}

// count returns the number of engines that serve the model or will do so
// after their role change.
func (s *planState) count() int { return s.available.total() + s.changing.total() + s.busy.total() }

// changesBefore sorts first the engine with the fewest requests to drain.
func (e *EngineConfig) changesBefore(other *EngineConfig) bool {
	if e.RunningRequests != other.RunningRequests {
		return e.RunningRequests < other.RunningRequests
	}
	return e.ID < other.ID
}

// plannedCounts returns the counts by role after all changes in progress.
func (s *planState) plannedCounts() roleCounts {
	c := s.available
	for role, n := range s.changing {
		c[role] += n + s.busy[role]
	}
	return c
}

// roleMove is a possible role change of one engine. The costs are expected costs
// of the split; transitionCost is due to the absence of the engine during the
// change. The gain must exceed minGain.
type roleMove struct {
	from, to       sqroute.Role
	costBefore     float64
	costAfter      float64
	transitionCost float64
	minGain        float64
	engineIndex    int
}

func (m *roleMove) gain() float64 { return m.costBefore - m.costAfter - m.transitionCost }

// bothRoleBonus is the weight of the gain of a move to RoleBoth: an engine that
// runs both prefill and decode serves the next swing without a role change.
const bothRoleBonus = 1.4

// score returns the value by which moves are compared; higher is better.
func (m *roleMove) score() float64 {
	if m.to == sqroute.RoleBoth {
		return bothRoleBonus * m.gain()
	}
	return m.gain()
}

// bestMove returns the move with the highest score among those that are safe and
// gain enough; false when there is none.
func (s *planState) bestMove(h *modelHistory) (roleMove, bool) {
	var best roleMove
	found := false
	for from := sqroute.RoleBoth; from <= sqroute.RoleDecode; from++ {
		engine := s.firstChangeable(from)
		if engine < 0 {
			continue
		}
		for to := sqroute.RoleBoth; to <= sqroute.RoleDecode; to++ {
			m := roleMove{from: from, to: to, engineIndex: engine}
			if to == from || !s.evaluate(h, &m) {
				continue
			}
			if !found || m.score() > best.score() {
				best, found = m, true
			}
		}
	}
	return best, found
}

// firstChangeable returns the index of the first engine with the role whose last
// role change is long enough ago, or -1.
func (s *planState) firstChangeable(role sqroute.Role) int {
	minInterval := time.Duration(s.cfg.MinChangeInterval * float64(s.roleChangeTime))
	for i := range s.engines {
		e := &s.engines[i]
		if e.Role == role && s.now.Sub(e.RoleChangedAt) >= minInterval {
			return i
		}
	}
	return -1
}

// evaluate computes the costs of a move and returns whether the move is safe and
// gains enough. A move is safe if it leaves an available engine that runs prefill
// and one that runs decode.
func (s *planState) evaluate(h *modelHistory, m *roleMove) bool {
	remaining := s.available
	remaining[m.from]--
	if remaining.prefillCapable() == 0 || remaining.decodeCapable() == 0 {
		return false
	}
	before := s.plannedCounts()
	after := before
	after[m.from]--
	duringChange := after
	after[m.to]++
	m.costBefore = s.expectedCost(h, before)
	m.costAfter = s.expectedCost(h, after)
	horizon := s.horizon().Seconds()
	absentFraction := min(1, (s.drainTime(m.engineIndex)+s.roleChangeTime).Seconds()/horizon)
	m.transitionCost = max(0, s.expectedCost(h, duringChange)-m.costBefore) * absentFraction
	m.minGain = s.minGain
	if s.reverts(h, m) {
		m.minGain *= revertGainFactor
	}
	return m.gain() > m.minGain
}

func (s *planState) horizon() time.Duration {
	return time.Duration(s.cfg.Horizon * float64(s.roleChangeTime))
}

// revertGainFactor raises the minimum gain of a move that reverts the last change
// before the end of its horizon: the change had that time to pay off.
const revertGainFactor = 2.5

// reverts returns whether a move reverts the last change of the model, at least
// in part, within the horizon of that change.
func (s *planState) reverts(h *modelHistory, m *roleMove) bool {
	if h.lastChangeAt.IsZero() || s.now.Sub(h.lastChangeAt) >= s.horizon() {
		return false
	}
	return m.from == h.lastTo || m.to == h.lastFrom
}

// drainRoleChanges is the expected drain time of an engine with running requests,
// in units of the role change time. Requests run in parallel, so their number
// matters little.
const drainRoleChanges = 1

func (s *planState) drainTime(engineIndex int) time.Duration {
	if s.engines[engineIndex].RunningRequests == 0 {
		return 0
	}
	return drainRoleChanges * s.roleChangeTime
}

func (s *planState) predictedWork(h *modelHistory) work {
	return work{prefill: h.prefill.predict(s.roleChangeTime), decode: h.decode.predict(s.roleChangeTime)}
}

// expectedCost returns the cost of a split, averaged over the predicted work and
// its uncertainty, so that no split is chosen that noise would soon reverse.
func (s *planState) expectedCost(h *modelHistory, c roleCounts) float64 {
	w := s.predictedWork(h)
	prefillUncertainty, decodeUncertainty := h.prefill.uncertainty(), h.decode.uncertainty()
	morePrefill := work{prefill: w.prefill + prefillUncertainty, decode: max(0, w.decode-decodeUncertainty)}
	moreDecode := work{prefill: max(0, w.prefill-prefillUncertainty), decode: w.decode + decodeUncertainty}
	return 0.5*c.cost(w) + 0.25*c.cost(morePrefill) + 0.25*c.cost(moreDecode)
}

// apply records a move as ordered and returns the change.
func (s *planState) apply(m roleMove, h *modelHistory) RoleChange {
	e := s.engines[m.engineIndex]
	s.engines = append(s.engines[:m.engineIndex], s.engines[m.engineIndex+1:]...)
	s.available[m.from]--
	s.changing[m.to]++
	h.lastFrom, h.lastTo, h.lastChangeAt = m.from, m.to, s.now
	w := s.predictedWork(h)
	return RoleChange{
		engine: e.ID, model: s.model, from: m.from, to: m.to,
		reason: "Engine " + e.ID + " changes from " + m.from.String() + " to " + m.to.String() + ": the work expected for " + s.model +
			" takes " + formatFloat(w.prefill) + " engines for prefill and " + formatFloat(w.decode) + " for decode; the load of the busiest kind, with answers that prompts hold up, goes from " +
			formatFloat(m.costBefore) + " to " + formatFloat(m.costAfter) + "; being away costs " + formatFloat(m.transitionCost) + ", and " + formatFloat(m.minGain) +
			" must be gained. It has " + strconv.Itoa(e.RunningRequests) + " requests, the fewest of its role.",
	}
}

// summary returns a sentence that explains the plan for a model.
func (s *planState) summary(model string, h *modelHistory) string {
	w := s.predictedWork(h)
	return "Model " + model + ": the work expected takes " + formatFloat(w.prefill) + " engines for prefill and " + formatFloat(w.decode) +
		" for decode; " + strconv.Itoa(s.available[sqroute.RolePrefill]) + " prefill, " + strconv.Itoa(s.available[sqroute.RoleDecode]) +
		" decode, " + strconv.Itoa(s.available[sqroute.RoleBoth]) + " do both and " + strconv.Itoa(s.changing.total()) + " are changing."
}
