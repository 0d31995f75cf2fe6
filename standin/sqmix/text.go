package sqmix

import (
	"fmt"
	"io"
)

// WriteText writes the report as human-readable text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.1f s, %d arrived, %d on time\n", r.Seed, r.DurationSeconds, r.Arrived, r.OnTime)
	fmt.Fprintf(w, "goodput %.1f requests/s, %.0f tokens/s, cached %.0f%%\n", r.Goodput, r.GoodTokens, 100*r.CachedShare)
	fmt.Fprintf(w, "goodput by tenth of the run:")
	for _, g := range r.WindowGoodput {
		fmt.Fprintf(w, " %.1f", g)
	}
	fmt.Fprintf(w, "\nworst-served team at %.2f of its fair share\n", r.WorstFairRatio)
	for _, t := range r.Teams {
		fmt.Fprintf(w, "  %-12s %5d of %5d on time (%.0f%%), %.2f of fair share\n", t.Name, t.OnTime, t.Arrived, 100*t.OnTimeShare, t.FairRatio)
	}
	writeCounts(w, "outcomes", r.Outcomes)
	writeCounts(w, "refusals", r.Refusals)
	fmt.Fprintf(w, "resent %d, dropped %d, latest send %.1f ms\n", r.UnansweredAttempts, r.Dropped, r.MaxSendDelayMillis)
	writeLatency(w, "first token", r.FirstToken)
	writeLatency(w, "between tokens", r.TokenInterval)
	writeLatency(w, "total", r.Total)
	writeLatency(w, "refused", r.RefusalLatency)
	for _, f := range r.Failures {
		fmt.Fprintf(w, "failure: %s after %d tokens at %s, decision %s: %s\n", f.Outcome, f.Tokens, f.Address, f.Decision, f.Detail)
	}
}

func writeCounts(w io.Writer, name string, counts []Count) {
	fmt.Fprintf(w, "%s:", name)
	for _, c := range counts {
		fmt.Fprintf(w, " %s %d;", c.Kind, c.Count)
	}
	fmt.Fprintln(w)
}

func writeLatency(w io.Writer, name string, l Latency) {
	fmt.Fprintf(w, "%s (ms): p50 %.1f, p90 %.1f, p99 %.1f, max %.1f of %d\n", name, l.P50, l.P90, l.P99, l.Max, l.Count)
}
