package sqstock

import "time"

// backOffReclaimedZones treats a zone as out of spot stock when the platform has
// reclaimed spot endpoints there. The platform is unlikely to grant new ones at
// once, and an order would only lose the time until it is refused. A spot
// endpoint counts as reclaimed when it vanishes or becomes unschedulable without
// having been released by the planner.
func (p *Planner) backOffReclaimedZones(now time.Time, view *View) {
	spotZones := make(map[string]string)
	releasedIDs := make(map[string]bool)
	for i := range view.cfg.Endpoints {
		e := &view.cfg.Endpoints[i].cfg
		if p.releasedIDs[e.ID] {
			releasedIDs[e.ID] = true
		}
		if e.Spot && !e.Unschedulable {
			spotZones[e.ID] = e.Zone
		}
	}
	reclaimedZones := make(map[string]bool)
	for id, zone := range p.lastSpotZones {
		if _, listed := spotZones[id]; !listed && !p.releasedIDs[id] {
			reclaimedZones[zone] = true
		}
	}
	for zone := range reclaimedZones {
		if p.inStock(now, zone, true) {
			p.RecordOutOfStock(now, zone, true)
		}
	}
	p.lastSpotZones, p.releasedIDs = spotZones, releasedIDs
}
