package sqcapacity

import (
	"math"
	"slices"
	"time"

	"sequoiadock/core/sqplace"
)

const (
	// prefillTokensPerSecond is the throughput of an engine that only prefills.
	prefillTokensPerSecond = 33_000
	// prefillUtilizationPercent and decodeUtilizationPercent are the shares of the
	// capacity planned for the busiest second; the rest absorbs bursts within that
	// second.
	prefillUtilizationPercent = 60
	decodeUtilizationPercent  = 50
	// initialTargetPercent of the initial endpoints is the target before there is any
	// demand, and maxTargetPercent the highest target.
	initialTargetPercent = 200
	maxTargetPercent     = 250
	// minOnDemandPercent of the initial endpoints stays on demand: two zones may lose all
	// their spot endpoints at the same time.
	minOnDemandPercent = 50
	// minRunningPercent of the target must run; endpoints missing below it are ordered
	// on demand, since no spot endpoints are available.
	minRunningPercent = 40
	// initialEndpointsStableTime is how long the number of initial endpoints must not
	// have grown before it is taken as final: the platform's list fills up gradually.
	initialEndpointsStableTime = 1200 * time.Millisecond
	// refusalBackoff is how long an order is not repeated after the platform had no
	// such endpoints, resendInterval how long an order may stay unfulfilled before it
	// is sent again.
	refusalBackoff = 700 * time.Millisecond
	resendInterval = 6 * time.Second
)

