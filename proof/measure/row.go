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

// Prices of one engine hour, as declared, in thousandths.
const (
	dearPrice  = 3000
	cheapPrice = 900
)

// counts are what the stand-ins recorded.
type counts struct {
	changes           int
	whole, sinceCheap output
}

// output is in tokens that engines generated.
type output struct {
	cheap, total int
}

func (o *output) add(tokens int, cheap bool) {
	o.total += tokens
	if cheap {
		o.cheap += tokens
	}
}

func (o *output) share() string {
	return fmt.Sprintf("%.2f", float64(o.cheap)/float64(max(1, o.total)))
}

func count(all []sqrecord.Entry, cheap map[string]bool) counts {
	var n counts
	from := firstCheap(all)
	for _, e := range all {
		switch {
		case e.Kind == sqrecord.OrderEnded && e.OrderKind == "role":
			n.changes++
		case e.Kind == sqrecord.RequestEnded && e.OutputTokens > 0:
			n.whole.add(e.OutputTokens, cheap[e.Source])
			if e.AtUnixNano > from {
				n.sinceCheap.add(e.OutputTokens, cheap[e.Source])
			}
		}
	}
	return n
}

// firstCheap returns when the first spot VM started.
func firstCheap(all []sqrecord.Entry) int64 {
	for _, e := range all {
		if e.Kind == sqrecord.VMStarted && strings.HasSuffix(e.Detail, "cheap") {
			return e.AtUnixNano
		}
	}
	return math.MaxInt64
}

// spent returns what the engines cost, in thousandths.
func spent(c *sqcluster.Cluster) (float64, error) {
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

func row(name string, c *sqcluster.Cluster, r *sqmix.Report, cheap map[string]bool) (string, error) {
	all, err := c.RecordEntries()
	if err != nil {
		return "", err
	}
	money, err := spent(c)
	if err != nil {
		return "", err
	}
	n, u := count(all, cheap), judgeUsage(all)
	refused := 0
	for _, x := range r.Refusals {
		refused += x.Count
	}
	told := r.Count("chat "+string(sqcaller.ErrorInStream)) + r.Count("chat "+string(sqcaller.MayHaveRun))
	lost := r.Arrived - told - r.Count("chat "+string(sqcaller.Complete)) - r.Count("chat "+string(sqcaller.NotRun))
	cells := []string{
		name, fmt.Sprintf("%.2f", r.Goodput), fmt.Sprintf("%.1f%%", 100*float64(r.OnTime)/float64(max(1, r.Arrived))),
		fmt.Sprintf("%.0f ms", r.FirstToken.P90), fmt.Sprintf("%.1f ms", r.TokenInterval.P90), fmt.Sprintf("%.2f", r.WorstFairRatio),
		fmt.Sprintf("%.2f", r.CachedShare), strconv.Itoa(n.changes), strconv.Itoa(refused), strconv.Itoa(told), strconv.Itoa(lost), strconv.Itoa(r.UnansweredAttempts),
		n.whole.share(), n.sinceCheap.share(), fmt.Sprintf("%.0f", money), fmt.Sprintf("%.0f", 1000*money/float64(max(1, r.OnTime))),
		strconv.Itoa(u.windows), strconv.Itoa(u.changed), strconv.Itoa(u.late),
		fmt.Sprintf("%.4f", float64(u.output)/float64(max(1, r.AnswerTokens))),
	}
	return "| " + strings.Join(cells, " | ") + " |", nil
}
