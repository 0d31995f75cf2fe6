package sqmodel

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqroute"
)

// zonesWanted is how many availability zones a model should be loaded in.
const zonesWanted = 2

// situation is the fleet during one plan. Loads that the plan orders count as
// under way at once.
type situation struct {
	now     time.Time
	p       *Planner
	models  []ModelConfig
	engines []EngineConfig
	// spreads are those that were asked for since the last load began.
	spreads map[spreadKey]spread
	// storeRate is the weight store's, in bytes a second, 0 for unknown.
	storeRate float64
	plan      Plan
}

type spreadKey struct {
	name   string
	coming bool
}

func newSituation(now time.Time, p *Planner, models []ModelConfig, engines []EngineConfig) *situation {
	return &situation{now: now, p: p, models: models, engines: engines, spreads: make(map[spreadKey]spread)}
}

// room returns whether one more load may run: by number, and by what the weight
// store can give in the time that a load may take. One load always may. A load
// that takes far longer than it may no longer counts: an engine that never
// answers would else keep all others from loading.
func (s *situation) room() bool {
	n := 0
	var bytes float64
	for i := range s.engines {
		if loading := s.engines[i].Loading; loading != "" && !s.stuck(&s.engines[i]) {
			n++
			if m := s.model(nameOf(loading)); m != nil {
				bytes += float64(m.WeightBytes)
			}
		}
	}
	cfg := &s.p.cfg
	if n == 0 || s.storeRate <= 0 {
		return n < cfg.MaxConcurrentLoads
	}
	return n < cfg.MaxConcurrentLoads && bytes < s.storeRate*cfg.MaxLoadTime.Seconds()
}

// stuckFactor is in the times that a load may take.
const stuckFactor = 2

// stuck returns whether an engine's load has taken far too long.
func (s *situation) stuck(e *EngineConfig) bool {
	h := s.p.engines[e.ID]
	return h != nil && h.loading == e.Loading && s.now.Sub(h.loadingSince) > stuckFactor*s.p.cfg.MaxLoadTime
}

func (s *situation) model(name string) *ModelConfig {
	for i := range s.models {
		if s.models[i].Name == name {
			return &s.models[i]
		}
	}
	return nil
}

// begin notes a load as ordered.
func (s *situation) begin(l LoadOrder) {
	for i := range s.engines {
		if s.engines[i].ID == l.engine {
			s.engines[i].OrderOpen = true
			s.engines[i].Loading = l.model
		}
	}
	clear(s.spreads)
	s.plan.loads = append(s.plan.loads, l)
}

// spread is where a model is loaded, in any version.
type spread struct {
	copies int
	// zones has the number of engines in each.
	zones map[string]int
	// prefills and decodes are the engines among them that do either.
	prefills, decodes int
}

// add counts n engines like e, which may be -1.
func (c *spread) add(e *EngineConfig, n int) {
	c.copies += n
	c.zones[e.Zone] += n
	if c.zones[e.Zone] == 0 {
		delete(c.zones, e.Zone)
	}
	if e.Role != sqroute.RoleDecode {
		c.prefills += n
	}
	if e.Role != sqroute.RolePrefill {
		c.decodes += n
	}
}

// kinds is 2 when the model is served from the prompt to the end of the answer.
func (c *spread) kinds() int {
	return min(1, c.prefills) + min(1, c.decodes)
}

// spread returns where the model is and stays, and with what is being loaded if
// coming. It must not be changed.
func (s *situation) spread(name string, coming bool) spread {
	key := spreadKey{name: name, coming: coming}
	if c, known := s.spreads[key]; known {
		return c
	}
	c := spread{zones: make(map[string]int)}
	for i := range s.engines {
		if s.counts(&s.engines[i], key) {
			c.add(&s.engines[i], 1)
		}
	}
	s.spreads[key] = c
	return c
}

func (s *situation) counts(e *EngineConfig, key spreadKey) bool {
	if s.losing(e, key.name) {
		return false
	}
	return e.has(key.name) || (key.coming && e.Loading != "" && nameOf(e.Loading) == key.name)
}

