package sqroute

import (
	"math"
	"time"
)

// PoolLimits is the work that an entry may have in flight in a pool, the engines of
// a model or the endpoints of a plain service, without building up long queues in
// them.
type PoolLimits struct {
	maxRunning       int
	maxPrefillTokens int
}

// MaxRunning returns the total number of requests that the entry may have in
// flight.
func (l PoolLimits) MaxRunning() int { return l.maxRunning }

// MaxPrefillTokens returns the total number of prompt tokens that the entry may
// have waiting for prefill.
func (l PoolLimits) MaxPrefillTokens() int { return l.maxPrefillTokens }

// PoolLimits returns the entry's limits for a model, or for the plain service
// of a kind. The other entries' work in flight is subtracted, but at least an
// equal share remains: otherwise the entries that came first would keep
// refilling the engines while another entry's teams wait. Engines queue the
// excess, and the other entries see those queues and send less.
func (f *Fleet) PoolLimits(now time.Time, kind, model string) PoolLimits {
	q := Query{cfg: QueryConfig{Kind: kind, Model: model}}
	g := f.group(&q)
	if g == nil {
		return PoolLimits{}
	}
	var running, prefill, totalSlots, totalPrefill float64
	for _, index := range g.members {
		n := &f.nodes[index]
		if !n.present || n.endpoint.Unschedulable() {
			continue
		}
		load := n.load(toInstant(now))
		if n.endpoint.Role() != RolePrefill {
			totalSlots += n.slots
			running += max(0, n.slots-float64(load.running-n.own.running))
		}
		if n.endpoint.Role() != RoleDecode {
			targetPrefill := n.prefillRate * f.cfg.TargetWait.Seconds()
			totalPrefill += targetPrefill
			prefill += max(0, targetPrefill-float64(load.prefillTokens-n.own.prefillTokens))
		}
	}
	equalShare := 0.0
	if n := len(f.entries); n > 0 {
		equalShare = 1 / float64(n)
	}
	return PoolLimits{
		maxRunning:       int(math.Ceil(max(running, equalShare*totalSlots))),
		maxPrefillTokens: int(math.Ceil(max(prefill, equalShare*totalPrefill))),
	}
}
