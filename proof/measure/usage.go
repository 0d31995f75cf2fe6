package main

import (
	"encoding/json"
	"time"

	"sequoiadock/standin/sqrecord"
)

const (
	// usageSettleTime is how long after the last answer its billing window is
	// reported at the latest.
	usageSettleTime = 2*billingWindow + 3*time.Second
	// reportDeadline is the time after a window's end from which its report counts
	// as late.
	reportDeadline = billingWindow
)

// usageReport is the report of one billing window as the platform received it.
type usageReport struct {
	Window     uint64          `json:"window"`
	ToUnixNano int64           `json:"toUnixNano"`
	Lines      json.RawMessage `json:"lines"`
}

type usageLine struct {
	OutputTokens int `json:"outputTokens"`
}

// usageStats summarizes the usage reports in the platform's own record.
type usageStats struct {
	windows int
	// changedWindows counts the reports that differ from the first report of their
	// window or have unreadable lines.
	changedWindows int
	lateReports    int
	// outputTokens counts the reported tokens, each window once.
	outputTokens int
}

func evaluateUsage(all []sqrecord.Entry) usageStats {
	var u usageStats
	first := make(map[uint64]string)
	for _, e := range all {
		var r usageReport
		if e.Kind != sqrecord.UsageReported || json.Unmarshal(e.Body, &r) != nil {
			continue
		}
		before, again := first[r.Window]
		if again {
			if before != string(r.Lines) {
				u.changedWindows++
			}
			continue
		}
		first[r.Window] = string(r.Lines)
		u.add(e, r)
	}
	return u
}

func (u *usageStats) add(e sqrecord.Entry, r usageReport) {
	u.windows++
	if e.AtUnixNano-r.ToUnixNano > int64(reportDeadline) {
		u.lateReports++
	}
	var lines []usageLine
	if json.Unmarshal(r.Lines, &lines) != nil {
		u.changedWindows++
	}
	for _, l := range lines {
		u.outputTokens += l.OutputTokens
	}
}
