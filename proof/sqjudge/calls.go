// Package sqjudge compares what callers were told with what the stand-ins
// recorded. It knows nothing of the product, so that a fault of the product
// cannot hide itself here.
package sqjudge

import (
	"encoding/json"
	"fmt"

	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

// RunCounts returns how often each identity ran, by the stand-ins' own record.
func RunCounts(entries []sqrecord.Entry) map[string]int {
	runs := map[string]int{}
	for _, e := range entries {
		if e.Kind == sqrecord.CallRan {
			runs[e.Identity]++
		}
	}
	return runs
}

// CallViolations compares what callers were told of their bookings with the record:
// none may have run twice, none that "has not run" may be in it, and each that
// is done has to be in it, with its own answer. It returns the faults.
func CallViolations(entries []sqrecord.Entry, calls []sqmix.Booking) []string {
	var faults []string
	fault := func(format string, values ...any) { faults = append(faults, fmt.Sprintf(format, values...)) }
	runs := RunCounts(entries)
	for id, n := range runs {
		if n > 1 {
			fault("%s ran %d times", id, n)
		}
	}
	for _, c := range calls {
		n := runs[c.Identity]
		if c.Outcome == sqcaller.Whole && n == 0 {
			fault("%s is done for its caller and did not run", c.Identity)
		}
		if c.Outcome == sqcaller.NotRun && n > 0 {
			fault("%s has not run for its caller and ran", c.Identity)
		}
		if c.Outcome == sqcaller.Whole && !ownAnswer(c) {
			fault("%s got the answer %s", c.Identity, c.Body)
		}
	}
	return faults
}

type bookingBody struct {
	Identity string `json:"identity"`
}

func ownAnswer(c sqmix.Booking) bool {
	var b bookingBody
	return json.Unmarshal(c.Body, &b) == nil && b.Identity == c.Identity
}

// LeakedKeys returns the endpoints that saw a caller's key.
func LeakedKeys(entries []sqrecord.Entry) []string {
	var faults []string
	for _, e := range entries {
		if e.Kind == sqrecord.KeySeen {
			faults = append(faults, fmt.Sprintf("endpoint %s saw a key in %s", e.Source, e.Detail))
		}
	}
	return faults
}
