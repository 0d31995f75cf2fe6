// Package sqjudge checks the outcomes that callers saw against the record of the
// stand-ins. It knows nothing of the product's internals, so that a fault in the
// product cannot hide itself in the check.
package sqjudge

import (
	"encoding/json"
	"fmt"

	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

// RunCounts returns how often the call with each identity ran, by the record of the
// stand-ins.
func RunCounts(entries []sqrecord.Entry) map[string]int {
	runs := map[string]int{}
	for _, e := range entries {
		if e.Kind == sqrecord.CallExecuted {
			runs[e.IdempotencyKey]++
		}
	}
	return runs
}

// CallViolations checks the outcomes of booking calls against the record of the
// stand-ins and returns one text for each violation. No call may have run twice. A
// call that was answered as not run must not be in the record. A completed call must
// be in the record, and its answer must carry its own identity.
func CallViolations(entries []sqrecord.Entry, calls []sqmix.BookingResult) []string {
	var violations []string
	report := func(format string, values ...any) { violations = append(violations, fmt.Sprintf(format, values...)) }
	runs := RunCounts(entries)
	for id, n := range runs {
		if n > 1 {
			report("%s ran %d times", id, n)
		}
	}
	for _, c := range calls {
		n := runs[c.Identity]
		if c.Outcome == sqcaller.Complete && n == 0 {
			report("%s completed for its caller but did not run", c.Identity)
		}
		if c.Outcome == sqcaller.NotRun && n > 0 {
			report("%s was reported as not run but ran", c.Identity)
		}
		if c.Outcome == sqcaller.Complete && !hasOwnIdentity(c) {
			report("%s got the answer %s", c.Identity, c.Body)
		}
	}
	return violations
}

type bookingBody struct {
	Identity string `json:"identity"`
}

func hasOwnIdentity(c sqmix.BookingResult) bool {
	var b bookingBody
	return json.Unmarshal(c.Body, &b) == nil && b.Identity == c.Identity
}

// LeakedKeys returns one text for each request in which an endpoint received a
// caller's key.
func LeakedKeys(entries []sqrecord.Entry) []string {
	var leaks []string
	for _, e := range entries {
		if e.Kind == sqrecord.CredentialSeen {
			leaks = append(leaks, fmt.Sprintf("endpoint %s saw a key in %s", e.Source, e.Detail))
		}
	}
	return leaks
}
