package sqattempt

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseRateLimit checks decimal numbers, and that anything else names no limit.
func TestParseRateLimit(t *testing.T) {
	for value, want := range map[string]RateLimit{
		"":      {},
		"2.4":   {Named: true, PerSecond: 2.4},
		" 40 ":  {Named: true, PerSecond: 40},
		"0":     {Named: true},
		"1e-3":  {Named: true, PerSecond: 0.001},
		"-1":    {Unreadable: "-1"},
		"NaN":   {Unreadable: "NaN"},
		"Inf":   {Unreadable: "Inf"},
		"1e999": {Unreadable: "1e999"},
		"2,4":   {Unreadable: "2,4"},
		"many":  {Unreadable: "many"},
	} {
		assert.Equal(t, ParseRateLimit(value), want, value)
	}
}
