package sqlocate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestFailover(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	assert.Equal(t, l.Holder(), "a")
	l.ReportNotHolder(now, "a", "")
	assert.Equal(t, l.Holder(), "b")
	l.ReportNotHolder(now, "a", "")
	assert.Equal(t, l.Holder(), "b", "a late report about a previous holder changes nothing")
	l.ReportNotHolder(now, "b", "c")
	assert.Equal(t, l.Holder(), "c")
}

// TestAvoidsUnreachableHolder checks that a holder that does not respond is avoided
// for a while, though other processes still redirect to it.
func TestAvoidsUnreachableHolder(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.ReportUnreachable(now, "a")
	for range 6 {
		l.ReportNotHolder(now, l.Holder(), "a")
		assert.Assert(t, l.Holder() != "a")
	}
}

// TestFollowsRedirectToNewHolder checks that a redirect is followed to an address that
// responded shortly before that it did not hold the lease, as after an election.
func TestFollowsRedirectToNewHolder(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.ReportUnreachable(now, "a")
	assert.Equal(t, l.Holder(), "b")
	l.ReportNotHolder(now, "b", "")
	assert.Equal(t, l.Holder(), "c")
	l.ReportNotHolder(now, "c", "b")
	assert.Equal(t, l.Holder(), "b")
}

// TestSuspicionExpires checks that redirects to an unreachable holder are followed
// again after suspectDuration.
func TestSuspicionExpires(t *testing.T) {
	l := New([]string{"a", "b", "c"})
	l.ReportUnreachable(now, "a")
	l.ReportNotHolder(now.Add(suspectDuration), "b", "a")
	assert.Equal(t, l.Holder(), "a")
}

func TestSetAddresses(t *testing.T) {
	l := New(nil)
	assert.Equal(t, l.Holder(), "")
	l.SetAddresses([]string{"a"})
	assert.Equal(t, l.Holder(), "a")
	l.SetAddresses([]string{"b"})
	assert.Equal(t, l.Holder(), "a", "the believed holder stays when the addresses change")
	l.ReportNotHolder(now, "a", "")
	assert.Equal(t, l.Holder(), "b")
}
