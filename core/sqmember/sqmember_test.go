package sqmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRegistry(reports ...Heartbeat) *Registry {
	r := New(Config{FreshnessLease: 3 * time.Second, Retention: time.Minute})
	r.Reset(start, []string{"e0"})
	for _, rep := range reports {
		r.Renew(at(10*time.Second), rep)
	}
	return r
}

func TestInForce(t *testing.T) {
	old := Heartbeat{Entry: "e1", Version: 1, KeyRevision: 1}
	confirmed := Heartbeat{Entry: "e2", Version: 2, KeyRevision: 5}
	tests := []struct {
		name    string
		r       *Registry
		now     time.Duration
		version uint64
		keys    uint64
		want    bool
	}{
		{"leases granted by the predecessor may still be valid", newRegistry(), 2 * time.Second, 2, 5, false},
		{"leases granted by the predecessor ended", newRegistry(), 4 * time.Second, 2, 5, true},
		{"an entry uses an older version", newRegistry(old, confirmed), 11 * time.Second, 2, 5, false},
		{"an entry uses an older key revision", newRegistry(confirmed), 11 * time.Second, 2, 6, false},
		{"every entry uses the version and the key revision", newRegistry(confirmed), 11 * time.Second, 2, 5, true},
		{"the lease may still be valid by the clock of the entry", newRegistry(old), 13*time.Second + time.Millisecond, 2, 5, false},
		{"the lease of the entry ended", newRegistry(old), 13*time.Second + 60*time.Millisecond, 2, 5, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.r.InForce(at(tc.now), tc.version, tc.keys), tc.want)
		})
	}
}

// TestCompleteOnceAllReported checks that a new lease holder does not wait for a
// full lease once all entries have reported.
func TestCompleteOnceAllReported(t *testing.T) {
	r := New(Config{FreshnessLease: 3 * time.Second, Retention: time.Minute})
	r.Reset(start, []string{"e1", "e2"})
	r.Renew(at(time.Second), Heartbeat{Entry: "e1", Version: 2})
	assert.Assert(t, !r.InForce(at(time.Second), 2, 0))
	r.Renew(at(time.Second), Heartbeat{Entry: "e2", Version: 2})
	assert.Assert(t, r.InForce(at(time.Second), 2, 0))
	later := at(2 * time.Minute)
	r.Renew(later, Heartbeat{Entry: "e2", Version: 2})
	assert.DeepEqual(t, r.Expired(later, []string{"e1", "e2"}), []string{"e1"})
}

func TestDrained(t *testing.T) {
	tests := []struct {
		name string
		rep  Heartbeat
		now  time.Duration
		want bool
	}{
		{"no work left at the revision of the drain", Heartbeat{Entry: "e", FleetRevision: 7, Drained: []string{"x"}}, 11 * time.Second, true},
		{"report from an earlier drain", Heartbeat{Entry: "e", FleetRevision: 6, Drained: []string{"x"}}, 11 * time.Second, false},
		{"work left", Heartbeat{Entry: "e", FleetRevision: 7, Drained: []string{"y"}}, 11 * time.Second, false},
		{"the lease of the entry ended", Heartbeat{Entry: "e", FleetRevision: 7}, 14 * time.Second, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, newRegistry(tc.rep).Drained(at(tc.now), "x", 7), tc.want)
		})
	}
}

func TestRunEnded(t *testing.T) {
	r := newRegistry(Heartbeat{Entry: "e", RunID: "r2"})
	now := at(11 * time.Second)
	assert.Assert(t, !r.RunEnded(now, "e", "r2"))
	assert.Assert(t, r.RunEnded(now, "e", "r1"))
	assert.Assert(t, r.RunEnded(now, "other", "r2"))
	assert.Assert(t, r.RunEnded(at(14*time.Second), "e", "r2"))
	r.Reset(now, []string{"e"})
	assert.Assert(t, !r.RunEnded(now, "e", "r1"), "a new lease holder has no heartbeat of this entry yet")
}
