package sqroute

import (
	"sort"
	"strconv"
	"time"
)

// explainedAlternatives bounds the alternatives of an explanation.
const explainedAlternatives = 3

// Explain returns why a choice went as it did, in sentences with the figures.
// It is built only when someone asks or a record is kept, right after Route;
// later only the choice itself is told.
func (r *CacheAware) Explain(_ time.Time, q *Query, c Choice) []string {
	fresh := c.epoch == r.epoch
	if !c.OK() {
		return append([]string{"No open endpoint can take the request."}, r.leftOut(true)...)
	}
	lines := []string{
		"Sent to " + c.Endpoint() + ": the first token is expected after " + millis(c.firstToken) +
			", then one each " + millis(c.between) + "; " + strconv.Itoa(c.cachedTokens) + " of " +
			strconv.Itoa(q.PromptTokens()) + " prompt tokens are expected in its cache.",
	}
	if c.decode != "" {
		lines = append(lines, "The answer goes on at "+c.decode+" after the first token, with the KV cache moved there.")
	}
	if c.sparesDear {
		lines = append(lines, "It is a cheap endpoint, and the answer is expected there in half of the time that it has, so that the dear ones are left to work that may not run on cheap ones.")
	}
	lines = append(lines, "This costs "+cost(c.cost)+": the time to the whole answer, three times what an objective or the deadline is missed by, the delay of others and small preferences.")
	if !fresh {
		return lines
	}
	lines = append(lines, r.details(c)...)
	lines = append(lines, r.alternatives(c)...)
	return append(lines, r.leftOut(false)...)
}

// details tells what the chosen endpoint's estimate is made of.
func (r *CacheAware) details(c Choice) []string {
	for i := range r.candidates {
		x := &r.candidates[i]
		n := &r.fleet.nodes[x.number]
		if n.endpoint.ID() != c.prefill {
			continue
		}
		lines := []string{
			"It has about " + strconv.Itoa(x.load.running) + " requests and " + strconv.Itoa(x.load.prefill) + " prompt tokens in the way, " +
				strconv.Itoa(n.own.running) + " and " + strconv.Itoa(n.own.prefill) + " of them sent from here: a wait of " + millis(seconds(x.wait)) + ".",
		}
		if x.home > 0 {
			lines = append(lines, "It is home "+strconv.Itoa(x.home)+" of the prompt's first piece, where all entries look first.")
		}
		return lines
	}
	return nil
}

// alternatives tells the best ways that were not chosen, with their costs.
func (r *CacheAware) alternatives(c Choice) []string {
	var others []*candidate
	for i := range r.candidates {
		x := &r.candidates[i]
		e := &r.fleet.nodes[x.number].endpoint
		if x.refusal == usable && e.Role() != RolePrefill && (c.decode != "" || e.ID() != c.prefill) {
			others = append(others, x)
		}
	}
	sort.SliceStable(others, func(i, j int) bool { return others[i].cost < others[j].cost })
	var lines []string
	for _, x := range others[:min(len(others), explainedAlternatives)] {
		e := &r.fleet.nodes[x.number].endpoint
		lines = append(lines, "Not "+e.ID()+" for the whole: it costs "+cost(x.cost)+", with the first token after "+millis(seconds(x.firstToken()))+
			", one each "+millis(seconds(x.between))+" and "+strconv.Itoa(int(x.cached))+" tokens cached.")
	}
	if r.split.ok && c.decode == "" {
		p, d := r.candidates[r.split.prefill].number, r.candidates[r.split.decode].number
		lines = append(lines, "Not split over "+r.fleet.nodes[p].endpoint.ID()+" and "+r.fleet.nodes[d].endpoint.ID()+": it costs "+cost(r.split.cost)+".")
	}
	return lines
}

// leftOut counts the endpoints that could not take the request.
func (r *CacheAware) leftOut(all bool) []string {
	var counts [isExcluded + 1]int
	for i := range r.candidates {
		counts[r.candidates[i].refusal]++
	}
	if !all && len(r.candidates) == counts[usable] {
		return nil
	}
	return []string{
		"Left out: " + strconv.Itoa(counts[isClosed]) + " that drain, leave or change; " + strconv.Itoa(counts[isFailing]) +
			" failing; " + strconv.Itoa(counts[isCheap]) + " cheap, on which this work may not run; " +
			strconv.Itoa(counts[isExcluded]) + " that failed this request before.",
	}
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + " ms"
}

func cost(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) + " s" }

// Explain returns why a choice went as it did.
func (r *RoundRobin) Explain(_ time.Time, _ *Query, c Choice) []string {
	if !c.OK() {
		return []string{"No open endpoint can take the request."}
	}
	return []string{"Sent to " + c.Endpoint() + ": it was its turn."}
}

// Explain returns why a choice went as it did.
func (r *LeastLoaded) Explain(_ time.Time, _ *Query, c Choice) []string {
	if !c.OK() {
		return []string{"No open endpoint can take the request."}
	}
	return []string{"Sent to " + c.Endpoint() + ": its last report named the fewest requests."}
}
