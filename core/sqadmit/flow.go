package sqadmit

// reorderWindowRequests is how far a flow may be served ahead of its start tag when
// only goodput counts, in multiples of the pool's mean step.
const reorderWindowRequests = 4

// maxReorderCandidates limits how many active flows nextFlowIndex compares.
const maxReorderCandidates = 7

// nextFlowIndex returns the index of the active flow that is served next. That is
// the flow with the earliest start tag or, if goodput counts, the flow with the
// cheapest next request among those whose start tags are close to the earliest,
// so that more requests end in time. The window bounds what a team can lose by
// this.
func (p *pool) nextFlowIndex(goodput float64) int {
	best := 0
	if goodput <= 0 {
		return best
	}
	limit := p.active[0].startTag + goodput*reorderWindowRequests*p.meanStep
	for i := 1; i < min(len(p.active), maxReorderCandidates); i++ {
		if p.active[i].startTag <= limit && p.active[i].queue[0].cost < p.active[best].queue[0].cost {
			best = i
		}
	}
	return best
}

// stepSmoothing is the weight of a new sample in a pool's mean step.
const stepSmoothing = 0.05

// earliestStartTag returns the earliest start tag of the active flows, or the
// given one if it is earlier.
func (p *pool) earliestStartTag(startTag float64) float64 {
	if len(p.active) > 0 {
		return min(startTag, p.active[0].startTag)
	}
	return startTag
}

// maxCreditRequests limits a flow's credit, in multiples of the refused request's
// cost.
const maxCreditRequests = 8

// addCredit credits the flow with a request that was refused because the flow's
// wait was too long. A flow with a small share can queue only one or two requests
// in time, so that its queue sometimes runs empty between two arrivals. The
// service that it misses while empty would have gone to the refused requests.
func (fl *flow) addCredit(cost float64) {
	fl.credit = min(fl.credit+cost, maxCreditRequests*cost)
}

// updateStartTag advances the start tag of a flow that becomes active to the
// pool's virtual time, less the flow's credit: a flow cannot reclaim service for
// the time in which it had no requests, only for requests that were refused.
func (fl *flow) updateStartTag() {
	lost := max(0, fl.pool.virtualTime-fl.startTag) * fl.team.cfg.Weight
	fl.startTag = fl.nextStartTag()
	fl.credit = max(0, fl.credit-lost)
}

// nextStartTag returns the start tag that the flow has or would have if it became
// active now.
func (fl *flow) nextStartTag() float64 {
	if fl.poolIndex >= 0 {
		return fl.startTag
	}
	return max(fl.startTag, fl.pool.virtualTime-fl.credit/fl.team.cfg.Weight)
}

// costAhead returns the distance from the pool's virtual time to the flow's next
// start tag, as a cost of the flow itself. It is negative when the start tag has
// passed.
func (fl *flow) costAhead() float64 {
	return (fl.nextStartTag() - fl.pool.virtualTime) * fl.team.cfg.Weight
}
