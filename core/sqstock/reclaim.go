package sqstock

import "time"

// backOffReclaimedZones treats a zone as out of cheap stock when the platform has
// reclaimed cheap endpoints there. The platform is unlikely to grant new ones at
// once, and an order would only lose the time until it is refused. A cheap
// endpoint counts as reclaimed when it vanishes or becomes unschedulable without
// having been released by the planner.
func (b *Planner) backOffReclaimedZones(now time.Time, view *View) {
	cheapZones := make(map[string]string)
	releasedIDs := make(map[string]bool)
	for i := range view.cfg.Endpoints {
		e := &view.cfg.Endpoints[i].cfg
		if b.releasedIDs[e.ID] {
			releasedIDs[e.ID] = true
		}
		if e.Spot && !e.Unschedulable {
			cheapZones[e.ID] = e.Zone
		}
	}
	reclaimedZones := make(map[string]bool)
	for id, zone := range b.lastCheapZones {
		if _, listed := cheapZones[id]; !listed && !b.releasedIDs[id] {
			reclaimedZones[zone] = true
		}
	}
	for zone := range reclaimedZones {
		if b.inStock(now, zone, true) {
			b.RecordOutOfStock(now, zone, true)
		}
	}
	b.lastCheapZones, b.releasedIDs = cheapZones, releasedIDs
}
