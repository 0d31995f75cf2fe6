package sqstock

import "time"

// noteReclaimed treats a zone from which cheap endpoints were taken away as out
// of stock for a while: what the platform just took back it will not hand out
// again at once, and the time to the refusal would be lost.
func (b *Balanced) noteReclaimed(now time.Time, view *View) {
	seen := make(map[string]string)
	released := make(map[string]bool)
	for i := range view.cfg.Endpoints {
		e := &view.cfg.Endpoints[i].cfg
		if b.released[e.ID] {
			released[e.ID] = true
		}
		if e.Cheap && !e.Unschedulable {
			seen[e.ID] = e.Zone
		}
	}
	zones := make(map[string]bool)
	for id, zone := range b.cheap {
		if _, here := seen[id]; !here && !b.released[id] {
			zones[zone] = true
		}
	}
	for zone := range zones {
		if b.inStock(now, zone, true) {
			b.OutOfStock(now, zone, true)
		}
	}
	b.cheap, b.released = seen, released
}
