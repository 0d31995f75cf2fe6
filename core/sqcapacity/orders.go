package sqcapacity

import (
	"math"
	"slices"
	"time"

	"sequoiadock/core/sqplace"
)

const (
	// readerTokensPerSecond is what an engine reads that does nothing else.
	readerTokensPerSecond = 33_000
	// readerUsePercent and decoderUsePercent of the capacity are planned for the
	// busiest second; the rest is for what comes at once within it.
	readerUsePercent  = 60
	decoderUsePercent = 50
	// firstPercent of the first fleet is wanted before any demand was seen, and
	// mostPercent at most.
	firstPercent = 200
	mostPercent  = 250
	// dearPercent of the first fleet stays as it is: two zones may lose all others at
	// the same time.
	dearPercent = 50
	// leastPercent of what is wanted must run; what is not to be had cheaply is
	// then ordered dear.
	leastPercent = 40
	// settled is how long the first fleet must not have grown: the platform's list
	// fills up by and by.
	settled = 1200 * time.Millisecond
	// retryRefused is how long a zone without endpoints of a kind is left alone,
	// repeatAfter how long an order is waited for before it is sent again.
	retryRefused = 700 * time.Millisecond
	repeatAfter  = 6 * time.Second
)

// Orders returns what to order now for a service. Endpoints that may be
// reclaimed take the place of others before the first demand; when a zone loses
// them, the rest goes on, and they are ordered again once they are to be had.
func (p *Planner) Orders(now time.Time, v *Service) []Order {
	if v.Scaling == nil || len(v.Scaling.ZonePrices) == 0 {
		return nil
	}
	s := p.service(v.Name)
	s.noteWanted(now, v)
	if p.FirstFleet(now, v.Name) == 0 {
		return nil
	}
	zones := zonesOf(v)
	perZone := min((s.wanted+len(zones)-1)/len(zones), v.Scaling.MaxPerZone)
	extra := s.shortage(v, len(zones))
	var orders []Order
	for _, zone := range zones {
		for _, o := range s.zoneOrders(v, zone, perZone, s.leastDear(v, len(zones)), extra) {
			if s.due(now, o) {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// noteWanted sets how many endpoints are wanted: as many as the busiest second
// needed, and never fewer than before, since each new one begins with an empty
// cache.
func (s *service) noteWanted(now time.Time, v *Service) {
	most, seen := s.rates.peak()
	switch {
	case v.FirstFleet > 0:
		s.first = v.FirstFleet
	case !seen && len(s.ordered) == 0 && len(v.Endpoints) > s.first:
		s.first, s.grownAt = len(v.Endpoints), now
	}
	s.wanted = max(s.wanted, s.first*firstPercent/100)
	if seen && v.Engine != nil {
		need := readers(most) + decoders(most, v.Engine.Slots)
		s.wanted = max(s.wanted, min(need, s.first*mostPercent/100))
	}
}

// shortage returns how many endpoints each zone has to add at any price.
func (s *service) shortage(v *Service, zones int) int {
	running := 0
	for i := range v.Endpoints {
		if !v.Endpoints[i].Draining() {
			running++
		}
	}
	missing := s.wanted*leastPercent/100 - running
	return max(0, (missing+zones-1)/zones)
}

// readers returns how many engines the reading of prompts needs.
func readers(r rate) int {
	return int(math.Ceil(r.unread / readerTokensPerSecond * 100 / readerUsePercent))
}

// decoders returns how many engines the making of tokens needs.
func decoders(r rate, slots int) int {
	return int(math.Ceil(r.decoding / float64(max(1, slots)) * 100 / decoderUsePercent))
}

// leastDear returns how many endpoints of each zone are not to be reclaimed.
func (s *service) leastDear(v *Service, zones int) int {
	return max(v.Scaling.MinPerZone, s.first*dearPercent/100/zones)
}

// zoneOrders returns the orders of one zone.
func (s *service) zoneOrders(v *Service, zone string, wanted, least, extra int) []Order {
	have := count(v.Endpoints, zone)
	if p := v.Scaling.SpotPriceRatio; p <= 0 || p >= 1 {
		return []Order{{Service: v.Name, Zone: zone, Count: max(least, wanted), Listed: have.dear, Reason: "the busiest second"}}
	}
	spot := max(0, wanted-least)
	dear := least
	if s.ordered[kind{zone, false}].at.IsZero() && have.spot*2 < spot {
		// The first ones stay until cheaper ones serve.
		dear = have.dear
	}
	if extra > 0 {
		// Cheap ones that are not there make room: the zone's limit is for both kinds.
		dear = max(dear, min(have.dear+extra, v.Scaling.MaxPerZone-have.spot))
		spot = min(spot, v.Scaling.MaxPerZone-dear)
	}
	return []Order{
		{Service: v.Name, Zone: zone, Spot: true, Count: spot, Listed: have.spot, Reason: "cheaper, spread over zones"},
		{Service: v.Name, Zone: zone, Count: max(least, dear), Listed: have.dear, Reason: "the least that is not reclaimed"},
	}
}

// due reports whether an order says something new, or was not carried out.
func (s *service) due(now time.Time, o Order) bool {
	was := s.ordered[kind{o.Zone, o.Spot}]
	if !was.refusedAt.IsZero() && now.Sub(was.refusedAt) < retryRefused {
		return false
	}
	if was.at.IsZero() {
		return o.Count != o.Listed
	}
	return was.count != o.Count || o.Count != o.Listed && now.Sub(was.at) >= repeatAfter
}

// counts are the endpoints of a zone that are not leaving.
type counts struct{ dear, spot int }

func count(list []sqplace.Endpoint, zone string) counts {
	var c counts
	for i := range list {
		e := &list[i]
		switch {
		case e.Zone() != zone || e.Draining():
		case e.Spot():
			c.spot++
		default:
			c.dear++
		}
	}
	return c
}

// zonesOf returns the zones in which endpoints are listed or priced, cheapest
// first.
func zonesOf(v *Service) []string {
	var zones []string
	for zone := range v.Scaling.ZonePrices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		pa, pb := v.Scaling.ZonePrices[a], v.Scaling.ZonePrices[b]
		switch {
		case pa < pb || pa == pb && a < b:
			return -1
		default:
			return 1
		}
	})
	return zones
}
