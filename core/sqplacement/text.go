package sqplacement

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as text. Write errors are left to w.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "gateway %s, zone %s, routing table %d, fresh for %s ms, heard the holder %s ms ago\n", r.Gateway, r.Zone, r.TableVersion,
		decimal(r.FreshForMillis), decimal(r.HeardAgeMillis))
	team := r.Team
	if team == "" {
		team = "none"
	}
	fmt.Fprintf(w, "route %s, team %s, service %s of %s, priority %d, most urgent: %t, time left %s ms\n", r.Route, team, r.Service,
		strings.Join(r.Services, ", "), r.Priority, r.Urgent, decimal(r.TimeLeftMillis))
	fmt.Fprintf(w, "quota: %s\n", r.Quota.text())
	choice := "choice"
	if r.Quota.State == QuotaExceeded {
		choice = "choice if the quota admitted the request"
	}
	fmt.Fprintf(w, "%s: %s\n", choice, r.Choice.text())
	if len(r.Candidates) > 0 {
		fmt.Fprintf(w, "\nTimes are in ms. COST has a random part; its range and CHOSEN are those of %d draws.\n", r.Draws)
		fmt.Fprintln(w, "EXPECTED is the sum of SLOT to BASE; COST adds PENALTY to CONNECT and the random part.")
		r.writeCandidates(w)
		r.writeStates(w)
	}
	if len(r.Excluded) > 0 {
		t := newTable(w, "\nNO CANDIDATE", "ZONE", "REASON", "FOR")
		for _, x := range r.Excluded {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", x.Endpoint, x.Zone, x.Reason, decimalOrDash(x.ForMillis))
		}
		_ = t.Flush()
	}
}

func (r *Report) writeCandidates(w io.Writer) {
	t := newTable(w, "\nCANDIDATE", "PART", "ZONE", "CHOSEN", "COST", "EXPECTED", "SLOT", "PREFILLWAIT", "PREFILL", "ROOM", "BASE",
		"PENALTY", "INTERFERENCE", "CONNECT")
	for i := range r.Candidates {
		c := &r.Candidates[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Endpoint, c.Part, c.Zone, c.Chosen, c.CostMillis.text(),
			decimal(c.ExpectedMillis), decimal(c.SlotWaitMillis), decimal(c.PrefillWaitMillis), decimal(c.PrefillMillis),
			decimal(c.RoomWaitMillis), decimal(c.BaseMillis), decimal(c.PenaltyMillis), decimal(c.InterferenceMillis), decimal(c.ConnectMillis))
	}
	_ = t.Flush()
}

// writeStates writes what the gateway knows of the candidates, and how old it is.
func (r *Report) writeStates(w io.Writer) {
	t := newTable(w, "\nCANDIDATE", "PART", "ADDRESS", "VERSION", "RUNNING", "SLOTS", "QUEUEDTOKENS", "MEMORYTOKENS", "REPORTAGE", "CACHED",
		"UNCACHED", "PROBABILITY", "SPEED%", "SPEEDAGE", "IDLEFOR")
	for i := range r.Candidates {
		c := &r.Candidates[i]
		version := c.Version
		if version == "" {
			version = "-"
		}
		cached := strconv.Itoa(c.CachedTokens)
		if c.CachedAssumed {
			cached += "(assumed)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", c.Endpoint, c.Part, c.Address, version, c.Running, c.Slots,
			c.QueuedTokens, c.MemoryTokens, optional(c.LoadReportAgeMillis), cached, c.UncachedTokens,
			optional(c.CachedProbability), optional(c.SpeedPercent), optional(c.SpeedAgeMillis), optional(c.IdleConnectionMillis))
	}
	_ = t.Flush()
}

func (q *Quota) text() string {
	units := strconv.FormatUint(q.Units, 10) + " units"
	switch q.State {
	case QuotaAllowed:
		return "allowed, " + units + " from the reserve"
	case QuotaExceeded:
		return "exceeded, refused with Retry-After " + decimal(q.RetryAfterMillis) + " ms, " + units
	case QuotaAsk:
		return "the gateway would ask the holder for " + units
	default:
		return "the team has none"
	}
}

func (c *Choice) text() string {
	expected := ", expected after " + decimal(c.ExpectedMillis) + " ms: " + c.Reason
	switch {
	case c.PrefillEndpoint != "":
		return c.PrefillEndpoint + " reads the prompt, " + c.Endpoint + " answers after a transfer of " + decimal(c.TransferMillis) + " ms" + expected
	case c.Endpoint != "":
		return c.Endpoint + expected
	case c.WaitMillis > 0:
		return "the request waits " + decimal(c.WaitMillis) + " ms and is placed again: " + c.Reason
	case c.RetryAfterMillis != nil:
		return "refused with Retry-After " + c.RetryAfterMillis.text() + " ms: " + c.Reason
	default:
		return "refused: " + c.Reason
	}
}

func (r *Range) text() string {
	if r.Low == r.High {
		return decimal(r.Low)
	}
	return decimal(r.Low) + ".." + decimal(r.High)
}

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func decimalOrDash(v float64) string {
	if v == 0 {
		return "-"
	}
	return decimal(v)
}

func optional(v *float64) string {
	if v == nil {
		return "-"
	}
	return decimal(*v)
}

func newTable(w io.Writer, columns ...string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	return t
}
