package sqjudge

import (
	"fmt"
	"strings"

	"sequoiadock/standin/sqrecord"
)

// StaleOrders returns every receipt that a process without authority caused, by
// the stand-ins' records: at one receiver, a fencing number that does not grow,
// or an order that comes back after a later one. A receiver that refuses it by
// the number counts too, since others do not. Only a send of the very order that
// the receiver has, from the same term, may arrive late: its holder gave up
// waiting for the answer and sent the same order again.
func StaleOrders(entries []sqrecord.Entry) []string {
	type number struct{ term, sequence uint64 }
	last := make(map[string]number)
	current := make(map[string]string)
	ended := make(map[string]bool)
	var stale []string
	for _, e := range entries {
		if e.Kind != sqrecord.OrderReceived && e.Kind != sqrecord.UsageReported {
			continue
		}
		n, old := number{e.Term, e.Sequence}, last[e.Source]
		late := n.term == old.term && n.sequence <= old.sequence
		if n.term < old.term || late && !sameOrder(e, current[e.Source]) {
			stale = append(stale, fmt.Sprintf("%s received (%d,%d) after (%d,%d)", e.Source, n.term, n.sequence, old.term, old.sequence))
		}
		if !late {
			last[e.Source] = n
		}
		if e.Kind != sqrecord.OrderReceived || IsPlatformOrder(e) {
			continue
		}
		key := e.Source + " " + e.OrderID
		if ended[key] {
			stale = append(stale, e.Source+" received "+e.OrderID+" again after "+current[e.Source])
		}
		if before := current[e.Source]; before != e.OrderID {
			ended[e.Source+" "+before] = true
			current[e.Source] = e.OrderID
		}
	}
	return stale
}

// sameOrder returns whether an engine receives the order that it has already.
func sameOrder(e sqrecord.Entry, current string) bool {
	return e.Kind == sqrecord.OrderReceived && !IsPlatformOrder(e) && e.OrderID == current
}

// IsPlatformOrder returns whether an order went to the platform, which may have
// several open.
func IsPlatformOrder(e sqrecord.Entry) bool {
	return e.OrderKind == "add" || e.OrderKind == "release"
}

// InconsistentReports returns every billing window that was reported with different
// figures or out of order.
func InconsistentReports(entries []sqrecord.Entry) []string {
	first := make(map[string]string)
	var wrong []string
	for _, e := range entries {
		if e.Kind != sqrecord.UsageReported {
			continue
		}
		window, figures := splitReport(string(e.Body))
		if before, ok := first[window]; ok && before != figures {
			wrong = append(wrong, "window "+window+" was reported as "+before+" and as "+figures)
		}
		first[window] = figures
	}
	return wrong
}

// splitReport separates a report's window and figures; the fencing number may
// differ between two sends.
func splitReport(body string) (window, figures string) {
	i := strings.Index(body, `"fencingTerm"`)
	if i < 0 {
		i = len(body)
	}
	figures = body[:i]
	window = figures[:strings.IndexByte(figures, ',')]
	return window, figures
}
