package sqrole

import "sequoiadock/core/sqroute"

// roleCounts is the number of engines of a model, by role.
type roleCounts [3]int

func (c roleCounts) total() int {
	return c[sqroute.RoleBoth] + c[sqroute.RolePrefill] + c[sqroute.RoleDecode]
}

func (c roleCounts) prefillCapable() int { return c[sqroute.RoleBoth] + c[sqroute.RolePrefill] }

func (c roleCounts) decodeCapable() int { return c[sqroute.RoleBoth] + c[sqroute.RoleDecode] }

// work is a demand as the number of engines that it occupies if each engine runs
// either prefill or decode.
type work struct {
	prefill float64
	decode  float64
}

// mixingLoss is the share of an engine's throughput that is lost when the engine
// alternates between prefill and decode.
const mixingLoss = 0.05

// noticeableLoad is the load below which callers would not notice a better split.
const noticeableLoad = 0.6

// interferenceWeight is the weight, relative to load, of decode work that is
// delayed by prefill work in the same batch.
const interferenceWeight = 0.25

// load returns the utilization of the busiest kind of engine. Engines with
// RoleBoth take the work for which the other engines have no capacity.
func (c roleCounts) load(w work) float64 {
	prefill := float64(c[sqroute.RolePrefill])
	decode := float64(c[sqroute.RoleDecode])
	both := float64(c[sqroute.RoleBoth]) * (1 - mixingLoss)
	u := utilization(w.prefill+w.decode, prefill+decode+both)
	u = max(u, utilization(w.prefill, prefill+both))
	return max(u, utilization(w.decode, decode+both))
}

// interference returns the share of the decode work that runs on engines with
// RoleBoth, times the share of those engines' time that prefill work takes.
func (c roleCounts) interference(w work) float64 {
	both := float64(c[sqroute.RoleBoth])
	if both == 0 || w.decode <= 0 {
		return 0
	}
	prefillTimeShare := min(1, max(0, w.prefill-float64(c[sqroute.RolePrefill]))/both)
	decodeShare := max(0, w.decode-float64(c[sqroute.RoleDecode])) / w.decode
	return prefillTimeShare * decodeShare
}

// utilization returns demand divided by capacity; it is very large when there is
// demand but no capacity.
func utilization(demand, capacity float64) float64 {
	if demand <= 0 {
		return 0
	}
	return demand / max(capacity, 1e-3)
}

// maxLoad limits the load in the cost of a split.
const maxLoad = 10

// cost returns the cost of a split: the load, from noticeableLoad to maxLoad, plus
// the weighted interference.
func (c roleCounts) cost(w work) float64 {
	return min(maxLoad, max(c.load(w), noticeableLoad)) + interferenceWeight*c.interference(w)
}
