package sqcapacity

import (
	"slices"
	"strings"
	"time"

	"sequoiadock/core/sqplace"
)

const (
	// firstReadPercent of the engines read prompts ahead before any demand was
	// seen.
	firstReadPercent = 40
	// leastReadPercent and mostReadPercent bound the part that reads ahead.
	leastReadPercent = 34
	mostReadPercent  = 46
	// slack is by how many engines the split may be off before it is changed.
	slack = 2
	// atOncePercent of the engines may change at the same time under load.
	atOncePercent = 12
	// changePause is how long after a change of the stage an engine is left alone.
	changePause = 10 * time.Second
)

// StageChanges returns which engines change their stage now.
func (p *Planner) StageChanges(now time.Time, v *Service) []StageChange {
	if v.Engine == nil {
		return nil
	}
	s := p.service(v.Name)
	if p.FirstFleet(now, v.Name) == 0 {
		return nil
	}
	var readersNow, decodersNow []sqplace.Endpoint
	changing := 0
	for _, e := range v.Endpoints {
		switch {
		case now.Sub(s.switched[e.ID()]) < v.Engine.StageSwitchTime+time.Second:
			changing++
		case e.Draining():
		case e.Stage() == sqplace.Prefill:
			readersNow = append(readersNow, e)
		case e.Stage() == sqplace.Decode:
			decodersNow = append(decodersNow, e)
		}
	}
	all := len(readersNow) + len(decodersNow)
	if all < 2 {
		return nil
	}
	want, atOnce := s.readersWanted(v, all)
	atOnce -= changing
	switch {
	case want >= len(readersNow)+slack:
		return s.pick(now, decodersNow, sqplace.Prefill, min(want-len(readersNow), atOnce))
	case want <= len(readersNow)-slack:
		return s.pick(now, readersNow, sqplace.Decode, min(len(readersNow)-want, atOnce))
	default:
		return nil
	}
}

// readersWanted returns how many of the engines shall read ahead, and how many
// may change at once.
func (s *service) readersWanted(v *Service, all int) (want, atOnce int) {
	most, seen := s.rates.peak()
	if !seen {
		return all * firstReadPercent / 100, all
	}
	r, d := readers(most), decoders(most, v.Engine.Slots)
	want = all * r / max(1, r+d)
	want = min(max(want, all*leastReadPercent/100), all*mostReadPercent/100)
	return max(1, min(want, all-1)), max(1, all*atOncePercent/100)
}

// pick returns the changes of up to n engines, spread over the zones.
func (s *service) pick(now time.Time, from []sqplace.Endpoint, stage sqplace.Stage, n int) []StageChange {
	byZone := map[string]int{}
	slices.SortFunc(from, func(a, b sqplace.Endpoint) int { return strings.Compare(a.ID(), b.ID()) })
	var changes []StageChange
	for len(changes) < n {
		best := -1
		for i, e := range from {
			if now.Sub(s.switched[e.ID()]) < changePause {
				continue
			}
			if best < 0 || byZone[e.Zone()] < byZone[from[best].Zone()] {
				best = i
			}
		}
		if best < 0 {
			break
		}
		e := from[best]
		byZone[e.Zone()]++
		s.switched[e.ID()] = now
		from = slices.Delete(from, best, best+1)
		changes = append(changes, StageChange{Endpoint: e, Stage: stage, Reason: "the demand of the busiest second"})
	}
	return changes
}
