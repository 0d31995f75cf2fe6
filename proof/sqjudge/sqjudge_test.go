package sqjudge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

// TestCallViolations checks that CallViolations detects each kind of violation and
// accepts valid outcomes.
func TestCallViolations(t *testing.T) {
	ran := func(id string) sqrecord.Entry { return sqrecord.Entry{Kind: sqrecord.CallExecuted, IdempotencyKey: id} }
	booking := func(id string, o sqcaller.Outcome, body string) sqmix.BookingResult {
		return sqmix.BookingResult{Identity: id, Outcome: o, Body: []byte(body)}
	}
	tests := []struct {
		name    string
		entries []sqrecord.Entry
		call    sqmix.BookingResult
		want    []string
	}{
		{"done", []sqrecord.Entry{ran("a")}, booking("a", sqcaller.Complete, `{"identity":"a"}`), nil},
		{"doubled", []sqrecord.Entry{ran("a"), ran("a")}, booking("a", sqcaller.MayHaveRun, ""), []string{"a ran 2 times"}},
		{"lost", nil, booking("a", sqcaller.Complete, `{"identity":"a"}`), []string{"a completed for its caller but did not run"}},
		{"falsely not run", []sqrecord.Entry{ran("a")}, booking("a", sqcaller.NotRun, ""), []string{"a was reported as not run but ran"}},
		{"foreign", []sqrecord.Entry{ran("a")}, booking("a", sqcaller.Complete, `{"identity":"b"}`), []string{`a got the answer {"identity":"b"}`}},
		{"unknown", []sqrecord.Entry{ran("a")}, booking("a", sqcaller.MayHaveRun, ""), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, sqjudge.CallViolations(tt.entries, []sqmix.BookingResult{tt.call}), tt.want)
		})
	}
}

// TestOrdersAndReports checks that StaleOrders and InconsistentReports detect
// violations and accept valid records.
func TestOrdersAndReports(t *testing.T) {
	order := func(id string, term, sequence uint64) sqrecord.Entry {
		return sqrecord.Entry{Source: "e", Kind: sqrecord.OrderReceived, OrderID: id, FencingTerm: term, FencingSequence: sequence}
	}
	report := func(body string, sequence uint64) sqrecord.Entry {
		return sqrecord.Entry{Source: "p", Kind: sqrecord.UsageReported, FencingTerm: 1, FencingSequence: sequence, Body: []byte(body)}
	}
	assert.Equal(t, len(sqjudge.StaleOrders([]sqrecord.Entry{order("a", 1, 1), order("a", 2, 1), order("b", 2, 2)})), 0)
	assert.Equal(t, len(sqjudge.StaleOrders([]sqrecord.Entry{order("a", 2, 1), order("a", 1, 9)})), 1)
	assert.Equal(t, len(sqjudge.StaleOrders([]sqrecord.Entry{order("a", 1, 1), order("b", 1, 2), order("a", 1, 3)})), 1)
	assert.Equal(t, len(sqjudge.StaleOrders([]sqrecord.Entry{order("a", 1, 2), order("a", 1, 1)})), 0)
	assert.Equal(t, len(sqjudge.StaleOrders([]sqrecord.Entry{order("a", 1, 1), order("b", 1, 3), order("a", 1, 2)})), 2)
	assert.Equal(t, len(sqjudge.StaleOrders([]sqrecord.Entry{order("a", 2, 1), order("a", 1, 2)})), 1)
	same := []sqrecord.Entry{report(`{"window":4,"lines":[1],"fencingTerm":1}`, 1), report(`{"window":4,"lines":[1],"fencingTerm":2}`, 2)}
	assert.Equal(t, len(sqjudge.InconsistentReports(same)), 0)
	other := append(same, report(`{"window":4,"lines":[2],"fencingTerm":2}`, 3))
	assert.Equal(t, len(sqjudge.InconsistentReports(other)), 1)
}
