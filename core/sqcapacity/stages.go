package sqcapacity

import (
	"slices"
	"time"

	"sequoiadock/core/sqplace"
)

const (
	// initialPrefillPercent is the share of engines in the prefill stage before there
	// is any demand.
	initialPrefillPercent = 40
	// minPrefillPercent and maxPrefillPercent bound the share of engines in the
	// prefill stage.
	minPrefillPercent = 34
	maxPrefillPercent = 46
	// minSplitDifference is the minimum difference, in engines, between the target and
	// the current number of prefill engines at which stages change.
	minSplitDifference = 2
	// maxChangingPercent of the engines may change their stage at the same time under
	// load.
	maxChangingPercent = 12
	// stageChangeCooldown is how long an engine keeps its stage after a change.
	stageChangeCooldown = 10 * time.Second
)

// StageChanges returns the stage changes of engines to make now.
func (p *Planner) StageChanges(now time.Time, svc *Service) []StageChange {
	if svc.Engine == nil {
		return nil
	}
	s := p.service(svc.Name)
	if p.InitialEndpoints(now, svc.Name) == 0 {
		return nil
	}
	var prefillEngines, decodeEngines []sqplace.Endpoint
	changing := 0
	for _, e := range svc.Endpoints {
		switch {
		case now.Sub(s.stageChangedAt[e.ID()]) < svc.Engine.StageSwitchTime+time.Second:
			changing++
		case e.Draining() || svc.Limited[e.ID()]:
		case e.Stage() == sqplace.Prefill:
			prefillEngines = append(prefillEngines, e)
		case e.Stage() == sqplace.Decode:
			decodeEngines = append(decodeEngines, e)
		}
	}
	total := len(prefillEngines) + len(decodeEngines)
	if total < 2 {
		return nil
	}
	target, maxChanges := s.targetPrefillEngines(svc, total)
	maxChanges -= changing
	switch {
	case target >= len(prefillEngines)+minSplitDifference:
		return s.pickChanges(now, svc, decodeEngines, sqplace.Prefill, min(target-len(prefillEngines), maxChanges))
	case target <= len(prefillEngines)-minSplitDifference:
		return s.pickChanges(now, svc, prefillEngines, sqplace.Decode, min(len(prefillEngines)-target, maxChanges))
	default:
		return nil
	}
}

// targetPrefillEngines returns how many of the engines shall be in the prefill stage,
// and how many may change their stage at the same time.
func (s *serviceState) targetPrefillEngines(svc *Service, total int) (target, maxChanges int) {
	peak, hasDemand := s.demand.peak()
	if !hasDemand {
		return total * initialPrefillPercent / 100, total
	}
	prefill, decode := prefillEnginesNeeded(peak, svc.meanSpeed()), decodeEnginesNeeded(peak, svc.Engine.Slots)
	target = total * prefill / max(1, prefill+decode)
	target = min(max(target, total*minPrefillPercent/100), total*maxPrefillPercent/100)
	return max(1, min(target, total-1)), max(1, total*maxChangingPercent/100)
}

// pickChanges returns stage changes of up to n of the candidates, spread over the
// zones, those that suit the stage best first.
func (s *serviceState) pickChanges(now time.Time, svc *Service, engines []sqplace.Endpoint, stage sqplace.Stage, n int) []StageChange {
	byZone := map[string]int{}
	svc.sortForStage(engines, stage)
	var changes []StageChange
	for len(changes) < n {
		best := -1
		for i, e := range engines {
			if now.Sub(s.stageChangedAt[e.ID()]) < stageChangeCooldown {
				continue
			}
			if best < 0 || byZone[e.Zone()] < byZone[engines[best].Zone()] {
				best = i
			}
		}
		if best < 0 {
			break
		}
		e := engines[best]
		byZone[e.Zone()]++
		s.stageChangedAt[e.ID()] = now
		engines = slices.Delete(engines, best, best+1)
		changes = append(changes, StageChange{Endpoint: e, Stage: stage, Reason: "the demand of the busiest second"})
	}
	return changes
}
