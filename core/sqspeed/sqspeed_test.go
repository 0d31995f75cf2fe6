package sqspeed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestEstimateAges fails if a moment is believed for longer than a moment, the long-term
// mean is forgotten with it, or a slow endpoint is avoided for good.
func TestEstimateAges(t *testing.T) {
	var e Estimate
	assert.Equal(t, e.Factor(start), 1.0)
	for i := range 200 {
		e.Record(Report{Percent: 160, Count: 1, At: at(time.Duration(i) * 100 * time.Millisecond)})
	}
	e.Record(Report{Percent: 400, Count: 1, At: at(20 * time.Second)})
	assert.Equal(t, int(e.Percent(at(20*time.Second))), 400)
	for _, c := range []struct {
		age      time.Duration
		min, max float64
	}{{300 * time.Millisecond, 220, 270}, {2 * time.Second, 150, 175}, {20 * time.Second, 140, 165}, {90 * time.Second, 100, 120}} {
		p := e.Percent(at(20*time.Second + c.age))
		assert.Assert(t, p >= c.min && p <= c.max, "%v after %v", p, c.age)
	}
}

// TestLateReport fails if a report that arrives late, or the same one again, takes the place
// of a newer one, or if the mean depends on how many gateways report the same moment.
func TestLateReport(t *testing.T) {
	m := NewMerger()
	for i := range 100 {
		now := at(time.Duration(i) * 300 * time.Millisecond)
		m.Record(Report{Endpoint: "e", Percent: 100, Count: 3, At: now})
		late := Report{Endpoint: "e", Percent: 250, Count: 1, At: now.Add(-150 * time.Millisecond)}
		m.Record(late)
		m.Record(late)
	}
	s, ok := m.Speed(at(29700*time.Millisecond), "e")
	assert.Assert(t, ok && s.Age == 0 && s.Percent == 100 && s.Mean < 160, "%v", s)
}

// TestLostHeartbeat fails if what a lost heartbeat reported is lost with it, is reported
// again after an answer, or is kept without bound.
func TestLostHeartbeat(t *testing.T) {
	c := NewCollector()
	c.Record(start, "e", 100)
	assert.Equal(t, len(c.Take(start)), 1)
	c.Record(at(time.Second), "e", 250)
	c.Record(at(time.Second), "f", 60)
	want := []Report{{"e", 175, 2, at(time.Second)}, {"f", 60, 1, at(time.Second)}}
	assert.DeepEqual(t, c.Take(at(time.Second)), want)
	c.Record(at(2*time.Second), "f", 100)
	c.Acknowledge()
	assert.DeepEqual(t, c.Take(at(2*time.Second)), []Report{{"f", 100, 1, at(2 * time.Second)}})
	assert.Equal(t, len(c.Take(at(memory+3*time.Second))), 0)
}

// TestNewHolderKeepsMean fails if a new lease holder that has read a single report of a
// moment replaces the long-term mean that a gateway knows.
func TestNewHolderKeepsMean(t *testing.T) {
	var e Estimate
	for i := range 100 {
		e.Adopt(at(time.Duration(i)*300*time.Millisecond), Speed{Percent: 60, Age: 100 * time.Millisecond})
	}
	e.Adopt(at(31*time.Second), Speed{Percent: 150})
	assert.Equal(t, int(e.Percent(at(31*time.Second))), 150)
	assert.Assert(t, e.Percent(at(32*time.Second)) < 76)
}

// TestIncredibleReport fails if a figure that no endpoint can mean changes an estimate.
func TestIncredibleReport(t *testing.T) {
	for _, s := range []string{"", "x", "-100", "0", "9", "2001", "NaN", "Inf", "1e99", "100 %"} {
		_, ok := ParsePercent(s)
		assert.Assert(t, !ok, s)
	}
	percent, ok := ParsePercent(" 62.6 ")
	assert.Assert(t, ok && percent == 63)
	m := NewMerger()
	m.Record(Report{Endpoint: "e", Percent: 1e9, Count: 1, At: start})
	m.Record(Report{Endpoint: "e", Percent: 100, At: start})
	assert.Equal(t, len(m.Endpoints()), 0)
}
