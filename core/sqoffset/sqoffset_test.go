package sqoffset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMedian(t *testing.T) {
	now := time.Unix(50, 0)
	truth := time.Unix(2_000_000, 0)
	m := New()
	assert.Equal(t, m.Time(now), now)
	for i, off := range []time.Duration{0, 2 * time.Millisecond, -3 * time.Millisecond, 2400 * time.Millisecond, 2400 * time.Millisecond} {
		m.Record(now, string(rune('a'+i)), truth.Add(off))
	}
	got := m.Time(now.Add(time.Second)).Sub(truth.Add(time.Second))
	assert.Assert(t, got.Abs() <= 5*time.Millisecond, "%s", got)
}

// TestJumpBack wants a VM's newest reading only, and none that is old.
func TestJumpBack(t *testing.T) {
	now := time.Unix(50, 0)
	m := New()
	m.Record(now, "a", time.Unix(100, 0))
	m.Record(now.Add(time.Second), "a", time.Unix(99, 0))
	assert.Equal(t, m.Time(now.Add(time.Second)).Unix(), int64(99))
	assert.Equal(t, m.Time(now.Add(time.Minute)), now.Add(time.Minute))
}
