package sqoperator

import (
	"context"
	"flag"
	"fmt"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

// Report kinds.
const (
	reportBurn     = "burn"
	reportUsage    = "usage"
	reportSpending = "spending"
)

// thousandthsPerUnit converts prices in thousandths of the currency unit to
// whole units.
const thousandthsPerUnit = 1000

var reportCommand = subcommand{
	name:    "report",
	args:    "burn|usage|spending [-plot FILE]",
	summary: "report service-level burn, usage or spending",
	help: `burn      how fast each team and service uses up its error budget, over several
          windows: 1 is exactly as fast as the objective permits
usage     the billing windows, with the figures that were frozen and reported
spending  the hours and the price of endpoints, by zone

-plot writes the burn report as a plot, PNG or SVG by the name of FILE.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.StringVar(&c.plotFile, "plot", "", "`file` for a plot of the burn report, .png or .svg")
	},
	run: runReport,
}

func runReport(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	kind := c.args[0]
	if kind != reportBurn && kind != reportUsage && kind != reportSpending {
		return c.usageError("there is no report " + kind)
	}
	if c.plotFile != "" {
		if err := c.checkPlotFlag(kind); err != nil {
			return err
		}
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	var report *sqrpc.ReportResponse
	err = client.callHolder(ctx, responseTimeout, func(ctx context.Context, holder sqrpc.Control) error {
		var err error
		report, err = holder.Report(ctx, &sqrpc.ReportRequest{Kind: kind})
		return err
	})
	if err != nil {
		return err
	}
	if c.plotFile != "" {
		if err := plotBurn(c.plotFile, report.GetBurn()); err != nil {
			return sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Detail: c.plotFile, Cause: err})
		}
	}
	if c.jsonOutput {
		return c.printProtoJSON(report)
	}
	switch kind {
	case reportBurn:
		c.printBurn(report.GetBurn())
	case reportUsage:
		c.printUsage(report.GetUsage())
	default:
		c.printSpending(report.GetSpending())
	}
	return nil
}

func (c *invocation) printBurn(windows []*sqrpc.BurnWindow) {
	w := c.newTable("TEAM", "SERVICE", "WINDOW", "GOOD", "BAD", "OBJECTIVE", "BURN")
	for _, b := range windows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%g %%\t%.2f\n", b.GetTeam(), b.GetService(), formatSeconds(b.GetWindowSeconds()),
			b.GetGood(), b.GetBad(), b.GetObjectivePercent(), b.GetRate())
	}
	c.flushTable(w)
}

func (c *invocation) printUsage(windows []*sqcommand.UsageWindow) {
	w := c.newTable("WINDOW", "FROM", "TO", "REPORTED", "TEAM", "SERVICE", "MODEL", "PROMPT", "OUTPUT", "REQUESTS")
	for _, u := range windows {
		for _, l := range u.GetLines() {
			fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%s\t%s\t%s\t%d\t%d\t%d\n", u.GetWindow(), formatTime(u.GetFromUnixNano()), formatTime(u.GetToUnixNano()),
				u.GetReported(), l.GetTeam(), l.GetService(), l.GetModel(), l.GetPromptTokens(), l.GetOutputTokens(), l.GetRequests())
		}
		if len(u.GetLines()) == 0 {
			fmt.Fprintf(w, "%d\t%s\t%s\t%t\t(no usage)\t\t\t\t\t\n", u.GetWindow(), formatTime(u.GetFromUnixNano()), formatTime(u.GetToUnixNano()), u.GetReported())
		}
	}
	c.flushTable(w)
}

func (c *invocation) printSpending(lines []*sqrpc.SpendingLine) {
	w := c.newTable("ZONE", "PRICE", "HOURS", "SPENT")
	total := 0.0
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\n", l.GetZone(), priceClass(l.GetCheap()), l.GetHours(), l.GetPrice()/thousandthsPerUnit)
		total += l.GetPrice()
	}
	fmt.Fprintf(w, "all\t\t\t%.2f\n", total/thousandthsPerUnit)
	c.flushTable(w)
}

func formatSeconds(n uint32) string { return (time.Duration(n) * time.Second).String() }

func formatTime(unixNano int64) string {
	return time.Unix(0, unixNano).UTC().Format("2006-01-02T15:04:05Z")
}
