package sqgateway

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqdirectory"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqlisting"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqtable"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// view is an immutable snapshot of the state that the lease holder sent to the
// gateway.
type view struct {
	table *sqtable.Table
	// freshUntil is the end of the freshness lease, on the clock of sqclock.Now.
	freshUntil time.Time
	// outdated is set if the table may not be used any more since a newer one is in force
	// that has not arrived.
	outdated bool
	// lastHeardAt is the time of the last response from the lease holder, or that of
	// the process start.
	lastHeardAt   time.Time
	fleetRevision uint64
	// fleet is the list of endpoints.
	fleet []sqplace.Endpoint
	// endpointIDs contains the IDs of all listed endpoints.
	endpointIDs map[string]bool
	// directory holds the gateways to which callers may be directed, directoryRevision is
	// the revision of that list.
	directory         []sqdirectory.Gateway
	directoryRevision uint64
	// gatewayCount is the number of gateways that share limits; 0 while unknown.
	gatewayCount int
	// beatingGateways is the number of gateways that the lease holder had received
	// heartbeats from. It is known sooner than gatewayCount, and may be too small.
	beatingGateways int
	// clockOffset is the true time minus sqclock.Now.
	clockOffset time.Duration
	leaseHolder string
	// evidenceHolder is the holder that knows the acknowledged crashes, with its term: one
	// that is elected again begins without evidence.
	evidenceHolder string
	// suspects are the traits of requests about whose answers the gateway reports, and
	// quarantines those with which it sends no request, with the end of the term. After
	// that, requests are allowed one at a time.
	suspects []sqquarantine.Trait
	// suspectRevision is the revision of the suspects.
	suspectRevision uint64
	quarantines     map[sqquarantine.Trait]time.Time
}

// fresh reports whether the gateway may act on the view: there is a routing table
// and the freshness lease has not expired.
func (v *view) fresh(now time.Time) bool { return v.table != nil && now.Before(v.freshUntil) }

// staleReason returns the logged reason for refusals while the view is not fresh.
func (v *view) staleReason() string {
	if v.outdated {
		return "the gateway waits for a newer routing table"
	}
	return "the gateway has not heard the holder"
}

// retryAfter returns the Retry-After time of a request that is refused because the
// view is not fresh. It is the time since the lease holder's last response, since
// an outage probably lasts as long again as it has lasted.
func (v *view) retryAfter(now time.Time) time.Duration {
	return min(max(now.Sub(v.lastHeardAt), defaultRetryAfter), maxStaleRetryAfter)
}

// trueTime returns the lease holder's estimate of the true time at now.
func (v *view) trueTime(now time.Time) time.Time { return now.Add(v.clockOffset) }

// ready reports whether callers should connect to this gateway.
func (g *gateway) ready() bool {
	v := g.view.Load()
	g.mu.Lock()
	listUsable := g.placer.ListUsable()
	g.mu.Unlock()
	return !g.shuttingDown.Load() && v.fresh(sqclock.Now()) && v.fleetRevision != 0 && listUsable
}

