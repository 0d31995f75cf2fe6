package sqcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

// TestAcknowledgements checks that a holder detects that its answers reach no
// entry, and that it does not mistake other pauses for this.
func TestAcknowledgements(t *testing.T) {
	const limit = 2 * time.Second
	// watch is a watch that an entry sends at a second. known is the number of the
	// answer that it acknowledges, counted from 1 in this term; 0 stands for an
	// answer of an earlier holder.
	type watch struct {
		second  int
		entry   string
		known   uint64
		leaving bool
	}
	tests := []struct {
		name    string
		watches []watch
		second  int
		want    bool
	}{
		{"no entry sends a watch", nil, 60, false},
		{"one entry receives answers", []watch{{0, "a", 0, false}, {1, "a", 1, false}, {2, "b", 0, false}, {3, "a", 3, false}}, 4, false},
		{"entries ask and receive no answer", []watch{{0, "a", 0, false}, {1, "a", 0, false}, {2, "b", 0, false}}, 2, true},
		{"a new entry", []watch{{30, "a", 0, false}}, 31, false},
		{"an old acknowledgement repeated", []watch{{0, "a", 0, false}, {1, "a", 1, false}, {2, "a", 1, false}, {3, "a", 1, false}}, 3, true},
		{"all entries stop sending watches", []watch{{0, "a", 0, false}, {1, "a", 1, false}}, 10, true},
		{"the only entry leaves", []watch{{0, "a", 0, false}, {1, "a", 1, false}, {2, "a", 2, true}}, 10, false},
		{"the only entry is never answered and stops", []watch{{0, "a", 0, false}}, 10, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := newAcknowledgements(newTermCounters(7))
			for _, w := range tc.watches {
				known := w.known
				if known > 0 {
					known += 7 * revisionsPerTerm
				} else {
					known = 6*revisionsPerTerm + 100
				}
				a.recordWatch(start().Add(time.Duration(w.second)*time.Second), &sqrpc.WatchRequest{Entry: w.entry, KnownAnswer: known, Leaving: w.leaving})
			}
			now := start().Add(time.Duration(tc.second) * time.Second)
			assert.Equal(t, a.unacknowledgedFor(now, limit) >= limit, tc.want)
		})
	}
}
