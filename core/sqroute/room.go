package sqroute

import (
	"math"
	"time"
)

// Capacity is how much more an entry may have in flight without making the engines'
// own queues long.
type Capacity struct {
	running       int
	prefillTokens int
}

// Running returns the requests that the entry may have in flight in all.
func (r Capacity) Running() int { return r.running }

// PrefillTokens returns the prompt tokens that it may have in flight in all.
func (r Capacity) PrefillTokens() int { return r.prefillTokens }

// Capacity returns the room for a model, or for the plain service of a kind. What
// the other entries have in flight is taken off, but an equal part is left: else
// entries that came first would refill the engines for ever while the teams of
// another one wait. Engines queue what is too much, and the others, who see
// that, give way.
func (f *Fleet) Capacity(now time.Time, kind, model string) Capacity {
	q := Query{cfg: QueryConfig{Kind: kind, Model: model}}
	g := f.group(&q)
	if g == nil {
		return Capacity{}
	}
	var running, prefill, allRunning, allPrefill float64
	for _, number := range g.members {
		n := &f.nodes[number]
		if !n.present || n.endpoint.Unschedulable() {
			continue
		}
		load := n.load(at(now))
		if n.endpoint.Role() != RolePrefill {
			allRunning += n.slots
			running += max(0, n.slots-float64(load.running-n.own.running))
		}
		if n.endpoint.Role() != RoleDecode {
			rate := n.prefillRate * f.cfg.TargetWait.Seconds()
			allPrefill += rate
			prefill += max(0, rate-float64(load.prefill-n.own.prefill))
		}
	}
	part := 0.0
	if n := len(f.entries); n > 0 {
		part = 1 / float64(n)
	}
	return Capacity{
		running:       int(math.Ceil(max(running, part*allRunning))),
		prefillTokens: int(math.Ceil(max(prefill, part*allPrefill))),
	}
}
