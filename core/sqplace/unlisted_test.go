package sqplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReservationsOfUnlistedEndpoint guards against memory that is given out twice, or never
// given back, because an endpoint was missing in the list for a moment, and against a record
// of endpoints that are gone.
func TestReservationsOfUnlistedEndpoint(t *testing.T) {
	p := limitedPlacer(t, 0)
	listed := []Endpoint{engineEndpoint("d1", Decode)}
	q := engineQuery("s", 13_000, 4000)
	d := p.StartDispatch(start, &listed[0], q, 0, 0)
	p.SetEndpoints(nil)
	assert.Equal(t, p.OwnLoads()["d1"].MemoryTokens, 17_000)
	p.SetEndpoints(listed)
	assert.Equal(t, p.OwnLoads()["d1"].MemoryTokens, 17_000)
	p.SetEndpoints(nil)
	d.Finish(start, true, true)
	p.SetEndpoints(listed)
	assert.Equal(t, len(p.OwnLoads()), 0)
	assert.Equal(t, len(p.unlisted), 0)
}

// TestUpdateWithAbsurdSize guards against one update of another gateway that makes all
// prefixes at all engines count as evicted.
func TestUpdateWithAbsurdSize(t *testing.T) {
	p := limitedPlacer(t, 0)
	p.ApplyCacheUpdates(start, nil)
	p.ApplyCacheUpdates(start.Add(time.Second), []CacheUpdate{{Endpoint: "d1", SuffixTokens: 1 << 32}})
	m := &p.services["engines"].residency
	assert.Assert(t, m.othersRate <= othersRateWeight*400_000, "%v", m.othersRate)
}

// TestPeerMemoryAtNewHolder guards against memory that is given out twice because a new lease
// holder has not heard yet from the gateways that use it, and against memory that stays
// reserved after that.
func TestPeerMemoryAtNewHolder(t *testing.T) {
	p := limitedPlacer(t, 0)
	q := engineQuery("s", 13_000, 4000)
	full := map[string]Load{"d1": {Running: 3, MemoryTokens: 395_000}}
	p.SetPeerLoads(full)
	p.AddPeerLoads(nil)
	p.AddPeerLoads(map[string]Load{"d1": {Running: 1, MemoryTokens: 1000}})
	assert.Assert(t, p.Choose(start, q).Endpoint == nil)
	p.SetPeerLoads(nil)
	assert.Assert(t, p.Choose(start, q).Endpoint != nil)
}
