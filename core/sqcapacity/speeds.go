package sqcapacity

import (
	"cmp"
	"slices"
	"strings"

	"sequoiadock/core/sqplace"
)

// workFactor returns how long work takes at the endpoint relative to the usual time.
func (s *Service) workFactor(e *sqplace.Endpoint) float64 {
	if f := s.WorkFactors[e.ID()]; f > 0 {
		return f
	}
	return 1
}

// meanSpeed returns the work that an endpoint of the service does in the mean, relative to
// one of usual speed.
func (s *Service) meanSpeed() float64 {
	sum, n := 0.0, 0
	for i := range s.Endpoints {
		if e := &s.Endpoints[i]; !e.Draining() {
			sum += 1 / s.workFactor(e)
			n++
		}
	}
	if n == 0 || len(s.WorkFactors) == 0 {
		return 1
	}
	return sum / float64(n)
}

// sortForStage sorts engines by how well they suit a new stage: the fastest ones prefill,
// since a prompt takes longer than the tokens of the answer, and the slowest ones return to
// decode. Equal ones are sorted by ID.
func (s *Service) sortForStage(engines []sqplace.Endpoint, stage sqplace.Stage) {
	slices.SortFunc(engines, func(a, b sqplace.Endpoint) int {
		order := cmp.Compare(s.workFactor(&a), s.workFactor(&b))
		if stage == sqplace.Decode {
			order = -order
		}
		if order != 0 {
			return order
		}
		return strings.Compare(a.ID(), b.ID())
	})
}