// applyResponse replaces the view by one with the state in the lease holder's
// response. The freshness lease counts from sentAt, because the lease holder read
// its state after that.
func (g *gateway) applyResponse(sentAt, receivedAt time.Time, res *sqrpc.BeatResponse) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	old := g.view.Load()
	v := *old
	if !g.freshness.Record(sentAt, res.GetTableVersion(), time.Duration(res.GetFreshMillis())*time.Millisecond) {
		// Table versions only increase, so the response is outdated.
		g.log.Event(sqevent.TableUnreadable, res.GetTableVersion(), "older than the one in force")
		return
	}
	g.applyFleet(receivedAt, &v, res)
	g.applyQuarantines(receivedAt, &v, res)
	v.freshUntil = g.freshness.Until()
	if awaited := g.freshness.Awaited(); awaited != 0 && v.table != nil && !v.fresh(receivedAt) && !v.outdated {
		v.outdated = true
		g.log.Event(sqevent.TableOutdated, v.table.Version(), awaited)
	}
	v.lastHeardAt = receivedAt
	if r := res.GetDirectoryRevision(); r == 0 || r != v.directoryRevision {
		v.directory, v.directoryRevision = toDirectory(res.GetGateways()), r
	}
	v.clockOffset = time.Duration(res.GetTrueUnixNano() - sentAt.Add(receivedAt.Sub(sentAt)/2).UnixNano())
	v.beatingGateways = int(res.GetBeatingGateways())
	if n := int(res.GetGatewayCount()); n > 0 {
		v.gatewayCount = n
	}
	if v.leaseHolder != res.GetHolder() {
		g.log.Event(sqevent.GatewayLeaseGained, res.GetHolder(), res.GetTableVersion(), res.GetFleetRevision())
	}
	v.leaseHolder = res.GetHolder()
	v.evidenceHolder = res.GetHolder() + "/" + strconv.FormatUint(res.GetTerm(), 10)
	g.locator.SetAddresses(res.GetControls())
	g.mu.Lock()
	g.retryBudget.SetGateways(v.gatewayCount)
	g.placer.SetGateways(v.gatewayCount)
	if loads := g.applyLoadSum(receivedAt, res); res.GetGatewayCount() == 0 {
		// The lease holder has not heard from all gateways yet.
		g.placer.AddPeerLoads(loads)
	} else {
		g.placer.SetPeerLoads(loads)
	}
	g.evidence.Acknowledge(receivedAt, old.evidenceHolder, v.evidenceHolder)
	g.mu.Unlock()
	g.storeView(&v)
	g.awaitTable(receivedAt, g.freshness.Awaited())
}

// storeView replaces the view. The caller must hold viewMu.
func (g *gateway) storeView(v *view) {
	g.view.Store(v)
	if v.table != nil && v.fleetRevision != 0 {
		g.firstViewOnce.Do(func() { close(g.firstViewReceived) })
	}
}

// applyFleet copies a new list of endpoints into v, if there is one, and records how old
// the list is.
func (g *gateway) applyFleet(receivedAt time.Time, v *view, res *sqrpc.BeatResponse) {
	if res.GetFleetRevision() == 0 || !g.updateFleet(receivedAt, v, res) {
		return
	}
	g.mu.Lock()
	g.placer.ConfirmList(time.Duration(res.GetFleetAgeMillis()) * time.Millisecond)
	g.mu.Unlock()
}

// updateFleet brings the list of endpoints in v to the revision of the response. It returns
// false if the response holds changes since another revision.
func (g *gateway) updateFleet(receivedAt time.Time, v *view, res *sqrpc.BeatResponse) bool {
	if res.GetFleetRevision() == v.fleetRevision {
		return true
	}
	list, err := endpointList(res)
	if err != nil {
		g.log.Event(sqevent.BeatNotDecoded, "listing", err.Error())
		return false
	}
	received := make([]sqplace.Endpoint, 0, len(list.GetEndpoints()))
	for _, endpoint := range list.GetEndpoints() {
		received = append(received, sqrpc.ToEndpoint(receivedAt, endpoint))
	}
	switch list.GetDeltaFrom() {
	case 0:
		v.fleet = received
	case v.fleetRevision:
		v.fleet = sqlisting.Delta{Changed: received, Removed: list.GetRemovedEndpoints()}.Apply(v.fleet)
	default:
		// The next heartbeat names the revision again.
		return false
	}
	v.endpointIDs = make(map[string]bool, len(v.fleet))
	for i := range v.fleet {
		v.endpointIDs[v.fleet[i].ID()] = true
	}
	v.fleetRevision = res.GetFleetRevision()
	g.mu.Lock()
	g.placer.SetEndpoints(v.fleet)
	g.mu.Unlock()
	g.log.Event(sqevent.EndpointListInForce, v.fleetRevision, len(v.fleet))
	return true
}

// endpointList returns the endpoints of a response, or their changes.
func endpointList(res *sqrpc.BeatResponse) (*sqrpc.EndpointList, error) {
	if len(res.GetListing()) == 0 {
		return &sqrpc.EndpointList{Endpoints: res.GetEndpoints(), DeltaFrom: res.GetDeltaFrom(), RemovedEndpoints: res.GetRemovedEndpoints()}, nil
	}
	document, err := sqtransfer.Decode(res.GetListing())
	if err != nil {
		return nil, err
	}
	var list sqrpc.EndpointList
	return &list, proto.Unmarshal(document, &list)
}
