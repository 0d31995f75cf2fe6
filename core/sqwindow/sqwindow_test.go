package sqwindow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const length = 5 * time.Second

// wallAt returns the wall-clock time s seconds after the start of window 1000.
func wallAt(s float64) time.Time {
	return time.Unix(0, 1000*int64(length)).Add(time.Duration(s * float64(time.Second)))
}

func monoAt(s float64) time.Time { return time.Unix(7, 0).Add(time.Duration(s * float64(time.Second))) }

func TestCounterDropsOldWindows(t *testing.T) {
	c := NewCounter(length)
	c.Add(wallAt(1), "a")
	c.Add(wallAt(1), "a")
	c.Add(wallAt(6), "b")
	assert.Equal(t, len(c.Counts()), 2)
	c.Add(wallAt(5*keptWindows), "a")
	for _, n := range c.Counts() {
		assert.Assert(t, n.Window > 1000, "%v", n)
	}
}

// TestNextDue checks that a window is due soon after its end if every gateway has
// reported since, that it is not due while a gateway has not, and that windows are due
// in order.
func TestNextDue(t *testing.T) {
	c := NewCollector(monoAt(-10), length)
	report := func(s float64, runID string) {
		c.RecordCounts(monoAt(s), wallAt(s), runID, false, []Count{{Window: 1000, Team: "a", Requests: 3}})
	}
	report(1, "g1")
	report(1, "g2")
	_, due := c.NextDue(monoAt(6), wallAt(6), 0)
	assert.Assert(t, !due, "the freeze delay has not passed")
	report(6.6, "g1")
	_, due = c.NextDue(monoAt(6.7), wallAt(6.7), 0)
	assert.Assert(t, !due, "one gateway has not reported since the end")
	report(6.8, "g2")
	w, due := c.NextDue(monoAt(6.9), wallAt(6.9), 0)
	assert.Assert(t, due)
	assert.Equal(t, w, uint64(1000))
	assert.DeepEqual(t, c.Sum(w), []Count{{Window: 1000, Team: "a", Requests: 6}})
	_, due = c.NextDue(monoAt(6.9), wallAt(6.9), 1000)
	assert.Assert(t, !due, "the next window has not ended")
}

func TestSilentGatewayDelayBounded(t *testing.T) {
	c := NewCollector(monoAt(-10), length)
	c.RecordCounts(monoAt(1), wallAt(1), "g1", false, []Count{{Window: 1000, Team: "a", Requests: 1}})
	_, due := c.NextDue(monoAt(10.9), wallAt(10.9), 0)
	assert.Assert(t, !due)
	_, due = c.NextDue(monoAt(11.1), wallAt(11.1), 0)
	assert.Assert(t, due, "a silent gateway delays the window by maxFreezeDelay at most")
}

// TestNewLeaseHolderWaitsForGateways checks that a new lease holder freezes nothing
// before takeoverDelay has passed.
func TestNewLeaseHolderWaitsForGateways(t *testing.T) {
	c := NewCollector(monoAt(8), length)
	c.RecordCounts(monoAt(8.1), wallAt(8.1), "g1", false, []Count{{Window: 1000, Team: "a", Requests: 1}})
	_, due := c.NextDue(monoAt(9), wallAt(9), 999)
	assert.Assert(t, !due)
	w, due := c.NextDue(monoAt(9.6), wallAt(9.6), 999)
	assert.Assert(t, due)
	assert.Equal(t, w, uint64(1000))
}

// TestRestartKeepsEarlierCounts checks that the counts of a gateway's earlier run are
// kept after a restart.
func TestRestartKeepsEarlierCounts(t *testing.T) {
	c := NewCollector(monoAt(-10), length)
	c.RecordCounts(monoAt(1), wallAt(1), "g/1", false, []Count{{Window: 1000, Team: "a", Requests: 2}})
	c.RecordCounts(monoAt(2), wallAt(2), "g/2", false, []Count{{Window: 1000, Team: "a", Requests: 5}})
	assert.DeepEqual(t, c.Sum(1000), []Count{{Window: 1000, Team: "a", Requests: 7}})
}
