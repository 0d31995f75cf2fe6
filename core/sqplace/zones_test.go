package sqplace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulated zones: in each third of the time another one has its peak, which is more
// than its own engines can serve, while those of all zones can.
const (
	zonePhaseSeconds  = 8
	zonePeakPerSecond = 600
	zoneLowPerSecond  = 100
	zoneEngines       = 3
	zoneGateways      = 24
	zoneObjective     = 250 * time.Millisecond
)

// zoneResult is what a simulation saw, in percent of the requests.
type zoneResult struct{ onTime, otherZone float64 }

// simulateZones plays short prompts at the gateways of three zones. With ownZone, gateways
// know only the engines of their zone.
func simulateZones(t *testing.T, peak int, ownZone bool) zoneResult {
	fleet := simFleet(3*zoneEngines, func(i int) Endpoint {
		return NewEndpoint(EndpointConfig{ID: fmt.Sprint("e", i), Service: "engines", Zone: zoneName(i), Slots: 16, Stage: Decode})
	})
	s := newSim(t, 1, 2, 0, fleet...)
	for i := range 3 * zoneGateways {
		p := New(Config{Zone: zoneName(i), Seed: uint64(i)})
		p.SetServices(testServices(t))
		p.SetEndpoints(slices.DeleteFunc(slices.Clone(fleet), func(e Endpoint) bool { return ownZone && e.Zone() != zoneName(i) }))
		s.gateways = append(s.gateways, p)
	}
	var due [3]float64
	total, onTime, other := 0, 0, 0
	for milli := range 3 * zonePhaseSeconds * 1000 {
		now := start.Add(time.Duration(milli) * time.Millisecond)
		s.advance(now)
		if milli%300 == 0 {
			s.exchangeLoads(s.gateways...)
		}
		for zone := range due {
			due[zone] += zoneLowPerSecond / 1000.0
			if milli/1000/zonePhaseSeconds == zone {
				due[zone] += float64(peak-zoneLowPerSecond) / 1000
			}
			for ; due[zone] >= 1; due[zone]-- {
				p := s.gateways[zone+3*s.random.IntN(zoneGateways)]
				r := s.place(now, p, engineQuery(fmt.Sprint("s", s.random.IntN(5)), 92, 291), &simLoad{})
				total++
				if r.placed && r.took <= zoneObjective {
					onTime++
				}
				if r.otherZone {
					other++
				}
			}
		}
	}
	return zoneResult{onTime: float64(onTime) * 100 / float64(total), otherZone: float64(other) * 100 / float64(total)}
}

func zoneName(i int) string { return string(rune('a' + i%3)) }

// TestOtherZonesCarryPeak fails if a zone's peak is not carried by engines of other zones, or
// if most requests leave their zone while its own engines have room.
func TestOtherZonesCarryPeak(t *testing.T) {
	own, all := simulateZones(t, zonePeakPerSecond, true), simulateZones(t, zonePeakPerSecond, false)
	low := simulateZones(t, zoneLowPerSecond, false)
	t.Logf("on time %.1f %%, %.1f %% with engines of the own zone only; in another zone %.1f %%, %.1f %% without peaks",
		all.onTime, own.onTime, all.otherZone, low.otherZone)
	assert.Assert(t, own.onTime < 80 && all.onTime > 99)
	assert.Assert(t, all.otherZone > 20 && low.otherZone < 33)
}
