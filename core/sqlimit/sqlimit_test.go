package sqlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(seconds float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func named(seconds, perSecond float64) Report {
	return Report{Endpoint: "i1", Named: true, PerSecond: perSecond, At: at(seconds)}
}

func ended(seconds float64) Report { return Report{Endpoint: "i1", At: at(seconds)} }

// TestIssuerKeepsToRate checks that permits are issued at the rate of the limit, and that
// few are saved up.
func TestIssuerKeepsToRate(t *testing.T) {
	s := NewIssuer()
	assert.Equal(t, s.Issue(at(0), "i1", 5), 0)
	assert.Assert(t, s.Record(at(0), named(0, 4)))
	assert.Equal(t, s.Issue(at(0), "i1", 5), 0)
	assert.Equal(t, s.Issue(at(0.25), "i1", 5), 1)
	assert.Equal(t, s.Issue(at(60), "i1", 5), 2)
	total := 0
	for tick := range 100 {
		total += s.Issue(at(60+float64(tick+1)/10), "i1", 5)
	}
	assert.Equal(t, total, 40)
	assert.Equal(t, s.Issue(at(100), "i1", -1), 0)
}

// TestSmallestLimitIsProbed checks that an endpoint that takes nothing gets a request now
// and then, since nobody would hear otherwise that this has ended.
func TestSmallestLimitIsProbed(t *testing.T) {
	s := NewIssuer()
	s.Record(at(0), named(0, 0))
	total := 0
	for tick := range 600 {
		total += s.Issue(at(float64(tick)/10), "i1", 5)
	}
	assert.Equal(t, total, 5)
}

// TestOlderNewsIsIgnored checks that a limit ends with a response to a request that was sent
// after the limit was heard, and not by one that was under way, at both parts.
func TestOlderNewsIsIgnored(t *testing.T) {
	s, k := NewIssuer(), NewKeeper()
	record := func(now float64, r Report) bool {
		changed := s.Record(at(now), r)
		assert.Equal(t, k.Record(r), changed, "%v", r)
		assert.Equal(t, s.Limited("i1"), k.Limited("i1"), "%v", r)
		return changed
	}
	assert.Assert(t, !record(1, ended(0.5)))
	assert.Assert(t, record(1, named(1, 4)))
	assert.Assert(t, !record(2, ended(0.5)))
	assert.Assert(t, !record(2, named(2, 4)))
	assert.Assert(t, !record(3, ended(1.9)))
	assert.Assert(t, record(3, named(3, 5)))
	assert.Assert(t, record(4, ended(3.5)))
	assert.Assert(t, !s.Limited("i1"))
	assert.Assert(t, !s.Record(at(4), named(3.2, 5)), "an older report of another gateway")
	assert.Assert(t, record(5, named(5, 5)))
}

// TestIssuerForgets checks that limits of unlisted endpoints are forgotten after some time,
// and those that ended too.
func TestIssuerForgets(t *testing.T) {
	s := NewIssuer()
	listed := true
	isListed := func(string) bool { return listed }
	s.Record(at(0), named(0, 4))
	assert.Equal(t, len(s.Forget(at(100), isListed)), 0)
	listed = false
	assert.Equal(t, len(s.Forget(at(159), isListed)), 0)
	assert.DeepEqual(t, s.Forget(at(160), isListed), []string{"i1"})
	s.Record(at(200), named(200, 4))
	s.Record(at(201), ended(200.5))
	assert.Equal(t, len(s.Forget(at(261), isListed)), 0)
	assert.Equal(t, len(s.endpoints), 0)
}

// TestKeeperNeedsPermits checks that a limited endpoint gets requests with valid permits
// only.
func TestKeeperNeedsPermits(t *testing.T) {
	k := NewKeeper()
	assert.Assert(t, k.Available(at(0), "i1") && k.Take(at(0), "i1"))
	assert.Assert(t, k.Record(named(0, 4)))
	assert.Assert(t, !k.Available(at(0), "i1") && !k.Take(at(0), "i1"))
	k.Want("i1")
	k.Want("i2")
	m := k.Message()
	assert.DeepEqual(t, m, Message{Reports: []Report{named(0, 4)}, Wants: []Want{{Endpoint: "i1", Requests: 1}}})
	limit := Limit{Endpoint: "i1", PerSecond: 4, At: at(0), Permits: 2}
	assert.Equal(t, len(k.Apply(at(1), 1, m.Reports, []Limit{limit})), 0)
	assert.Equal(t, len(k.Message().Reports), 0)
	limit.Permits = 1
	k.Apply(at(1.5), 1, nil, []Limit{limit})
	assert.Assert(t, k.Take(at(1.9), "i1"))
	assert.Assert(t, k.Available(at(2.2), "i1"), "the permits of the second heartbeat")
	assert.Assert(t, k.Take(at(2.2), "i1"))
	assert.Assert(t, !k.Take(at(2.2), "i1"))
	k.Apply(at(3), 1, nil, []Limit{limit})
	assert.Assert(t, !k.Take(at(4), "i1"), "it has expired")
}

// TestKeeperFollowsHolder checks that limits come and go with the holder's responses, but
// that what the holder has not heard yet stays.
func TestKeeperFollowsHolder(t *testing.T) {
	k := NewKeeper()
	limit := Limit{Endpoint: "i1", PerSecond: 4, At: at(0)}
	assert.DeepEqual(t, k.Apply(at(1), 1, nil, []Limit{limit}), []string{"i1"})
	k.Record(Report{Endpoint: "i2", Named: true, PerSecond: 1, At: at(1.1)})
	assert.DeepEqual(t, k.Apply(at(1), 1, nil, nil), []string{"i1"})
	assert.Assert(t, !k.Limited("i1") && k.Limited("i2"))
	k.Apply(at(2), 1, k.Message().Reports, []Limit{{Endpoint: "i2", PerSecond: 1, At: at(1.1)}})
	assert.Assert(t, k.Record(Report{Endpoint: "i2", At: at(3)}))
	assert.Equal(t, len(k.Apply(at(2.9), 1, nil, []Limit{{Endpoint: "i2", PerSecond: 1, At: at(1.1), Permits: 1}})), 0)
	assert.Assert(t, !k.Limited("i2"), "the holder has not heard that it ended")
	assert.DeepEqual(t, k.Apply(at(3.5), 1, nil, []Limit{{Endpoint: "i2", PerSecond: 1, At: at(3.4)}}), []string{"i2"})
}

// TestNewHolderIsToldLimits checks that a new holder that knows of no limit ends none, and is
// told by gateways what the holder before knew.
func TestNewHolderIsToldLimits(t *testing.T) {
	k := NewKeeper()
	k.Apply(at(0), 1, nil, []Limit{{Endpoint: "i1", PerSecond: 4, At: at(0)}})
	assert.Equal(t, len(k.Apply(at(1), 2, nil, nil)), 0)
	assert.Assert(t, k.Limited("i1") && !k.Take(at(1), "i1"))
	m := k.Message()
	assert.DeepEqual(t, m.Reports, []Report{named(0, 4)})
	assert.Equal(t, len(k.Apply(at(1.1), 2, nil, nil)), 0, "a response to a heartbeat before the report")
	assert.Assert(t, k.Limited("i1"))
	assert.DeepEqual(t, k.Apply(at(2), 2, m.Reports, nil), []string{"i1"})
}
