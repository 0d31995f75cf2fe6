package sqrole

import (
	"sort"
	"strconv"
	"time"

	"sequoiadock/core/sqroute"
)

// situation is one model's engines during a plan.
type situation struct {
	now     time.Time
	cfg     Config
	model   string
	engines []EngineConfig
	// present counts the engines that work, changing those that are on the way
	// to a role.
	present  counts
	changing counts
	// taken counts those that can't change now. They carry work, but none of them
	// is relied on to be the last of a kind.
	taken     counts
	lead      time.Duration
	threshold float64
}

func newSituation(now time.Time, view *View, engines []EngineConfig, model string, cfg Config) *situation {
	s := &situation{now: now, cfg: cfg, model: model, lead: view.cfg.RoleChangeTime}
	if s.lead <= 0 {
		s.lead = DefaultRoleChangeTime
	}
	for _, e := range engines {
		switch {
		case e.Model != model:
		case e.ChangingRole:
			s.changing[e.TargetRole]++
		case !e.Unschedulable && e.HasOpenOrder:
			s.taken[e.Role]++
		case !e.Unschedulable:
			s.engines = append(s.engines, e)
			s.present[e.Role]++
		}
	}
	// A deployment that values goodput follows the mix more closely.
	s.threshold = cfg.MinGain / float64(max(1, s.size())) * (1.5 - goodputShare(view.cfg.Weights))
	sort.Slice(s.engines, func(i, j int) bool { return s.engines[i].drainsBefore(&s.engines[j]) })
	return s
}

func (s *situation) size() int { return s.present.total() + s.changing.total() + s.taken.total() }

// drainsBefore puts the engine first whose change cuts into the least work.
func (e *EngineConfig) drainsBefore(other *EngineConfig) bool {
	if e.RunningRequests != other.RunningRequests {
		return e.RunningRequests < other.RunningRequests
	}
	return e.ID < other.ID
}

// planned returns the counts once all changes are over.
func (s *situation) planned() counts {
	c := s.present
	for role, n := range s.changing {
		c[role] += n + s.taken[role]
	}
	return c
}

// move is a possible change with its figures.
type move struct {
	from, to  sqroute.Role
	before    float64
	after     float64
	cost      float64
	threshold float64
	engine    int
}

func (m *move) gain() float64 { return m.before - m.after - m.cost }

// flexible is what a gain counts for when it leaves an engine that does both:
// the next swing then takes no change.
const flexible = 1.4

// merit is what moves are compared by.
func (m *move) merit() float64 {
	if m.to == sqroute.RoleBoth {
		return flexible * m.gain()
	}
	return m.gain()
}

// best returns the change that gains most, if any gains enough.
func (s *situation) best(h *history) (move, bool) {
	var best move
	found := false
	for from := sqroute.RoleBoth; from <= sqroute.RoleDecode; from++ {
		engine := s.free(from)
		if engine < 0 {
			continue
		}
		for to := sqroute.RoleBoth; to <= sqroute.RoleDecode; to++ {
			m := move{from: from, to: to, engine: engine}
			if to == from || !s.weigh(h, &m) {
				continue
			}
			if !found || m.merit() > best.merit() {
				best, found = m, true
			}
		}
	}
	return best, found
}

// free returns the engine of a role that is the first to change, or -1.
func (s *situation) free(role sqroute.Role) int {
	dwell := time.Duration(s.cfg.MinChangeInterval * float64(s.lead))
	for i := range s.engines {
		e := &s.engines[i]
		if e.Role == role && s.now.Sub(e.RoleChangedAt) >= dwell {
			return i
		}
	}
	return -1
}

// weigh works out a move's gain and returns whether it is safe and pays.
func (s *situation) weigh(h *history, m *move) bool {
	left := s.present
	left[m.from]--
	if left.prefills() == 0 || left.decodes() == 0 {
		return false
	}
	before := s.planned()
	after := before
	after[m.from]--
	away := after
	after[m.to]++
	m.before = s.regret(h, before)
	m.after = s.regret(h, after)
	horizon := s.horizon().Seconds()
	part := min(1, (s.drain(m.engine)+s.lead).Seconds()/horizon)
	m.cost = max(0, s.regret(h, away)-m.before) * part
	m.threshold = s.threshold
	if s.undoes(h, m) {
		m.threshold *= undoFactor
	}
	return m.gain() > m.threshold
}

func (s *situation) horizon() time.Duration {
	return time.Duration(s.cfg.Horizon * float64(s.lead))
}

// undoFactor raises the gain that is asked for to take back a change within its
// horizon, in which it should have paid.
const undoFactor = 2.5

func (s *situation) undoes(h *history, m *move) bool {
	if h.changedAt.IsZero() || s.now.Sub(h.changedAt) >= s.horizon() {
		return false
	}
	return m.from == h.to || m.to == h.from
}

// drainChanges is how long an engine with work is expected to drain, in role
// changes; requests run side by side, so that their number matters little.
const drainChanges = 1

func (s *situation) drain(engine int) time.Duration {
	if s.engines[engine].RunningRequests == 0 {
		return 0
	}
	return drainChanges * s.lead
}

func (s *situation) expected(h *history) work {
	return work{prefill: h.prefill.ahead(s.lead), decode: h.decode.ahead(s.lead)}
}

// regret weighs a split over the demand that is expected and its usual spread,
// so that a split which noise would overturn tomorrow is not chosen today.
func (s *situation) regret(h *history, c counts) float64 {
	w := s.expected(h)
	prefill, decode := h.prefill.usual(), h.decode.usual()
	morePrefill := work{prefill: w.prefill + prefill, decode: max(0, w.decode-decode)}
	moreDecode := work{prefill: max(0, w.prefill-prefill), decode: w.decode + decode}
	return 0.5*c.regret(w) + 0.25*c.regret(morePrefill) + 0.25*c.regret(moreDecode)
}

// apply notes a change as ordered.
func (s *situation) apply(m move, h *history) Change {
	e := s.engines[m.engine]
	s.engines = append(s.engines[:m.engine], s.engines[m.engine+1:]...)
	s.present[m.from]--
	s.changing[m.to]++
	h.from, h.to, h.changedAt = m.from, m.to, s.now
	w := s.expected(h)
	return Change{
		engine: e.ID, model: s.model, from: m.from, to: m.to,
		reason: "Engine " + e.ID + " changes from " + m.from.String() + " to " + m.to.String() + ": the work expected for " + s.model +
			" takes " + number(w.prefill) + " engines for prefill and " + number(w.decode) + " for decode; the load of the busiest kind, with answers that prompts hold up, goes from " +
			number(m.before) + " to " + number(m.after) + "; being away costs " + number(m.cost) + ", and " + number(m.threshold) +
			" must be gained. It has " + strconv.Itoa(e.RunningRequests) + " requests, the fewest of its role.",
	}
}

func (s *situation) summary(model string, h *history) string {
	w := s.expected(h)
	return "Model " + model + ": the work expected takes " + number(w.prefill) + " engines for prefill and " + number(w.decode) +
		" for decode; " + strconv.Itoa(s.present[sqroute.RolePrefill]) + " prefill, " + strconv.Itoa(s.present[sqroute.RoleDecode]) +
		" decode, " + strconv.Itoa(s.present[sqroute.RoleBoth]) + " do both and " + strconv.Itoa(s.changing.total()) + " are changing."
}
