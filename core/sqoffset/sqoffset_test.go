package sqoffset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMedian(t *testing.T) {
	now := time.Unix(50, 0)
	trueTime := time.Unix(2_000_000, 0)
	e := New()
	assert.Equal(t, e.Time(now), now)
	for i, off := range []time.Duration{0, 2 * time.Millisecond, -3 * time.Millisecond, 2400 * time.Millisecond, 2400 * time.Millisecond} {
		e.Record(now, string(rune('a'+i)), trueTime.Add(off))
	}
	got := e.Time(now.Add(time.Second)).Sub(trueTime.Add(time.Second))
	assert.Assert(t, got.Abs() <= 5*time.Millisecond, "%s", got)
}

// TestClockStepsBack checks that only the newest reading of each VM counts, and
// that old readings are discarded.
func TestClockStepsBack(t *testing.T) {
	now := time.Unix(50, 0)
	e := New()
	e.Record(now, "a", time.Unix(100, 0))
	e.Record(now.Add(time.Second), "a", time.Unix(99, 0))
	assert.Equal(t, e.Time(now.Add(time.Second)).Unix(), int64(99))
	assert.Equal(t, e.Time(now.Add(time.Minute)), now.Add(time.Minute))
}

// TestMedianIsKept checks that the median is made anew when a further VM reports, and when
// it is older than medianInterval.
func TestMedianIsKept(t *testing.T) {
	now := time.Unix(50, 0)
	e := New()
	e.Record(now, "a", now.Add(time.Hour))
	assert.Equal(t, e.Time(now), now.Add(time.Hour))
	e.Record(now, "a", now.Add(2*time.Hour))
	assert.Equal(t, e.Time(now), now.Add(time.Hour))
	now = now.Add(medianInterval)
	assert.Equal(t, e.Time(now), now.Add(2*time.Hour))
	e.Record(now, "b", now.Add(3*time.Hour))
	assert.Equal(t, e.Time(now), now.Add(3*time.Hour))
}
