package sqlocate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestMovesOn(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	assert.Equal(t, l.Holder(), "a")
	l.Failed(now, "a", "")
	assert.Equal(t, l.Holder(), "b")
	l.Failed(now, "a", "")
	assert.Equal(t, l.Holder(), "b", "an old failure says nothing of the new address")
	l.Failed(now, "b", "c")
	assert.Equal(t, l.Holder(), "c")
}

// TestSilentHolder wants a holder that does not answer left alone for a while,
// though others still name it.
func TestSilentHolder(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.Silent(now, "a")
	for range 6 {
		l.Failed(now, l.Holder(), "a")
		assert.Assert(t, l.Holder() != "a")
	}
}

// TestAfterElection wants an address followed that was no holder a moment ago.
func TestAfterElection(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.Silent(now, "a")
	assert.Equal(t, l.Holder(), "b")
	l.Failed(now, "b", "")
	assert.Equal(t, l.Holder(), "c")
	l.Failed(now, "c", "b")
	assert.Equal(t, l.Holder(), "b")
}

// TestTrustedAgain wants a silent holder followed again after a while.
func TestTrustedAgain(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.Silent(now, "a")
	l.Failed(now.Add(distrust), "b", "a")
	assert.Equal(t, l.Holder(), "a")
}

func TestSet(t *testing.T) {
	l := New(nil)
	assert.Equal(t, l.Holder(), "")
	l.Set([]string{"a"})
	assert.Equal(t, l.Holder(), "a")
	l.Set([]string{"b"})
	assert.Equal(t, l.Holder(), "a", "a holder that answers stays")
	l.Failed(now, "a", "")
	assert.Equal(t, l.Holder(), "b")
}
