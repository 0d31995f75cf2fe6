package sqmodel

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqroute"
)

// zonesPerModel is the number of availability zones that a model should be loaded
// in.
const zonesPerModel = 2

// planState is the state of the fleet while one plan is made. A load counts as in
// progress as soon as the plan orders it.
type planState struct {
	now     time.Time
	planner *Planner
	models  []ModelConfig
	engines []EngineConfig
	// placements caches results of the method placement; applyOrder clears it.
	placements map[placementKey]placement
	// storeBytesPerSecond is the rate of the weight store, 0 if unknown.
	storeBytesPerSecond float64
	plan                Plan
}

// placementKey is the key of the cache of placements.
type placementKey struct {
	model          string
	includeLoading bool
}

func newPlanState(now time.Time, p *Planner, models []ModelConfig, engines []EngineConfig) *planState {
	return &planState{now: now, planner: p, models: models, engines: engines, placements: make(map[placementKey]placement)}
}

// canStartLoad returns whether one more load may start. The limits are the number
// of loads in progress and the bytes that the weight store can deliver in
// MaxLoadTime; a single load may start whatever its size. Loads that have timed
// out do not count: otherwise an engine that never answers would keep all others
// from loading.
func (s *planState) canStartLoad() bool {
	running := 0
	var loadBytes float64
	for i := range s.engines {
		if loading := s.engines[i].Loading; loading != "" && !s.loadTimedOut(&s.engines[i]) {
			running++
			if m := s.model(modelName(loading)); m != nil {
				loadBytes += float64(m.WeightBytes)
			}
		}
	}
	cfg := &s.planner.cfg
	if running == 0 || s.storeBytesPerSecond <= 0 {
		return running < cfg.MaxConcurrentLoads
	}
	return running < cfg.MaxConcurrentLoads && loadBytes < s.storeBytesPerSecond*cfg.MaxLoadTime.Seconds()
}

// loadTimeoutFactor is the timeout of a load in multiples of MaxLoadTime.
const loadTimeoutFactor = 2

// loadTimedOut returns whether the load on an engine has been in progress for
// longer than the timeout.
func (s *planState) loadTimedOut(e *EngineConfig) bool {
	h := s.planner.histories[e.ID]
	return h != nil && h.loading == e.Loading && s.now.Sub(h.loadingSince) > loadTimeoutFactor*s.planner.cfg.MaxLoadTime
}

// model returns the declared model of that name, or nil.
func (s *planState) model(name string) *ModelConfig {
	for i := range s.models {
		if s.models[i].Name == name {
			return &s.models[i]
		}
	}
	return nil
}

// applyOrder adds an order to the plan and marks its engine as loading.
func (s *planState) applyOrder(order LoadOrder) {
	for i := range s.engines {
		if s.engines[i].ID == order.engine {
			s.engines[i].HasOpenOrder = true
			s.engines[i].Loading = order.model
		}
	}
	clear(s.placements)
	s.plan.orders = append(s.plan.orders, order)
}

// placement counts the engines that have a model, in any version.
type placement struct {
	copies int
	// zones holds the number of engines by zone, without zones that have none.
	zones map[string]int
	// prefills and decodes count the engines that can prefill and that can decode;
	// an engine that does both counts in both.
	prefills, decodes int
}

