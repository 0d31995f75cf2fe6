package sqplace

import (
	"fmt"
	"math/rand/v2"
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
	// zoneOneWay is the latency between two zones.
	zoneOneWay    = 1150 * time.Microsecond
	zoneObjective = 250 * time.Millisecond
)

// zoneResult is what a simulation saw, in percent of the requests.
type zoneResult struct{ onTime, otherZone float64 }

// simulateZones plays short prompts at the gateways of three zones. With ownZone, gateways
// know only the engines of their zone.
func simulateZones(t *testing.T, peak int, ownZone bool) zoneResult {
	rng := rand.New(rand.NewPCG(1, 2))
	var fleet []Endpoint
	engines := map[string]*simEngine{}
	for i := range 3 * zoneEngines {
		id := fmt.Sprint("e", i)
		fleet = append(fleet, NewEndpoint(EndpointConfig{ID: id, Service: "engines", Zone: zoneName(i), Slots: 16, Stage: Decode}))
		engines[id] = &simEngine{cache: newPrefixCache()}
	}
	var gateways []*Placer
	for i := range 3 * zoneGateways {
		p := New(Config{Zone: zoneName(i), Seed: uint64(i)})
		p.SetServices(testServices(t))
		var known []Endpoint
		for _, e := range fleet {
			if !ownZone || e.Zone() == zoneName(i) {
				known = append(known, e)
			}
		}
		p.SetEndpoints(known)
		gateways = append(gateways, p)
	}
	finishes := map[int][]func(now time.Time){}
	var due [3]float64
	total, onTime, other := 0, 0, 0
	for milli := range 3 * zonePhaseSeconds * 1000 {
		now := start.Add(time.Duration(milli) * time.Millisecond)
		for _, finish := range finishes[milli] {
			finish(now)
		}
		delete(finishes, milli)
		if milli%300 == 0 {
			exchangeLoads(gateways)
		}
		for zone := range due {
			due[zone] += zoneLowPerSecond / 1000.0
			if milli/1000/zonePhaseSeconds == zone {
				due[zone] += float64(peak-zoneLowPerSecond) / 1000
			}
			for ; due[zone] >= 1; due[zone]-- {
				p := gateways[zone+3*rng.IntN(zoneGateways)]
				q := engineQuery(fmt.Sprint("s", rng.IntN(5)), 92, 291)
				total++
				c := p.Choose(now, q)
				if c.Endpoint == nil {
					continue
				}
				way := time.Duration(0)
				if c.Endpoint.Zone() != p.cfg.Zone {
					way, other = zoneOneWay, other+1
				}
				done, _ := engines[c.Endpoint.ID()].prefill(now.Add(way), q)
				done = done.Add(way)
				if done.Sub(now) <= zoneObjective {
					onTime++
				}
				d := p.StartDispatch(now, c.Endpoint, q, c.UncachedTokens, c.ExpectedLatency)
				end := int(done.Sub(start).Milliseconds()) + 1
				finishes[end] = append(finishes[end], func(now time.Time) {
					d.RecordFirstToken(now)
					d.Finish(now, true, true)
				})
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
