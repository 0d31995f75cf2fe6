package sqcoordinator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqrpc"
)

// listingInterval is how long all gateways are sent the same listing. The times in it, for
// which endpoints are slow after their start, are late by that much at most.
const listingInterval = 250 * time.Millisecond

// encodedListings holds the compressed lists of a revision that gateways were sent a short
// time ago. When the list changes, or after all gateways have started, many of them need the
// same one.
type encodedListings struct {
	revision  uint64
	encodedAt time.Time
	// byRevision holds the lists by the revision that a gateway has, or 0 for all endpoints.
	byRevision map[uint64][]byte
}

// fillListing sets the list of endpoints, or its changes, if the gateway has another
// revision. The caller must hold mu.
func (c *coordinator) fillListing(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	if req.GetFleetRevision() == t.listing.Revision() {
		return
	}
	from := uint64(0)
	if _, ok := t.listing.Since(req.GetFleetRevision()); ok && req.GetTakesDeltas() {
		from = req.GetFleetRevision()
	}
	if req.GetTakesListings() {
		data, err := t.encodeListing(now, from)
		if err == nil {
			res.Listing = data
			return
		}
		c.log.Event(sqevent.BeatNotEncoded, "listing", err.Error())
	}
	list := t.endpointList(now, from)
	res.DeltaFrom, res.Endpoints, res.RemovedEndpoints = list.GetDeltaFrom(), list.GetEndpoints(), list.GetRemovedEndpoints()
}

// encodeListing returns the compressed changes of the list since a revision, or all of it
// for the revision 0.
func (t *termState) encodeListing(now time.Time, from uint64) ([]byte, error) {
	e := &t.encodedListings
	if e.revision != t.listing.Revision() || now.Sub(e.encodedAt) >= listingInterval {
		*e = encodedListings{revision: t.listing.Revision(), encodedAt: now, byRevision: map[uint64][]byte{}}
	}
	if data := e.byRevision[from]; data != nil {
		return data, nil
	}
	encoded, err := proto.Marshal(t.endpointList(now, from))
	if err != nil {
		return nil, err
	}
	data := sqtransfer.Encode(encoded)
	e.byRevision[from] = data
	return data, nil
}

// endpointList returns the changes of the list since a revision, or all of it for the
// revision 0.
func (t *termState) endpointList(now time.Time, from uint64) *sqrpc.EndpointList {
	if from == 0 {
		return &sqrpc.EndpointList{Endpoints: toListedEndpoints(now, t.listing.Endpoints())}
	}
	d, _ := t.listing.Since(from)
	return &sqrpc.EndpointList{DeltaFrom: from, Endpoints: toListedEndpoints(now, d.Changed), RemovedEndpoints: d.Removed}
}

// toListedEndpoints converts endpoints to protocol messages.
func toListedEndpoints(now time.Time, fleet []sqplace.Endpoint) []*sqrpc.ListedEndpoint {
	list := make([]*sqrpc.ListedEndpoint, 0, len(fleet))
	for i := range fleet {
		list = append(list, sqrpc.FromEndpoint(now, &fleet[i]))
	}
	return list
}
