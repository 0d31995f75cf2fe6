package sqwindow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const length = 5 * time.Second

// date returns the true time at some seconds after window 1000 began.
func date(s float64) time.Time {
	return time.Unix(0, 1000*int64(length)).Add(time.Duration(s * float64(time.Second)))
}

func steady(s float64) time.Time { return time.Unix(7, 0).Add(time.Duration(s * float64(time.Second))) }

func TestCounterKeepsLately(t *testing.T) {
	c := NewCounter(length)
	c.Add(date(1), "a")
	c.Add(date(1), "a")
	c.Add(date(6), "b")
	assert.Equal(t, len(c.Counts()), 2)
	c.Add(date(5*kept), "a")
	for _, n := range c.Counts() {
		assert.Assert(t, n.Window > 1000, "%v", n)
	}
}

// TestDue wants a window frozen soon after its end if every gateway was heard
// since, later if one is silent, and never one out of order.
func TestDue(t *testing.T) {
	c := NewCollector(steady(-10), length)
	hear := func(s float64, id string) {
		c.RecordCounts(steady(s), date(s), id, false, []Count{{Window: 1000, Team: "a", Requests: 3}})
	}
	hear(1, "g1")
	hear(1, "g2")
	_, due := c.NextDue(steady(6), date(6), 0)
	assert.Assert(t, !due, "before the gateways settled")
	hear(6.6, "g1")
	_, due = c.NextDue(steady(6.7), date(6.7), 0)
	assert.Assert(t, !due, "one gateway was not heard since the end")
	hear(6.8, "g2")
	w, due := c.NextDue(steady(6.9), date(6.9), 0)
	assert.Assert(t, due)
	assert.Equal(t, w, uint64(1000))
	assert.DeepEqual(t, c.Sum(w), []Count{{Window: 1000, Team: "a", Requests: 6}})
	_, due = c.NextDue(steady(6.9), date(6.9), 1000)
	assert.Assert(t, !due, "the next window has not ended")
}

func TestSilentGateway(t *testing.T) {
	c := NewCollector(steady(-10), length)
	c.RecordCounts(steady(1), date(1), "g1", false, []Count{{Window: 1000, Team: "a", Requests: 1}})
	_, due := c.NextDue(steady(10.9), date(10.9), 0)
	assert.Assert(t, !due)
	_, due = c.NextDue(steady(11.1), date(11.1), 0)
	assert.Assert(t, due, "a gateway that is gone does not hold the report up")
}

// TestNewHolder wants a holder that has just begun to hear the gateways first.
func TestNewHolder(t *testing.T) {
	c := NewCollector(steady(8), length)
	c.RecordCounts(steady(8.1), date(8.1), "g1", false, []Count{{Window: 1000, Team: "a", Requests: 1}})
	_, due := c.NextDue(steady(9), date(9), 999)
	assert.Assert(t, !due)
	w, due := c.NextDue(steady(9.6), date(9.6), 999)
	assert.Assert(t, due)
	assert.Equal(t, w, uint64(1000))
}

// TestRestart wants the counts of a gateway's earlier run kept.
func TestRestart(t *testing.T) {
	c := NewCollector(steady(-10), length)
	c.RecordCounts(steady(1), date(1), "g/1", false, []Count{{Window: 1000, Team: "a", Requests: 2}})
	c.RecordCounts(steady(2), date(2), "g/2", false, []Count{{Window: 1000, Team: "a", Requests: 5}})
	assert.DeepEqual(t, c.Sum(1000), []Count{{Window: 1000, Team: "a", Requests: 7}})
}
