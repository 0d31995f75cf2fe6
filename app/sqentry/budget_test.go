package sqentry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestResponseLengthsByLimit checks that a period of short responses doesn't
// lower the expected length of long ones.
func TestResponseLengthsByLimit(t *testing.T) {
	l := newLengths()
	key := usageKey{team: "a", service: "s", model: "m"}
	assert.Equal(t, l.expected(key, 300), 300)
	assert.Equal(t, l.expected(key, 0), defaultResponseTokens)
	for range 100 {
		l.record(key, 300, 290)
	}
	for range 100 {
		l.record(key, 30, 20)
		l.record(key, 0, 50)
	}
	assert.Assert(t, l.expected(key, 300) >= 280, "%d", l.expected(key, 300))
	assert.Assert(t, l.expected(key, 30) <= 22, "%d", l.expected(key, 30))
	assert.Equal(t, l.expected(key, 260), 260)
	assert.Assert(t, l.expected(key, 0) <= 60, "%d", l.expected(key, 0))
}
