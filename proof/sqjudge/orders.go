package sqjudge

import (
	"fmt"
	"strings"

	"sequoiadock/standin/sqrecord"
)

// StaleOrders returns one text for each order or usage report in the stand-ins'
// record that came from a process without the lease: at one receiver, a fencing
// number that does not grow, or an order that arrives again after a later one. It
// counts even if the receiver refused it by its fencing number, since other
// receivers do not check that number. One case is allowed: the receiver's current
// order may arrive late from the same term, because a holder that times out waiting
// for the answer sends the same order again.
func StaleOrders(entries []sqrecord.Entry) []string {
	type fencingNumber struct{ term, sequence uint64 }
	last := make(map[string]fencingNumber)
	current := make(map[string]string)
	superseded := make(map[string]bool)
	var stale []string
	for _, e := range entries {
		if e.Kind != sqrecord.OrderReceived && e.Kind != sqrecord.UsageReported {
			continue
		}
		n, old := fencingNumber{e.FencingTerm, e.FencingSequence}, last[e.Source]
		notNewer := n.term == old.term && n.sequence <= old.sequence
		if n.term < old.term || notNewer && !isRepeatedOrder(e, current[e.Source]) {
			stale = append(stale, fmt.Sprintf("%s received (%d,%d) after (%d,%d)", e.Source, n.term, n.sequence, old.term, old.sequence))
		}
		if !notNewer {
			last[e.Source] = n
		}
		if e.Kind != sqrecord.OrderReceived || IsPlatformOrder(e) {
			continue
		}
		key := e.Source + " " + e.OrderID
		if superseded[key] {
			stale = append(stale, e.Source+" received "+e.OrderID+" again after "+current[e.Source])
		}
		if before := current[e.Source]; before != e.OrderID {
			superseded[e.Source+" "+before] = true
			current[e.Source] = e.OrderID
		}
	}
	return stale
}

// isRepeatedOrder reports whether the entry is an engine's receipt of its current
// order.
func isRepeatedOrder(e sqrecord.Entry, current string) bool {
	return e.Kind == sqrecord.OrderReceived && !IsPlatformOrder(e) && e.OrderID == current
}

// IsPlatformOrder reports whether an order went to the platform, which, unlike an
// engine, may have several orders open.
func IsPlatformOrder(e sqrecord.Entry) bool {
	return e.OrderKind == "add" || e.OrderKind == "release"
}

// InconsistentReports returns one text for each billing window that was reported
// again with different figures.
func InconsistentReports(entries []sqrecord.Entry) []string {
	reported := make(map[string]string)
	var inconsistent []string
	for _, e := range entries {
		if e.Kind != sqrecord.UsageReported {
			continue
		}
		window, figures := splitReport(string(e.Body))
		if previous, ok := reported[window]; ok && previous != figures {
			inconsistent = append(inconsistent, "window "+window+" was reported as "+previous+" and as "+figures)
		}
		reported[window] = figures
	}
	return inconsistent
}

// splitReport returns a report's window and its figures without the fencing number,
// which may differ between two sends of the same report.
func splitReport(body string) (window, figures string) {
	i := strings.Index(body, `"fencingTerm"`)
	if i < 0 {
		i = len(body)
	}
	figures = body[:i]
	window = figures[:strings.IndexByte(figures, ',')]
	return window, figures
}
