package authority

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqrecord"
)

// assertNoViolations checks that the stand-ins' records show no stale order and no
// usage report that changed.
func assertNoViolations(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	assert.DeepEqual(t, sqjudge.StaleOrders(entries), []string(nil))
	assert.DeepEqual(t, sqjudge.InconsistentReports(entries), []string(nil))
}

// engineOrders returns the number of orders that engines have received since the
// start, resent ones included, and the newest term among them.
func engineOrders(entries []sqrecord.Entry) (n int, term uint64) {
	for _, e := range entries {
		if e.Kind == sqrecord.OrderReceived && !sqjudge.IsPlatformOrder(e) {
			n++
			term = max(term, e.FencingTerm)
		}
	}
	return n, term
}
