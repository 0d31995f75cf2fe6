package sqcapacity

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// limitedService returns a service with 24 of 12 initial endpoints, whose peak needs so many
// engines and which has so many limited spot endpoints in each of two zones.
func limitedService(neededEngines, limitedPerZone int) *Service {
	spotA, spotB := newEndpoints("a", true, sqplace.Decode, zoneSpot), newEndpoints("b", true, sqplace.Prefill, zoneSpot)
	svc := newService(newEndpoints("a", false, sqplace.Decode, zoneOnDemand), newEndpoints("b", false, sqplace.Prefill, zoneOnDemand), spotA, spotB)
	svc.Scaling.MaxPerZone = 20
	svc.InitialEndpoints = 12
	svc.Limited = map[string]bool{}
	for i := range limitedPerZone {
		svc.Limited[spotA[i].ID()], svc.Limited[spotB[i].ID()] = true, true
	}
	svc.Demand = Demand{PrefillTokens: float64(neededEngines) * prefillTokensPerSecond * prefillUtilizationPercent / 100, Requests: 1}
	return svc
}

// TestLimitedEndpointsAreReplaced checks that endpoints are ordered in place of limited ones
// if the busiest second needs them, and only as long as there are limited ones.
func TestLimitedEndpointsAreReplaced(t *testing.T) {
	for _, c := range []struct {
		name                  string
		needed, limited, want int
	}{
		{"needed", 20, 4, zoneSpot + 2},
		{"all needed", 24, 4, zoneSpot + 4},
		{"more needed than limited", 24, 1, zoneSpot + 1},
		{"not needed", 10, 4, zoneSpot},
		{"none limited", 20, 0, zoneSpot},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			svc := limitedService(c.needed, c.limited)
			p.Observe(timeAt(0), &Service{Name: svc.Name})
			p.Observe(timeAt(1), svc)
			spot := func(svc *Service) (counts []int) {
				svc.InitialEndpoints = 12
				p.service(svc.Name).grownAt = timeAt(-10)
				for _, o := range p.Orders(timeAt(2), svc) {
					if o.Spot {
						counts = append(counts, o.Count)
					}
					p.RecordOrder(timeAt(2), o)
				}
				return counts
			}
			if c.want == zoneSpot {
				assert.Equal(t, len(spot(svc)), 0)
				return
			}
			assert.DeepEqual(t, spot(svc), []int{c.want, c.want})
			svc.Limited = nil
			assert.DeepEqual(t, spot(svc), []int{zoneSpot, zoneSpot})
		})
	}
}

// TestLimitedEngineKeepsItsStage checks that no stage change is planned for limited engines.
func TestLimitedEngineKeepsItsStage(t *testing.T) {
	for _, isLimited := range []bool{false, true} {
		p := New()
		svc := initialService()
		svc.InitialEndpoints = 12
		svc.Limited = map[string]bool{}
		for i := range svc.Endpoints[:10] {
			svc.Limited[svc.Endpoints[i].ID()] = isLimited
		}
		p.Orders(timeAt(0), svc)
		p.service(svc.Name).grownAt = timeAt(-10)
		for _, change := range p.StageChanges(timeAt(2), svc) {
			assert.Assert(t, !svc.Limited[change.Endpoint.ID()])
		}
	}
}
