package sqstock

import "time"

// backOffReclaimedZones treats a zone as out of spot stock when the platform has
// reclaimed spot endpoints there. The platform is unlikely to grant new ones at
// once, and an order would only lose the time until it is refused. A spot
// endpoint counts as reclaimed when it vanishes or becomes unschedulable without
// having been released by the planner.
func (b *Planner) backOffReclaimedZones(now time.Time, view *View) {
	spotZones := make(map[string]string)
	releasedIDs := make(map[string]bool)
	for i := range view.cfg.Endpoints {
		e := &view.cfg.Endpoints[i].cfg
		if b.releasedIDs[e.ID] {
			releasedIDs[e.ID] = true
		}
		if e.Spot && !e.Unschedulable {
			spotZones[e.ID] = e.Zone
		}
	}
	reclaimedZones := make(map[string]bool)
	for id, zone := range b.lastSpotZones {
		if _, listed := spotZones[id]; !listed && !b.releasedIDs[id] {
			reclaimedZones[zone] = true
		}
	}
	for zone := range reclaimedZones {
		if b.inStock(now, zone, true) {
			b.RecordOutOfStock(now, zone, true)
		}
	}
	b.lastSpotZones, b.releasedIDs = spotZones, releasedIDs
}
