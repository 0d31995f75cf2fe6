package sqcoordinator

import (
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// TestRevisionsAfterLapsedLease fails if a holder whose lease ends for a moment and that
// regains it in the same term gives two lists of endpoints the same revision: gateways
// that have the first one would not be sent the second.
func TestRevisionsAfterLapsedLease(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	c := g.nodes[g.holder()].coordinator
	record := func(id string) (term *termState, revision, directory uint64) {
		now := sqclock.Now()
		ts, err := c.currentTerm(now)
		assert.NilError(t, err)
		c.recordEndpoints(now, ts, []sqplace.Endpoint{sqplace.NewEndpoint(sqplace.EndpointConfig{ID: id, Service: "s"})}, 0, nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		return ts, ts.listing.Revision(), ts.gateways.directoryRevision
	}
	before, first, _ := record("i1")
	_, err := c.currentTerm(sqclock.Now().Add(time.Hour))
	assert.Assert(t, err != nil, "the lease lasts for an hour")
	after, second, _ := record("i2")
	assert.Equal(t, after.term, before.term)
	assert.Assert(t, second > first, "revisions %d and %d", first, second)
}

// TestLapsedLeaseRemovesNoMember checks that coordinators that could not announce themselves
// while the lease had ended do not count as silent for that time.
func TestLapsedLeaseRemovesNoMember(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	c := g.nodes[g.holder()].coordinator
	now := sqclock.Now()
	ts, err := c.currentTerm(now)
	assert.NilError(t, err)
	c.mu.Lock()
	for id, a := range ts.announcements {
		a.LastSeen = now.Add(-time.Hour)
		ts.announcements[id] = a
	}
	ts.resume(now)
	c.mu.Unlock()
	for _, m := range c.groupView(now, ts).Members {
		assert.Assert(t, !m.LastSeen.Before(now), "member %d was last seen %v ago", m.ID, now.Sub(m.LastSeen))
	}
}

// TestChangedEndpointIsSentAlone fails if the change of one endpoint makes the holder send
// all of them to each gateway.
func TestChangedEndpointIsSentAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	ts := newTermState(testLog(), now, 2, time.Second)
	for i := range 330 {
		ts.fleet = append(ts.fleet, sqplace.NewEndpoint(sqplace.EndpointConfig{ID: "i" + strconv.Itoa(i), Service: "s"}))
	}
	ts.updateListing()
	known := ts.listing.Revision()
	ts.fleet = append(ts.fleet[1:330:330], sqplace.NewEndpoint(sqplace.EndpointConfig{ID: "new", Service: "s"}))
	ts.fleet[7] = ts.fleet[7].WithDraining()
	ts.updateListing()

	c := &coordinator{log: testLog()}
	answer := func(revision uint64, takesDeltas bool) *sqrpc.BeatResponse {
		res := &sqrpc.BeatResponse{}
		c.fillListing(now, ts, &sqrpc.BeatRequest{FleetRevision: revision, TakesDeltas: takesDeltas}, res)
		return res
	}
	delta := answer(known, true)
	assert.Equal(t, delta.GetDeltaFrom(), known)
	assert.Equal(t, len(delta.GetEndpoints()), 2)
	assert.DeepEqual(t, delta.GetRemovedEndpoints(), []string{"i0"})
	for _, whole := range []*sqrpc.BeatResponse{answer(known, false), answer(0, true), answer(known-1, true)} {
		assert.Equal(t, whole.GetDeltaFrom(), uint64(0))
		assert.Equal(t, len(whole.GetEndpoints()), 330)
	}
}

// TestListingIsEncodedOnce fails if gateways that need all endpoints at the same time are each
// sent a list that is encoded anew, or one of an earlier revision.
func TestListingIsEncodedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	ts := newTermState(testLog(), now, 2, time.Second)
	c := &coordinator{log: testLog()}
	listing := func(at time.Time) []byte {
		res := &sqrpc.BeatResponse{}
		c.fillListing(at, ts, &sqrpc.BeatRequest{TakesListings: true}, res)
		assert.Equal(t, len(res.GetEndpoints()), 0)
		return res.GetListing()
	}
	count := func(data []byte) int {
		document, err := sqtransfer.Decode(data)
		assert.NilError(t, err)
		var list sqrpc.EndpointList
		assert.NilError(t, proto.Unmarshal(document, &list))
		return len(list.GetEndpoints())
	}
	for _, id := range []string{"i1", "i2"} {
		ts.fleet = append(ts.fleet, sqplace.NewEndpoint(sqplace.EndpointConfig{ID: id, Service: "s"}))
		ts.updateListing()
		first := listing(now)
		assert.Equal(t, count(first), len(ts.fleet))
		assert.Assert(t, &listing(now.Add(listingInterval - 1))[0] == &first[0])
		assert.Assert(t, &listing(now.Add(listingInterval))[0] != &first[0])
	}
}