// add adds n engines of the zone and role of e; n is negative to remove engines.
func (c *placement) add(e *EngineConfig, n int) {
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

// coveredPhases returns how many of the two phases, prefill and decode, have an
// engine. The model is served only if both have one.
func (c *placement) coveredPhases() int {
	return min(1, c.prefills) + min(1, c.decodes)
}

// placement counts the engines that have a model and keep it, and also those that
// are loading it if includeLoading is true. The result is cached and must not be
// changed.
func (s *planState) placement(model string, includeLoading bool) placement {
	key := placementKey{model: model, includeLoading: includeLoading}
	if c, cached := s.placements[key]; cached {
		return c
	}
	c := placement{zones: make(map[string]int)}
	for i := range s.engines {
		if s.hasCopy(&s.engines[i], key) {
			c.add(&s.engines[i], 1)
		}
	}
	s.placements[key] = c
	return c
}

// hasCopy returns whether an engine counts in the placement of key.
func (s *planState) hasCopy(e *EngineConfig, key placementKey) bool {
	if s.losesCopy(e, key.model) {
		return false
	}
	return e.has(key.model) || (key.includeLoading && e.Loading != "" && modelName(e.Loading) == key.model)
}

// placementWithout returns the placement of a model after an engine evicts it.
func (s *planState) placementWithout(name string, e *EngineConfig) placement {
	c := s.placement(name, false)
	c.zones = maps.Clone(c.zones)
	if s.hasCopy(e, placementKey{model: name}) {
		c.add(e, -1)
	}
	return c
}

// losesCopy returns whether the load in progress on an engine evicts the engine's
// only copy of a model. Without this check, two such loads could each rely on the
// other engine's copy.
func (s *planState) losesCopy(e *EngineConfig, name string) bool {
	if e.Loading == "" || modelName(e.Loading) == name || e.versionCount(name) != 1 {
		return false
	}
	return s.evictedModel(e) == name
}

// evictedModel returns the name of the model that an engine would evict to load a
// new one, or "" if it has a free slot.
func (s *planState) evictedModel(e *EngineConfig) string {
	slots := s.planner.cfg.ModelSlots
	if h := s.planner.histories[e.ID]; h != nil && h.modelSlots > 0 {
		slots = h.modelSlots
	}
	if len(e.Loaded) < slots {
		return ""
	}
	return modelName(e.Loaded[0])
}

// Costs of a load in rising order, by what the engine evicts for it: nothing; a
// copy that is not needed, since its model is the one to load, is not declared or
// stays on the engine in another version; a copy beyond headroom and slack; a
// copy within them; the only copy in one of a model's last two zones; and a
// model's last copy or last engine for a phase, which is never evicted.
const (
	evictsNothing = iota
	evictsUnneeded
	evictsSpare
	evictsNeeded
	evictsZone
	evictionForbidden
)

// evictionCost returns the cost of what engine i evicts to load model m.
func (s *planState) evictionCost(i int, m *ModelConfig) int {
	e := &s.engines[i]
	name := s.evictedModel(e)
	switch {
	case name == "":
		return evictsNothing
	case name == m.Name || s.model(name) == nil || e.versionCount(name) > 1:
		return evictsUnneeded
	}
	before, after := s.placement(name, false), s.placementWithout(name, e)
	switch {
	case after.copies == 0 || after.coveredPhases() < before.coveredPhases():
		return evictionForbidden
	case len(after.zones) < min(zonesPerModel, len(before.zones)):
		return evictsZone
	case float64(after.copies) < s.model(name).RequiredEngines*s.planner.cfg.HeadroomFactor*s.planner.cfg.SlackFactor:
		return evictsNeeded
	default:
		return evictsSpare
	}
}

// versionCount returns how many versions of a model the engine has.
func (e *EngineConfig) versionCount(name string) int {
	n := 0
	for _, l := range e.Loaded {
		if modelName(l) == name {
			n++
		}
	}
	return n
}

// sharesZone returns whether two placements have a zone in common.
func (c *placement) sharesZone(other *placement) bool {
	for zone := range c.zones {
		if other.zones[zone] > 0 {
			return true
		}
	}
	return false
}

// zoneCount returns the number of zones that have engines.
func (s *planState) zoneCount() int {
	seen := make(map[string]bool)
	for i := range s.engines {
		seen[s.engines[i].Zone] = true
	}
	return len(seen)
}

// pickEngine returns the index of the eligible engine on which a load of m has the
// lowest eviction cost, and false if none costs at most maxCost. Among engines of
// equal cost it takes the one with the fewest running requests.
func (s *planState) pickEngine(m *ModelConfig, maxCost int, eligible func(e *EngineConfig) bool) (int, bool) {
	best, bestCost := -1, 0
	for i := range s.engines {
		e := &s.engines[i]
		if e.HasOpenOrder || e.hasVersion(m.fullName()) || s.inBackoff(e) || !eligible(e) {
			continue
		}
		cost := s.evictionCost(i, m)
		if cost > maxCost {
			continue
		}
		if best < 0 || cost < bestCost || (cost == bestCost && e.RunningRequests < s.engines[best].RunningRequests) {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// inBackoff returns whether the engine is in the backoff after a failed load.
func (s *planState) inBackoff(e *EngineConfig) bool {
	h := s.planner.histories[e.ID]
	return h != nil && h.consecutiveFailures > 0 && s.now.Sub(h.failedAt) < s.planner.cfg.backoff(h.consecutiveFailures)
}

// newOrder returns the order to load m on the engine with that index. Its reason
// consists of why and of what the engine evicts.
func (s *planState) newOrder(engine int, m *ModelConfig, why string) LoadOrder {
	e := &s.engines[engine]
	reason := "Engine " + e.ID + " in zone " + e.Zone + " loads " + m.fullName()
	if len(m.Adapters) > 0 {
		reason += " with " + strings.Join(m.Adapters, ", ")
	}
	reason += ": " + why
	if name := s.evictedModel(e); name != "" {
		after := s.placementWithout(name, e)
		reason += " It is full and drops " + e.Loaded[0] + "; other engines that have that model: " + strconv.Itoa(after.copies) + "."
	}
	return LoadOrder{engine: e.ID, model: m.fullName(), reason: reason}
}