// without returns where the model is when an engine drops it.
func (s *situation) without(name string, e *EngineConfig) spread {
	c := s.spread(name, false)
	c.zones = maps.Clone(c.zones)
	if s.counts(e, spreadKey{name: name}) {
		c.add(e, -1)
	}
	return c
}

// losing returns whether the load that is under way on an engine ends its copy
// of a model. Two such loads could else each count on the other engine.
func (s *situation) losing(e *EngineConfig, name string) bool {
	if e.Loading == "" || nameOf(e.Loading) == name || e.versions(name) != 1 {
		return false
	}
	return s.dropped(e) == name
}

// dropped returns the model that an engine would drop for a new one, or "".
func (s *situation) dropped(e *EngineConfig) string {
	slots := s.p.cfg.ModelSlots
	if h := s.p.engines[e.ID]; h != nil && h.slots > 0 {
		slots = h.slots
	}
	if len(e.Loaded) < slots {
		return ""
	}
	return nameOf(e.Loaded[0])
}

// Costs of a load, by what the engine drops for it.
const (
	dropsNothing = iota
	dropsUnneeded
	dropsSpare
	dropsUsed
	dropsZone
	dropsForbidden
)

// cost weighs what engine i drops for model m.
func (s *situation) cost(i int, m *ModelConfig) int {
	e := &s.engines[i]
	name := s.dropped(e)
	switch {
	case name == "":
		return dropsNothing
	case name == m.Name || s.model(name) == nil || e.versions(name) > 1:
		return dropsUnneeded
	}
	before, after := s.spread(name, false), s.without(name, e)
	switch {
	case after.copies == 0 || after.kinds() < before.kinds():
		return dropsForbidden
	case len(after.zones) < min(zonesWanted, len(before.zones)):
		return dropsZone
	case float64(after.copies) < s.model(name).RequiredEngines*s.p.cfg.HeadroomFactor*s.p.cfg.SlackFactor:
		return dropsUsed
	default:
		return dropsSpare
	}
}

func (e *EngineConfig) versions(name string) int {
	n := 0
	for _, l := range e.Loaded {
		if nameOf(l) == name {
			n++
		}
	}
	return n
}

// shares returns whether two spreads have a zone in common.
func (c *spread) shares(other *spread) bool {
	for zone := range c.zones {
		if other.zones[zone] > 0 {
			return true
		}
	}
	return false
}

// zones counts the zones that have engines.
func (s *situation) zones() int {
	seen := make(map[string]bool)
	for i := range s.engines {
		seen[s.engines[i].Zone] = true
	}
	return len(seen)
}

// choose returns the engine for a load of m that costs least, at most limit,
// among those that fit.
func (s *situation) choose(m *ModelConfig, limit int, fits func(e *EngineConfig) bool) (int, bool) {
	best, bestCost := -1, 0
	for i := range s.engines {
		e := &s.engines[i]
		if e.OrderOpen || e.hasFull(m.full()) || s.paused(e) || !fits(e) {
			continue
		}
		cost := s.cost(i, m)
		if cost > limit {
			continue
		}
		if best < 0 || cost < bestCost || (cost == bestCost && e.RunningRequests < s.engines[best].RunningRequests) {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// paused returns whether the engine's last load failed lately.
func (s *situation) paused(e *EngineConfig) bool {
	h := s.p.engines[e.ID]
	return h != nil && h.failures > 0 && s.now.Sub(h.failedAt) < s.p.cfg.pause(h.failures)
}

// load returns the order for engine i, with the reason and what it drops.
func (s *situation) load(i int, m *ModelConfig, why string) LoadOrder {
	e := &s.engines[i]
	reason := "Engine " + e.ID + " in zone " + e.Zone + " loads " + m.full()
	if len(m.Adapters) > 0 {
		reason += " with " + strings.Join(m.Adapters, ", ")
	}
	reason += ": " + why
	if name := s.dropped(e); name != "" {
		left := s.without(name, e)
		reason += " It is full and drops " + e.Loaded[0] + "; other engines that have that model: " + strconv.Itoa(left.copies) + "."
	}
	return LoadOrder{engine: e.ID, model: m.full(), reason: reason}
}
