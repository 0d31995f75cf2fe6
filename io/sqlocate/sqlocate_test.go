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
	l.ReportNotHolder(now, "a", "")
	assert.Equal(t, l.Holder(), "b")
	l.ReportNotHolder(now, "a", "")
	assert.Equal(t, l.Holder(), "b", "an old failure says nothing of the new address")
	l.ReportNotHolder(now, "b", "c")
	assert.Equal(t, l.Holder(), "c")
}

// TestSilentHolder wants a holder that does not answer left alone for a while,
// though others still name it.
func TestSilentHolder(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.ReportUnreachable(now, "a")
	for range 6 {
		l.ReportNotHolder(now, l.Holder(), "a")
		assert.Assert(t, l.Holder() != "a")
	}
}

// TestAfterElection wants an address followed that was no holder a moment ago.
func TestAfterElection(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.ReportUnreachable(now, "a")
	assert.Equal(t, l.Holder(), "b")
	l.ReportNotHolder(now, "b", "")
	assert.Equal(t, l.Holder(), "c")
	l.ReportNotHolder(now, "c", "b")
	assert.Equal(t, l.Holder(), "b")
}

// TestTrustedAgain wants a silent holder followed again after a while.
func TestTrustedAgain(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.ReportUnreachable(now, "a")
	l.ReportNotHolder(now.Add(distrust), "b", "a")
	assert.Equal(t, l.Holder(), "a")
}

func TestSet(t *testing.T) {
	l := New(nil)
	assert.Equal(t, l.Holder(), "")
	l.SetAddresses([]string{"a"})
	assert.Equal(t, l.Holder(), "a")
	l.SetAddresses([]string{"b"})
	assert.Equal(t, l.Holder(), "a", "a holder that answers stays")
	l.ReportNotHolder(now, "a", "")
	assert.Equal(t, l.Holder(), "b")
}
