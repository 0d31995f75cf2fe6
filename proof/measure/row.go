package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqplatform"
	"sequoiadock/standin/sqrecord"
)

// Prices of one engine hour as in the declarations, in thousandths.
const (
	dearPrice  = 3000
	cheapPrice = 900
)

// counts is evaluated from the stand-ins' record: the completed role changes, and
// the generated tokens in the whole run and since the first cheap VM started.
type counts struct {
	roleChanges       int
	total, sinceCheap tokenCounts
}

// tokenCounts is the number of tokens that cheap engines and all engines generated.
type tokenCounts struct {
	cheap, total int
}

func (o *tokenCounts) add(tokens int, cheap bool) {
	o.total += tokens
	if cheap {
		o.cheap += tokens
	}
}

// cheapShare returns the part of the tokens that cheap engines generated, 0 to 1.
func (o *tokenCounts) cheapShare() string {
	return fmt.Sprintf("%.2f", float64(o.cheap)/float64(max(1, o.total)))
}

func countRecord(all []sqrecord.Entry, cheap map[string]bool) counts {
	var n counts
	from := firstCheapStart(all)
	for _, e := range all {
		switch {
		case e.Kind == sqrecord.OrderEnded && e.OrderKind == "role":
			n.roleChanges++
		case e.Kind == sqrecord.RequestEnded && e.OutputTokens > 0:
			n.total.add(e.OutputTokens, cheap[e.Source])
			if e.AtUnixNano > from {
				n.sinceCheap.add(e.OutputTokens, cheap[e.Source])
			}
		}
	}
	return n
}

// firstCheapStart returns when the first cheap VM started, in Unix nanoseconds, or
// math.MaxInt64 if there was none.
func firstCheapStart(all []sqrecord.Entry) int64 {
	for _, e := range all {
		if e.Kind == sqrecord.VMStarted && strings.HasSuffix(e.Detail, "cheap") {
			return e.AtUnixNano
		}
	}
	return math.MaxInt64
}

// totalCost returns the cost of all engines, in thousandths.
func totalCost(c *sqcluster.Cluster) (float64, error) {
	var all []sqplatform.Spending
	if err := c.GetJSON(c.StandinAddresses().Platform, "/standin/spending", &all); err != nil {
		return 0, err
	}
	var sum float64
	for _, s := range all {
		price := float64(dearPrice)
		if s.Spot {
			price = cheapPrice
		}
		sum += s.VMSeconds / 3600 * price
	}
	return sum, nil
}

const header = "| policies | goodput /s | on time | first token p90 | between p90 | worst team | cached | role changes | refused | failed, told | lost | resent | " +
	"cheap share | since one was there | spending | for 1,000 on time | usage windows | changed | late | billed |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// formatRow returns the row of the results table for one run.
func formatRow(name string, c *sqcluster.Cluster, r *sqmix.Report, cheap map[string]bool) (string, error) {
	all, err := c.RecordEntries()
	if err != nil {
		return "", err
	}
	cost, err := totalCost(c)
	if err != nil {
		return "", err
	}
	n, u := countRecord(all, cheap), evaluateUsage(all)
	refused := 0
	for _, x := range r.Refusals {
		refused += x.Count
	}
	failuresTold := r.Count("chat "+string(sqcaller.ErrorInStream)) + r.Count("chat "+string(sqcaller.MayHaveRun))
	lost := r.Arrived - failuresTold - r.Count("chat "+string(sqcaller.Complete)) - r.Count("chat "+string(sqcaller.NotRun))
	cells := []string{
		name, fmt.Sprintf("%.2f", r.Goodput), fmt.Sprintf("%.1f%%", 100*float64(r.OnTime)/float64(max(1, r.Arrived))),
		fmt.Sprintf("%.0f ms", r.FirstToken.P90), fmt.Sprintf("%.1f ms", r.TokenInterval.P90), fmt.Sprintf("%.2f", r.WorstFairRatio),
		fmt.Sprintf("%.2f", r.CachedShare), strconv.Itoa(n.roleChanges), strconv.Itoa(refused), strconv.Itoa(failuresTold), strconv.Itoa(lost), strconv.Itoa(r.UnansweredAttempts),
		n.total.cheapShare(), n.sinceCheap.cheapShare(), fmt.Sprintf("%.0f", cost), fmt.Sprintf("%.0f", 1000*cost/float64(max(1, r.OnTime))),
		strconv.Itoa(u.windows), strconv.Itoa(u.changedWindows), strconv.Itoa(u.lateReports),
		fmt.Sprintf("%.4f", float64(u.outputTokens)/float64(max(1, r.AnswerTokens))),
	}
	return "| " + strings.Join(cells, " | ") + " |", nil
}
