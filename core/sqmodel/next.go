package sqmodel

import (
	"strconv"

	"sequoiadock/core/sqroute"
)

// next returns the load that matters most: a model that nobody serves, an engine
// without work, a second zone, a new version, and demand last.
func (s *situation) next() (LoadOrder, bool) {
	steps := []func() (LoadOrder, bool){s.missing, s.idle, s.secondZone, s.rollout, s.demand}
	for _, step := range steps {
		if l, found := step(); found {
			return l, true
		}
	}
	return LoadOrder{}, false
}

// missing finds a model that no engine serves from prompt to answer. An engine
// that does both mends that alone, so it is taken first.
func (s *situation) missing() (LoadOrder, bool) {
	for i := range s.models {
		m := &s.models[i]
		c := s.spread(m.Name, true)
		if c.kinds() == 2 {
			continue
		}
		helps := func(e *EngineConfig) bool {
			return (c.prefills == 0 && e.Role != sqroute.RoleDecode) || (c.decodes == 0 && e.Role != sqroute.RolePrefill)
		}
		both := func(e *EngineConfig) bool { return e.Role == sqroute.RoleBoth && helps(e) }
		engine, found := s.choose(m, dropsZone, both)
		if !found {
			engine, found = s.choose(m, dropsZone, helps)
		}
		if found {
			return s.load(engine, m, "of "+strconv.Itoa(c.copies)+" engines that have the model, "+strconv.Itoa(c.prefills)+
				" prefill and "+strconv.Itoa(c.decodes)+" decode."), true
		}
		s.plan.lines = append(s.plan.lines, "Model "+m.full()+" is not served, and no engine is free or can drop what it has for it.")
	}
	return LoadOrder{}, false
}

// idle finds an engine that has no declared model, and gives it the one that is
// shortest of engines for its work.
func (s *situation) idle() (LoadOrder, bool) {
	for i := range s.engines {
		e := &s.engines[i]
		if e.OrderOpen || s.paused(e) || e.hasDeclared(s.models) || len(s.models) == 0 {
			continue
		}
		m := &s.models[0]
		for j := range s.models {
			if s.shortage(&s.models[j]) > s.shortage(m) {
				m = &s.models[j]
			}
		}
		return s.load(i, m, "it has no declared model, and this one has the fewest engines for its work, which takes "+
			number(m.RequiredEngines)+"."), true
	}
	return LoadOrder{}, false
}

// shortage is the work of one engine of the model; even a model without work
// counts for something, so that idle engines spread over the models.
func (s *situation) shortage(m *ModelConfig) float64 {
	const floor = 0.01
	return (m.RequiredEngines + floor) / (float64(s.spread(m.Name, true).copies) + floor)
}

// secondZone finds a model that one zone's loss would end. Zones go before
// demand, but no other model loses a zone for it unless both end with two.
func (s *situation) secondZone() (LoadOrder, bool) {
	for i := range s.models {
		m := &s.models[i]
		c := s.spread(m.Name, true)
		if len(c.zones) >= min(zonesWanted, s.zones()) {
			continue
		}
		engine, found := s.choose(m, dropsUsed, func(e *EngineConfig) bool { return c.zones[e.Zone] == 0 })
		if !found {
			engine, found = s.choose(m, dropsZone, func(e *EngineConfig) bool { return c.zones[e.Zone] == 0 && s.swaps(&c, e) })
		}
		if found {
			return s.load(engine, m, "the model is loaded in "+strconv.Itoa(len(c.zones))+" zone only."), true
		}
	}
	return LoadOrder{}, false
}

// swaps returns whether the model that the engine drops for that of c can take
// the second of c's engines in turn, and so has two zones again: it must not be
// in that zone already.
func (s *situation) swaps(c *spread, e *EngineConfig) bool {
	if c.copies < 2 {
		return false
	}
	left := s.without(s.dropped(e), e)
	return !left.shares(c)
}

// rollout finds an engine that has an older version only. The first engine goes
// alone; after it, one of Part engines of the model at once. The others go on
// with the old version meanwhile.
func (s *situation) rollout() (LoadOrder, bool) {
	for i := range s.models {
		m := &s.models[i]
		c := s.spread(m.Name, false)
		done, loading := s.progress(m)
		limit := max(1, c.copies/s.p.cfg.RolloutDivisor)
		if done == 0 {
			limit = 1
		}
		if loading >= limit {
			continue
		}
		engine, found := s.choose(m, dropsZone, func(e *EngineConfig) bool { return e.has(m.Name) })
		if found {
			return s.load(engine, m, strconv.Itoa(done)+" of "+strconv.Itoa(c.copies)+" engines have this version and "+
				strconv.Itoa(loading)+" are loading it; at most "+strconv.Itoa(limit)+" at once."), true
		}
	}
	return LoadOrder{}, false
}

// progress counts the engines that have the declared version, and those that
// are loading it.
func (s *situation) progress(m *ModelConfig) (done, loading int) {
	for i := range s.engines {
		switch e := &s.engines[i]; {
		case e.hasFull(m.full()):
			done++
		case e.Loading == m.full():
			loading++
		}
	}
	return done, loading
}

// demand finds the model that is shortest of engines for its work and an engine
// that nothing else needs more. An engine is taken from another model only when
// that one keeps Slack times what it should have, so that noise moves nothing
// to and fro.
func (s *situation) demand() (LoadOrder, bool) {
	var short *ModelConfig
	for i := range s.models {
		m := &s.models[i]
		if float64(s.spread(m.Name, true).copies) >= m.RequiredEngines*s.p.cfg.HeadroomFactor {
			continue
		}
		if short == nil || s.shortage(m) > s.shortage(short) {
			short = m
		}
	}
	if short == nil {
		return LoadOrder{}, false
	}
	engine, found := s.choose(short, dropsSpare, func(e *EngineConfig) bool { return !e.has(short.Name) && s.rested(e) })
	if !found {
		return LoadOrder{}, false
	}
	c := s.spread(short.Name, true)
	return s.load(engine, short, "its work takes "+number(short.RequiredEngines)+" engines, with headroom "+
		number(short.RequiredEngines*s.p.cfg.HeadroomFactor)+", and "+strconv.Itoa(c.copies)+" have it or load it."), true
}

// rested returns whether the engine's last load is long enough ago.
func (s *situation) rested(e *EngineConfig) bool {
	h := s.p.engines[e.ID]
	return h == nil || h.loadedAt.IsZero() || s.now.Sub(h.loadedAt) >= s.p.cfg.MinLoadInterval
}
