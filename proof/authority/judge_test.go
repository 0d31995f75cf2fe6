package authority

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqrecord"
)

func judge(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	assert.DeepEqual(t, sqjudge.StaleOrders(entries), []string(nil))
	assert.DeepEqual(t, sqjudge.InconsistentReports(entries), []string(nil))
}

// orders counts the order receipts of engines since the start and the newest
// term among them.
func orders(entries []sqrecord.Entry) (n int, term uint64) {
	for _, e := range entries {
		if e.Kind == sqrecord.OrderReceived && !sqjudge.IsPlatformOrder(e) {
			n++
			term = max(term, e.FencingTerm)
		}
	}
	return n, term
}