// Orders returns the orders of a service to send now. Before the first demand, spot
// endpoints replace on-demand endpoints. When a zone loses its spot endpoints, the
// other endpoints go on serving, and the spot endpoints are ordered again until they
// are available.
func (p *Planner) Orders(now time.Time, svc *Service) []Order {
	if svc.Scaling == nil || len(svc.Scaling.ZonePrices) == 0 {
		return nil
	}
	s := p.service(svc.Name)
	s.updateTarget(now, svc)
	if p.InitialEndpoints(now, svc.Name) == 0 {
		return nil
	}
	zones := pricedZones(svc)
	reserveKnown := s.decideReserve(now, svc)
	target := s.target + s.replacements(svc)
	targetPerZone := min((target+len(zones)-1)/len(zones), svc.Scaling.MaxPerZone)
	shortage := s.shortagePerZone(svc, len(zones))
	reserve := s.minOnDemandPerZone(svc, len(zones))
	var standIns map[string]int
	if s.replacesReclaimed {
		standIns = s.standIns(now, svc, zones, max(0, targetPerZone-reserve))
	}
	var orders []Order
	for _, zone := range zones {
		if !reserveKnown && countEndpoints(svc.Endpoints, zone).onDemand < reserve {
			// The endpoints that an earlier lease holder ordered stay.
			continue
		}
		minOnDemand := reserve + standIns[zone]
		for _, o := range s.zoneOrders(svc, zone, targetPerZone, minOnDemand, shortage) {
			if s.needsSending(now, o) {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// updateTarget sets the target number of endpoints to the need of the busiest second.
// The target never falls, since each new endpoint starts with an empty cache.
func (s *serviceState) updateTarget(now time.Time, svc *Service) {
	peak, hasDemand := s.demand.peak()
	switch {
	case svc.InitialEndpoints > 0:
		s.initialEndpoints = svc.InitialEndpoints
	case !hasDemand && len(s.lastOrders) == 0 && len(svc.Endpoints) > s.initialEndpoints:
		s.initialEndpoints, s.grownAt = len(svc.Endpoints), now
	}
	s.target = max(s.target, s.initialEndpoints*initialTargetPercent/100)
	if hasDemand && svc.Engine != nil {
		s.target = max(s.target, min(enginesNeeded(peak, svc), s.initialEndpoints*maxTargetPercent/100))
	}
}

// replacements returns how many endpoints run in place of limited ones, beyond the target:
// as many as the busiest second needs more than take requests without a limit. Unlike the
// target, the number falls when limits end.
func (s *serviceState) replacements(svc *Service) int {
	peak, hasDemand := s.demand.peak()
	if len(svc.Limited) == 0 || !hasDemand || svc.Engine == nil {
		return 0
	}
	limited, unlimited := 0, 0
	for i := range svc.Endpoints {
		e := &svc.Endpoints[i]
		switch {
		case e.Draining():
		case svc.Limited[e.ID()]:
			limited++
		default:
			unlimited++
		}
	}
	return min(max(0, enginesNeeded(peak, svc)-unlimited), limited)
}

// enginesNeeded returns how many engines both stages need.
func enginesNeeded(peak demandRate, svc *Service) int {
	return prefillEnginesNeeded(peak, svc.meanSpeed()) + decodeEnginesNeeded(peak, svc.Engine.Slots)
}

// shortagePerZone returns how many endpoints each zone has to add, on demand if need
// be, to reach minRunningPercent of the target.
func (s *serviceState) shortagePerZone(svc *Service, zones int) int {
	running := 0
	for i := range svc.Endpoints {
		if e := &svc.Endpoints[i]; !e.Draining() && !svc.Limited[e.ID()] {
			running++
		}
	}
	missing := s.target*minRunningPercent/100 - running
	return max(0, (missing+zones-1)/zones)
}

// prefillEnginesNeeded returns how many engines the prefill stage needs if they have the
// speed, relative to the usual one.
func prefillEnginesNeeded(peak demandRate, speed float64) int {
	return int(math.Ceil(peak.prefillTokens / (prefillTokensPerSecond * speed) * 100 / prefillUtilizationPercent))
}

// decodeEnginesNeeded returns how many engines the decode stage needs. The measured number
// of concurrent requests contains the engines' speed: slow engines have more of them.
func decodeEnginesNeeded(peak demandRate, slots int) int {
	return int(math.Ceil(peak.concurrentDecodes / float64(max(1, slots)) * 100 / decodeUtilizationPercent))
}

// minOnDemandPerZone returns the minimum number of on-demand endpoints of each zone.
func (s *serviceState) minOnDemandPerZone(svc *Service, zones int) int {
	percent := minOnDemandPercent
	if s.replacesReclaimed {
		percent = replacingOnDemandPercent
	}
	return max(svc.Scaling.MinPerZone, s.initialEndpoints*percent/100/zones)
}

// zoneOrders returns the orders of one zone, whether or not they need sending.
func (s *serviceState) zoneOrders(svc *Service, zone string, target, minOnDemand, shortage int) []Order {
	current := countEndpoints(svc.Endpoints, zone)
	if price := svc.Scaling.SpotPriceRatio; price <= 0 || price >= 1 {
		return []Order{{Service: svc.Name, Zone: zone, Count: max(minOnDemand, target), Listed: current.onDemand, Reason: "the busiest second"}}
	}
	awaited := s.spotsOf(zone).awaited
	spot := max(0, target-minOnDemand, awaited)
	onDemand, room := minOnDemand, svc.Scaling.MaxPerZone-max(current.spot, awaited)
	if s.lastOrders[orderKey{zone, false}].sentAt.IsZero() && current.spot*2 < spot {
		// The initial endpoints stay until at least half of the spot endpoints are listed.
		onDemand = current.onDemand
	}
	if shortage > 0 {
		// Missing spot endpoints leave room for on-demand endpoints, since the zone's
		// limit covers both.
		onDemand = max(onDemand, min(current.onDemand+shortage, room))
		spot = min(spot, svc.Scaling.MaxPerZone-onDemand)
	}
	if awaited > 0 {
		// What was ordered on demand stays until the zone has its spot endpoints back, also if
		// there is no shortage with them.
		onDemand = max(onDemand, min(current.onDemand, room))
		spot = min(spot, svc.Scaling.MaxPerZone-onDemand)
	}
	return []Order{
		{Service: svc.Name, Zone: zone, Spot: true, Count: spot, Listed: current.spot, Reason: "cheaper, spread over zones"},
		{Service: svc.Name, Zone: zone, Count: max(minOnDemand, onDemand), Listed: current.onDemand, Reason: "the least that is not reclaimed"},
	}
}

// needsSending reports whether an order differs from the last one sent or was not
// fulfilled within resendInterval. It is false during refusalBackoff.
func (s *serviceState) needsSending(now time.Time, o Order) bool {
	last := s.lastOrders[orderKey{o.Zone, o.Spot}]
	if !last.refusedAt.IsZero() && now.Sub(last.refusedAt) < refusalBackoff {
		return false
	}
	if last.sentAt.IsZero() {
		return o.Count != o.Listed
	}
	return last.count != o.Count || o.Count != o.Listed && now.Sub(last.sentAt) >= resendInterval
}

// endpointCounts counts the endpoints of a zone that are not draining.
type endpointCounts struct{ onDemand, spot int }

func countEndpoints(list []sqplace.Endpoint, zone string) endpointCounts {
	var c endpointCounts
	for i := range list {
		e := &list[i]
		switch {
		case e.Zone() != zone || e.Draining():
		case e.Spot():
			c.spot++
		default:
			c.onDemand++
		}
	}
	return c
}

// pricedZones returns the zones that have a price, cheapest first, then by name.
func pricedZones(svc *Service) []string {
	var zones []string
	for zone := range svc.Scaling.ZonePrices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		pa, pb := svc.Scaling.ZonePrices[a], svc.Scaling.ZonePrices[b]
		switch {
		case pa < pb || pa == pb && a < b:
			return -1
		default:
			return 1
		}
	})
	return zones
}
