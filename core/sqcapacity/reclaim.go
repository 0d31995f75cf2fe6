package sqcapacity

import "time"

const (
	// maxLostZones is how many zones may lose their spot endpoints at the same time while the
	// others still carry the load.
	maxLostZones = 2
	// replacingOnDemandPercent of the initial endpoints stays on demand where reclaimed ones
	// are replaced: two zones may be lost at the same moment, and an endpoint takes seconds to
	// start and to fill its cache.
	replacingOnDemandPercent = 20
	// zoneRecoveryTime is how long a zone must have its spot endpoints back before the
	// on-demand endpoints that stand in for them are released: new engines have empty caches.
	zoneRecoveryTime = 5 * time.Second
	// speedReportTime is how long after the first request a lease holder has heard of the
	// speed of an endpoint, if any reports it: a few heartbeats.
	speedReportTime = 5 * time.Second
)

// zoneSpots is what a planner remembers of the spot endpoints of one zone.
type zoneSpots struct {
	// most is the highest number that was listed since the last loss.
	most int
	lost bool
	// awaited is how many must be back before a lost zone has recovered, else 0.
	awaited int
	// backSince is since when a lost zone has its spot endpoints back.
	backSince time.Time
}

// observe updates the state of a zone that lists so many spot endpoints, of which full ones
// shall run without a loss. A zone has lost its spot endpoints if fewer than half are left,
// and has them back once half of them run again. The number that is ordered meanwhile does not
// count: the endpoints that stand in take some of the zone's room.
func (z *zoneSpots) observe(now time.Time, listed, full int) {
	if !z.lost {
		z.most = max(z.most, listed)
	}
	// Endpoints beyond the full number were released, not lost.
	z.most = min(z.most, full)
	switch {
	case listed*2 < z.most:
		z.lost, z.backSince, z.awaited = true, time.Time{}, (z.most+1)/2
	case z.lost:
		if z.backSince.IsZero() {
			z.backSince = now
		}
		if now.Sub(z.backSince) >= zoneRecoveryTime {
			*z = zoneSpots{most: listed}
		}
	}
}

// standIns returns how many on-demand endpoints each zone that has lost its spot
// endpoints runs in their place, by zone. Once a zone is lost, another one may be lost
// sooner than an endpoint starts. So there are as many that the service keeps its initial
// number of endpoints even if the zone with the most spot endpoints is lost next, as far as
// the zone's limit leaves room for half of its spot endpoints to return. Full is the number
// of spot endpoints of a zone without a loss.
func (s *serviceState) standIns(now time.Time, svc *Service, zones []string, full int) map[string]int {
	var lost []string
	reserve := s.minOnDemandPerZone(svc, len(zones))
	remaining, most := 0, 0
	for _, zone := range zones {
		spots := s.spotsOf(zone)
		listed := countEndpoints(svc.Endpoints, zone).spot
		spots.observe(now, listed, full)
		remaining += reserve
		if spots.lost {
			// Those that are left are about to go, and new ones have empty caches.
			lost = append(lost, zone)
			continue
		}
		remaining += listed
		most = max(most, listed)
	}
	if len(lost) == 0 {
		return nil
	}
	if len(lost) < maxLostZones {
		remaining -= most
	}
	missing := max(0, s.initialEndpoints-remaining)
	standIns := make(map[string]int, len(lost))
	for _, zone := range lost {
		room := svc.Scaling.MaxPerZone - reserve - max(countEndpoints(svc.Endpoints, zone).spot, s.spotsOf(zone).awaited)
		standIns[zone] = max(0, min((missing+len(lost)-1)/len(lost), room))
	}
	return standIns
}

// decideReserve sets whether reclaimed spot endpoints of the service are replaced instead of
// a constant reserve being kept. It returns false while that is not known: a new lease holder
// knows the speeds of endpoints only some time after requests are answered.
func (s *serviceState) decideReserve(now time.Time, svc *Service) bool {
	if !s.planned {
		s.planned, s.takesOver = true, svc.InitialEndpoints > 0
	}
	// Endpoints without requests do not report their speed, so the decision stays.
	s.replacesReclaimed = s.replacesReclaimed || svc.ReplacesReclaimed
	if _, hasDemand := s.demand.peak(); hasDemand && s.demandSince.IsZero() {
		s.demandSince = now
	}
	return s.replacesReclaimed || !s.takesOver || !s.demandSince.IsZero() && now.Sub(s.demandSince) >= speedReportTime
}

func (s *serviceState) spotsOf(zone string) *zoneSpots {
	z := s.spots[zone]
	if z == nil {
		z = &zoneSpots{}
		s.spots[zone] = z
	}
	return z
}
