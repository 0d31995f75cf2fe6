package sqdeparture

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func listed(ids ...string) func(string) bool {
	return func(id string) bool {
		for _, other := range ids {
			if id == other {
				return true
			}
		}
		return false
	}
}

// TestRemembered checks that an endpoint is remembered while it is listed, and for the
// memory time after that, so that a stale list does not revive it.
func TestRemembered(t *testing.T) {
	l := NewLog()
	assert.Assert(t, l.Record(start, "i1"))
	assert.Assert(t, !l.Record(start, "i1"), "it was recorded before")
	assert.Assert(t, l.Contains("i1") && !l.Contains("i2"))
	now := start.Add(10 * memory)
	assert.Equal(t, len(l.Forget(now, listed("i1"))), 0)
	assert.Equal(t, len(l.Forget(now.Add(memory-1), listed())), 0)
	assert.Assert(t, l.Contains("i1"))
	assert.DeepEqual(t, l.Forget(now.Add(memory), listed()), []string{"i1"})
	assert.Assert(t, !l.Contains("i1"))
	assert.Assert(t, l.Record(now.Add(memory), "i1"), "it is new again")
}

// TestForgottenSorted checks that forgotten endpoints are returned in order.
func TestForgottenSorted(t *testing.T) {
	l := NewLog()
	for _, id := range []string{"c", "a", "b"} {
		l.Record(start, id)
	}
	assert.DeepEqual(t, l.Forget(start.Add(memory), listed("b")), []string{"a", "c"})
}
