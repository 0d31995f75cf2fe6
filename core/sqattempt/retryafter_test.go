package sqattempt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseRetryAfter(t *testing.T) {
	wall := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	for _, c := range []struct {
		value, date string
		want        time.Duration
		ok          bool
	}{
		{"2", "", 2 * time.Second, true},
		{" 0.25 ", "", 250 * time.Millisecond, true},
		{"0", "", 0, true},
		{"99999999999999999999", "", maxRetryAfterSeconds * time.Second, true},
		{"Wed, 04 Mar 2026 05:06:17 GMT", "", 10 * time.Second, true},
		{"Wed, 04 Mar 2026 05:06:17 GMT", "Wed, 04 Mar 2026 05:06:14 GMT", 3 * time.Second, true},
		{"Wednesday, 04-Mar-26 05:06:17 GMT", "nonsense", 10 * time.Second, true},
		{"Wed Mar  4 05:06:17 2026", "", 10 * time.Second, true},
		{"Wed, 04 Mar 2026 05:06:06 GMT", "", 0, true},
		{"", "", 0, false},
		{".", "", 0, false},
		{"1.2.3", "", 0, false},
		{"-1", "", 0, false},
		{"+1", "", 0, false},
		{"NaN", "", 0, false},
		{"Inf", "", 0, false},
		{"0x10", "", 0, false},
		{"1e3", "", 0, false},
		{"soon", "", 0, false},
	} {
		got, ok := ParseRetryAfter(c.value, c.date, wall)
		assert.Equal(t, ok, c.ok, c.value)
		assert.Equal(t, got, c.want, c.value)
	}
}

func FuzzRetryAfter(f *testing.F) {
	f.Add("2.5", "")
	f.Add("Wed, 04 Mar 2026 05:06:17 GMT", "Wed Mar  4 05:06:17 2026")
	f.Fuzz(func(t *testing.T, value, date string) {
		got, ok := ParseRetryAfter(value, date, time.Unix(1000, 0))
		assert.Assert(t, got >= 0 && (ok || got == 0))
	})
}
