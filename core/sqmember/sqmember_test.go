package sqmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func registry(reports ...Report) *Registry {
	r := New(Config{LeaseDuration: 3 * time.Second, RetainExpired: time.Minute})
	r.Reset(start, []string{"e0"})
	for _, rep := range reports {
		r.Renew(at(10*time.Second), rep)
	}
	return r
}

func TestInForce(t *testing.T) {
	old := Report{Entry: "e1", Version: 1, KeyRevision: 1}
	confirmed := Report{Entry: "e2", Version: 2, KeyRevision: 5}
	tests := []struct {
		name    string
		r       *Registry
		now     time.Duration
		version uint64
		keys    uint64
		want    bool
	}{
		{"a new holder waits for leases that its predecessor gave", registry(), 2 * time.Second, 2, 5, false},
		{"no entry is left", registry(), 4 * time.Second, 2, 5, true},
		{"an entry acts on an older version", registry(old, confirmed), 11 * time.Second, 2, 5, false},
		{"an entry acts on older keys", registry(confirmed), 11 * time.Second, 2, 6, false},
		{"every entry confirmed", registry(confirmed), 11 * time.Second, 2, 5, true},
		{"the entry's lease may still run by its own clock", registry(old), 13*time.Second + time.Millisecond, 2, 5, false},
		{"the entry's lease ended", registry(old), 13*time.Second + 60*time.Millisecond, 2, 5, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.r.InForce(at(tc.now), tc.version, tc.keys), tc.want)
		})
	}
}

// A new holder that has heard all entries need not wait for a whole lease.
func TestSettledOnceAllReported(t *testing.T) {
	r := New(Config{LeaseDuration: 3 * time.Second, RetainExpired: time.Minute})
	r.Reset(start, []string{"e1", "e2"})
	r.Renew(at(time.Second), Report{Entry: "e1", Version: 2})
	assert.Assert(t, !r.InForce(at(time.Second), 2, 0))
	r.Renew(at(time.Second), Report{Entry: "e2", Version: 2})
	assert.Assert(t, r.InForce(at(time.Second), 2, 0))
	later := at(2 * time.Minute)
	r.Renew(later, Report{Entry: "e2", Version: 2})
	assert.DeepEqual(t, r.Expired(later, []string{"e1", "e2"}), []string{"e1"})
}

func TestStopped(t *testing.T) {
	tests := []struct {
		name string
		rep  Report
		now  time.Duration
		want bool
	}{
		{"stopped at the drain's revision", Report{Entry: "e", FleetRevision: 7, Drained: []string{"x"}}, 11 * time.Second, true},
		{"a word from an earlier drain", Report{Entry: "e", FleetRevision: 6, Drained: []string{"x"}}, 11 * time.Second, false},
		{"still at work", Report{Entry: "e", FleetRevision: 7, Drained: []string{"y"}}, 11 * time.Second, false},
		{"its lease ended", Report{Entry: "e", FleetRevision: 7}, 14 * time.Second, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, registry(tc.rep).Drained(at(tc.now), "x", 7), tc.want)
		})
	}
}

func TestRunGone(t *testing.T) {
	r := registry(Report{Entry: "e", Run: "r2"})
	now := at(11 * time.Second)
	assert.Assert(t, !r.RunEnded(now, "e", "r2"))
	assert.Assert(t, r.RunEnded(now, "e", "r1"))
	assert.Assert(t, r.RunEnded(now, "other", "r2"))
	assert.Assert(t, r.RunEnded(at(14*time.Second), "e", "r2"))
	r.Reset(now, []string{"e"})
	assert.Assert(t, !r.RunEnded(now, "e", "r1"), "a new holder does not know yet")
}
