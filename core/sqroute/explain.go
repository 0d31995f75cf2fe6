package sqroute

import (
	"sort"
	"strconv"
	"time"
)

// maxExplainedAlternatives bounds the rejected endpoints listed in an
// explanation.
const maxExplainedAlternatives = 3

// Explain returns the reasons for a choice, in sentences with the figures.
// Building them takes time, so it is called only for an explain request or a
// recorded decision, right after Route. After another call of Route the
// candidates are gone, and the explanation covers only the choice itself.
func (r *CacheAware) Explain(_ time.Time, q *Query, c Choice) []string {
	fresh := c.epoch == r.epoch
	if !c.OK() {
		return append([]string{"No open endpoint can take the request."}, r.refusalLines(true)...)
	}
	lines := []string{
		"Sent to " + c.Endpoint() + ": the first token is expected after " + formatMillis(c.firstToken) +
			", then one each " + formatMillis(c.interToken) + "; " + strconv.Itoa(c.cachedTokens) + " of " +
			strconv.Itoa(q.PromptTokens()) + " prompt tokens are expected in its cache.",
	}
	if c.decodeEndpoint != "" {
		lines = append(lines, "The answer goes on at "+c.decodeEndpoint+" after the first token, with the KV cache moved there.")
	}
	if c.prefersSpot {
		lines = append(lines, "It is a cheap endpoint, and the answer is expected there in half of the time that it has, so that the dear ones are left to work that may not run on cheap ones.")
	}
	lines = append(lines, "This costs "+formatCost(c.cost)+": the time to the whole answer, three times what an objective or the deadline is missed by, the delay of others and small preferences.")
	if !fresh {
		return lines
	}
	lines = append(lines, r.estimateLines(c)...)
	lines = append(lines, r.alternativeLines(c)...)
	return append(lines, r.refusalLines(false)...)
}

// estimateLines returns the load and the home rank behind the chosen endpoint's
// estimate.
func (r *CacheAware) estimateLines(c Choice) []string {
	for i := range r.candidates {
		cand := &r.candidates[i]
		n := &r.fleet.nodes[cand.index]
		if n.endpoint.ID() != c.prefillEndpoint {
			continue
		}
		lines := []string{
			"It has about " + strconv.Itoa(cand.load.running) + " requests and " + strconv.Itoa(cand.load.prefillTokens) + " prompt tokens in the way, " +
				strconv.Itoa(n.own.running) + " and " + strconv.Itoa(n.own.prefillTokens) + " of them sent from here: a wait of " + formatMillis(toDuration(cand.wait)) + ".",
		}
		if cand.homeRank > 0 {
			lines = append(lines, "It is home "+strconv.Itoa(cand.homeRank)+" of the prompt's first piece, where all entries look first.")
		}
		return lines
	}
	return nil
}

// alternativeLines returns the best alternatives that were not chosen, with
// their costs.
func (r *CacheAware) alternativeLines(c Choice) []string {
	var alternatives []*candidate
	for i := range r.candidates {
		cand := &r.candidates[i]
		e := &r.fleet.nodes[cand.index].endpoint
		if cand.refusal == usable && e.Role() != RolePrefill && (c.decodeEndpoint != "" || e.ID() != c.prefillEndpoint) {
			alternatives = append(alternatives, cand)
		}
	}
	sort.SliceStable(alternatives, func(i, j int) bool { return alternatives[i].cost < alternatives[j].cost })
	var lines []string
	for _, cand := range alternatives[:min(len(alternatives), maxExplainedAlternatives)] {
		e := &r.fleet.nodes[cand.index].endpoint
		lines = append(lines, "Not "+e.ID()+" for the whole: it costs "+formatCost(cand.cost)+", with the first token after "+formatMillis(toDuration(cand.firstToken()))+
			", one each "+formatMillis(toDuration(cand.betweenTokens))+" and "+strconv.Itoa(int(cand.cachedTokens))+" tokens cached.")
	}
	if r.split.ok && c.decodeEndpoint == "" {
		p, d := r.candidates[r.split.prefill].index, r.candidates[r.split.decode].index
		lines = append(lines, "Not split over "+r.fleet.nodes[p].endpoint.ID()+" and "+r.fleet.nodes[d].endpoint.ID()+": it costs "+formatCost(r.split.cost)+".")
	}
	return lines
}

// refusalLines counts the candidates that could not take the request, by
// reason. It returns nil if none was refused, unless always is set.
func (r *CacheAware) refusalLines(always bool) []string {
	var counts [isExcluded + 1]int
	for i := range r.candidates {
		counts[r.candidates[i].refusal]++
	}
	if !always && len(r.candidates) == counts[usable] {
		return nil
	}
	return []string{
		"Left out: " + strconv.Itoa(counts[isUnschedulable]) + " that drain, leave or change; " + strconv.Itoa(counts[isFailing]) +
			" failing; " + strconv.Itoa(counts[isSpot]) + " cheap, on which this work may not run; " +
			strconv.Itoa(counts[isExcluded]) + " that failed this request before.",
	}
}

func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + " ms"
}

func formatCost(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) + " s" }

// Explain returns the reason for a choice.
func (r *RoundRobin) Explain(_ time.Time, _ *Query, c Choice) []string {
	if !c.OK() {
		return []string{"No open endpoint can take the request."}
	}
	return []string{"Sent to " + c.Endpoint() + ": it was its turn."}
}

// Explain returns the reason for a choice.
func (r *LeastLoaded) Explain(_ time.Time, _ *Query, c Choice) []string {
	if !c.OK() {
		return []string{"No open endpoint can take the request."}
	}
	return []string{"Sent to " + c.Endpoint() + ": its last report named the fewest requests."}
}
