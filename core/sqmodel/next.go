package sqmodel

import (
	"strconv"

	"sequoiadock/core/sqroute"
)

// nextOrder returns the load with the highest priority, and false if none is
// needed. In order of priority: a model that is not served, an engine without a
// declared model, a second zone, a rollout, and demand.
func (s *planState) nextOrder() (LoadOrder, bool) {
	steps := []func() (LoadOrder, bool){s.serveMissing, s.fillIdle, s.addSecondZone, s.continueRollout, s.followDemand}
	for _, step := range steps {
		if l, found := step(); found {
			return l, true
		}
	}
	return LoadOrder{}, false
}

// serveMissing returns a load for a model that lacks engines for prefill or for
// decode. It prefers an engine that does both, since that one alone can serve the
// model.
func (s *planState) serveMissing() (LoadOrder, bool) {
	for i := range s.models {
		m := &s.models[i]
		c := s.placement(m.Name, true)
		if c.coveredPhases() == 2 {
			continue
		}
		fillsGap := func(e *EngineConfig) bool {
			return (c.prefills == 0 && e.Role != sqroute.RoleDecode) || (c.decodes == 0 && e.Role != sqroute.RolePrefill)
		}
		fillsGapAlone := func(e *EngineConfig) bool { return e.Role == sqroute.RoleBoth && fillsGap(e) }
		engine, found := s.pickEngine(m, evictsZone, fillsGapAlone)
		if !found {
			engine, found = s.pickEngine(m, evictsZone, fillsGap)
		}
		if found {
			return s.newOrder(engine, m, "of "+strconv.Itoa(c.copies)+" engines that have the model, "+strconv.Itoa(c.prefills)+
				" prefill and "+strconv.Itoa(c.decodes)+" decode."), true
		}
		s.plan.problems = append(s.plan.problems, "Model "+m.fullName()+" is not served, and no engine is free or can drop what it has for it.")
	}
	return LoadOrder{}, false
}

// fillIdle returns a load for an engine that has no declared model. It takes the
// model with the highest demand per copy.
func (s *planState) fillIdle() (LoadOrder, bool) {
	for i := range s.engines {
		e := &s.engines[i]
		if e.HasOpenOrder || s.inBackoff(e) || e.hasDeclaredModel(s.models) || len(s.models) == 0 {
			continue
		}
		m := &s.models[0]
		for j := range s.models {
			if s.demandPerCopy(&s.models[j]) > s.demandPerCopy(m) {
				m = &s.models[j]
			}
		}
		return s.newOrder(i, m, "it has no declared model, and this one has the fewest engines for its work, which takes "+
			decimal(m.RequiredEngines)+"."), true
	}
	return LoadOrder{}, false
}

// demandPerCopy returns the required engines of a model divided by its copies.
// epsilon lets models without demand differ by their copies, so that idle engines
// are distributed over all models.
func (s *planState) demandPerCopy(m *ModelConfig) float64 {
	const epsilon = 0.01
	return (m.RequiredEngines + epsilon) / (float64(s.placement(m.Name, true).copies) + epsilon)
}

// addSecondZone returns a load for a model that the loss of one zone would make
// unavailable. A second zone has priority over demand, but no other model loses a
// zone for it unless both models end up in two zones.
func (s *planState) addSecondZone() (LoadOrder, bool) {
	for i := range s.models {
		m := &s.models[i]
		c := s.placement(m.Name, true)
		if len(c.zones) >= min(zonesPerModel, s.zoneCount()) {
			continue
		}
		engine, found := s.pickEngine(m, evictsNeeded, func(e *EngineConfig) bool { return c.zones[e.Zone] == 0 })
		if !found {
			engine, found = s.pickEngine(m, evictsZone, func(e *EngineConfig) bool { return c.zones[e.Zone] == 0 && s.canSwap(&c, e) })
		}
		if found {
			return s.newOrder(engine, m, "the model is loaded in "+strconv.Itoa(len(c.zones))+" zone only."), true
		}
	}
	return LoadOrder{}, false
}

// canSwap returns whether two models can exchange engines. Engine e evicts a model
// to load the one placed in c. The evicted model can then be loaded on the second
// engine of c and be in two zones again, provided that its remaining copies have
// no zone in common with c.
func (s *planState) canSwap(c *placement, e *EngineConfig) bool {
	if c.copies < 2 {
		return false
	}
	after := s.placementWithout(s.evictedModel(e), e)
	return !after.sharesZone(c)
}

// continueRollout returns a load for an engine that has only an older version of a
// model. The first engine loads the new version alone; after it, at most 1 in
// RolloutDivisor of the model's engines load it at once. The other engines
// continue to serve the old version.
func (s *planState) continueRollout() (LoadOrder, bool) {
	for i := range s.models {
		m := &s.models[i]
		c := s.placement(m.Name, false)
		done, loading := s.rolloutProgress(m)
		limit := max(1, c.copies/s.planner.cfg.RolloutDivisor)
		if done == 0 {
			limit = 1
		}
		if loading >= limit {
			continue
		}
		engine, found := s.pickEngine(m, evictsZone, func(e *EngineConfig) bool { return e.has(m.Name) })
		if found {
			return s.newOrder(engine, m, strconv.Itoa(done)+" of "+strconv.Itoa(c.copies)+" engines have this version and "+
				strconv.Itoa(loading)+" are loading it; at most "+strconv.Itoa(limit)+" at once."), true
		}
	}
	return LoadOrder{}, false
}

// rolloutProgress counts the engines that have the declared version and those
// that are loading it.
func (s *planState) rolloutProgress(m *ModelConfig) (done, loading int) {
	for i := range s.engines {
		switch e := &s.engines[i]; {
		case e.hasVersion(m.fullName()):
			done++
		case e.Loading == m.fullName():
			loading++
		}
	}
	return done, loading
}

// followDemand returns a load for the model with the highest demand per copy among
// those with too few engines. An engine is taken from another model only if
// that model keeps SlackFactor times the engines that it should have, so that
// noise in the demand does not move engines back and forth.
func (s *planState) followDemand() (LoadOrder, bool) {
	var target *ModelConfig
	for i := range s.models {
		m := &s.models[i]
		if float64(s.placement(m.Name, true).copies) >= m.RequiredEngines*s.planner.cfg.HeadroomFactor {
			continue
		}
		if target == nil || s.demandPerCopy(m) > s.demandPerCopy(target) {
			target = m
		}
	}
	if target == nil {
		return LoadOrder{}, false
	}
	engine, found := s.pickEngine(target, evictsSpare, func(e *EngineConfig) bool { return !e.has(target.Name) && s.loadAllowed(e) })
	if !found {
		return LoadOrder{}, false
	}
	c := s.placement(target.Name, true)
	return s.newOrder(engine, target, "its work takes "+decimal(target.RequiredEngines)+" engines, with headroom "+
		decimal(target.RequiredEngines*s.planner.cfg.HeadroomFactor)+", and "+strconv.Itoa(c.copies)+" have it or load it."), true
}

// loadAllowed returns whether MinLoadInterval has passed since a load was last
// seen on the engine.
func (s *planState) loadAllowed(e *EngineConfig) bool {
	h := s.planner.histories[e.ID]
	return h == nil || h.loadingSeenAt.IsZero() || s.now.Sub(h.loadingSeenAt) >= s.planner.cfg.MinLoadInterval
}
