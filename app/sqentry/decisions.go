package sqentry

import (
	"sync"

	"sequoiadock/core/sqdecision"
)

// decisions guards the ring buffer of decision records for concurrent use.
type decisions struct {
	mu   sync.Mutex
	ring *sqdecision.Ring
}

func newDecisions(capacity int) *decisions {
	return &decisions{ring: sqdecision.NewRing(sqdecision.RingConfig{Capacity: capacity})}
}

func (d *decisions) add(cfg sqdecision.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring.Add(sqdecision.New(cfg))
}

// lines returns the decision record of a request ID as text, or nil.
func (d *decisions) lines(id string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.ring.Find(id)
	if !ok {
		return nil
	}
	return r.Lines()
}
