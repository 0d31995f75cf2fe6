package sqburn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func key(team string) Key { return NewKey(KeyConfig{Team: team, Service: "chat"}) }

func expectBurn(t *testing.T, b Burn, window time.Duration, good, bad uint64, rate float64) {
	t.Helper()
	assert.Equal(t, b.Window(), window)
	assert.Equal(t, b.Good(), good)
	assert.Equal(t, b.Bad(), bad)
	assert.Assert(t, b.Rate() > rate-0.001 && b.Rate() < rate+0.001, "%v", b.Rate())
}

func TestBurnRatePerWindow(t *testing.T) {
	tr := New(Config{Windows: []time.Duration{time.Minute, time.Hour}, BucketWidth: 10 * time.Second})
	for i := range 360 {
		tr.Add(start.Add(time.Duration(i)*10*time.Second), key("a"), 99, 100, 0)
	}
	now := start.Add(time.Hour - time.Second)
	tr.Add(now, key("a"), 99, 0, 60)
	burns := tr.Burns(now)
	assert.Equal(t, len(burns), 2)
	expectBurn(t, burns[0], time.Minute, 600, 60, 60.0/660/0.01)
	expectBurn(t, burns[1], time.Hour, 36000, 60, 60.0/36060/0.01)
}

func TestFullObjectiveHasNoErrorBudget(t *testing.T) {
	tr := New(Config{})
	tr.Add(start, key("a"), 100, 1, 1)
	assert.Equal(t, tr.Burns(start)[0].Rate(), 0.0)
	assert.Equal(t, len(New(Config{}).Burns(start)), 0)
}

func TestBurnsAreSorted(t *testing.T) {
	tr := New(Config{Windows: []time.Duration{time.Minute}})
	for _, team := range []string{"c", "a", "b"} {
		tr.Add(start, key(team), 99, 1, 0)
	}
	for i, team := range []string{"a", "b", "c"} {
		assert.Equal(t, tr.Burns(start)[i].Key().Team(), team)
	}
}

type count struct {
	at        time.Time
	good, bad uint64
}

// The reference implementation keeps every count.
func TestBurnMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		windows := []time.Duration{30 * time.Second, 5 * time.Minute}
		tr := New(Config{Windows: windows, BucketWidth: 10 * time.Second})
		var counts []count
		now := start
		for range rapid.IntRange(1, 80).Draw(rt, "counts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second)
			c := count{now, rapid.Uint64Range(0, 9).Draw(rt, "good"), rapid.Uint64Range(0, 9).Draw(rt, "bad")}
			counts = append(counts, c)
			tr.Add(now, key("a"), 90, c.good, c.bad)
		}
		for i, b := range tr.Burns(now) {
			lastExcluded := now.Add(-windows[i]).UnixNano() / int64(10*time.Second)
			var good, bad uint64
			for _, c := range counts {
				if c.at.UnixNano()/int64(10*time.Second) > lastExcluded {
					good += c.good
					bad += c.bad
				}
			}
			assert.Equal(rt, b.Good(), good)
			assert.Equal(rt, b.Bad(), bad)
		}
		bucketsPerSeries := int(windows[1]/(10*time.Second)) + 1
		assert.Assert(rt, len(tr.series[key("a")].buckets) <= 2*bucketsPerSeries+2, "the number of buckets is not bounded")
	})
}
