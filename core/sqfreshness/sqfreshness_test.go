package sqfreshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const term = 4 * time.Second

func at(seconds float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestLeaseOfOlderVersionIsNotRenewed checks that responses that name a newer version do
// not renew the lease of the one that is held, and that they count once it is held.
func TestLeaseOfOlderVersionIsNotRenewed(t *testing.T) {
	l := New(Config{})
	assert.Assert(t, l.Until().IsZero())
	assert.Assert(t, l.Record(at(0), 8, term))
	assert.Assert(t, l.Until().IsZero())
	assert.Equal(t, l.Awaited(), uint64(8))
	l.Hold(8)
	assert.Equal(t, l.Until(), at(4))
	assert.Equal(t, l.Awaited(), uint64(0))
	assert.Assert(t, l.Record(at(1), 8, term))
	assert.Assert(t, l.Record(at(2), 12, term))
	assert.Assert(t, l.Record(at(3), 15, term))
	assert.Equal(t, l.Until(), at(5))
	assert.Equal(t, l.Awaited(), uint64(15))
	l.Hold(12)
	assert.Equal(t, l.Until(), at(6))
	l.Hold(15)
	assert.Equal(t, l.Until(), at(7))
}

// TestOutdatedResponsesAreIgnored checks that a response that names an older version than
// one that is held or known changes nothing.
func TestOutdatedResponsesAreIgnored(t *testing.T) {
	l := New(Config{})
	assert.Assert(t, l.Record(at(0), 8, term))
	l.Hold(8)
	assert.Assert(t, l.Record(at(1), 12, term))
	assert.Assert(t, !l.Record(at(2), 8, term))
	assert.Assert(t, !l.Record(at(2), 7, term))
	assert.Equal(t, l.Until(), at(4))
}

// TestSupersededVersionIsUsedForAShorterTime checks that a version that is known to be
// outdated may be used for MaxSuperseded only.
func TestSupersededVersionIsUsedForAShorterTime(t *testing.T) {
	l := New(Config{MaxSuperseded: 2 * time.Second})
	assert.Assert(t, l.Record(at(0), 8, term))
	l.Hold(8)
	assert.Equal(t, l.Until(), at(4))
	assert.Assert(t, l.Record(at(1), 12, term))
	assert.Equal(t, l.Until(), at(2))
	l.Hold(12)
	assert.Equal(t, l.Until(), at(5))
}

// TestLeaseNeverOutlastsWhatWasReported checks in random orders of responses and transfers
// that a version is never used for longer than the term after some version newer than it was
// in force, whatever is kept and forgotten.
func TestLeaseNeverOutlastsWhatWasReported(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := New(Config{})
		inForce, held, now := uint64(1), uint64(0), at(0)
		// lastInForce holds when each version was last reported.
		lastInForce := map[uint64]time.Time{}
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			switch rng.IntN(3) {
			case 0:
				inForce += uint64(rng.IntN(3))
			case 1:
				assert.Assert(t, l.Record(now, inForce, term))
				lastInForce[inForce] = now
			default:
				if rng.IntN(8) == 0 {
					held += uint64(rng.IntN(int(inForce - held + 1)))
					l.Hold(held)
				}
			}
			latest := time.Time{}
			for v, sentAt := range lastInForce {
				if v <= held && sentAt.After(latest) {
					latest = sentAt
				}
			}
			if until := l.Until(); !until.IsZero() {
				assert.Assert(t, !until.After(latest.Add(term)), "seed %d", seed)
			}
			assert.Assert(t, len(l.reports) <= maxReports)
		}
	}
}
