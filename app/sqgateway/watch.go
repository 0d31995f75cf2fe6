package sqgateway

import (
	"context"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqrpc"
)

const (
	// The time between two heartbeats of a gateway is heartbeatIntervalPerGateway
	// times the number of gateways, but at least minHeartbeatInterval and at most
	// maxHeartbeatInterval. The lease holder thus receives at most 400 heartbeats per
	// second, unless the maximum shortens the interval.
	minHeartbeatInterval        = 100 * time.Millisecond
	maxHeartbeatInterval        = 600 * time.Millisecond
	heartbeatIntervalPerGateway = 2500 * time.Microsecond
	// heartbeatRetryInterval is the time to the next heartbeat if the last one failed
	// or returned no list of endpoints. heartbeatTimeout is the timeout of one
	// heartbeat.
	heartbeatRetryInterval = 50 * time.Millisecond
	heartbeatTimeout       = 400 * time.Millisecond
	// maxUnsentCacheUpdates limits the cache updates that are kept while no lease
	// holder acknowledges them. The oldest ones are dropped.
	maxUnsentCacheUpdates = 1024
)

// view is an immutable snapshot of the state that the lease holder sent to the
// gateway.
type view struct {
	table *sqtable.Table
	// freshUntil is the end of the freshness lease, on the clock of sqclock.Now.
	freshUntil time.Time
	// lastHeardAt is the time of the last response from the lease holder, or that of
	// the process start.
	lastHeardAt   time.Time
	fleetRevision uint64
	// endpointIDs contains the IDs of all listed endpoints.
	endpointIDs map[string]bool
	// gateways are those to which callers may be directed, directoryRevision the revision
	// of that list.
	gateways          []*sqrpc.GatewayAddress
	directoryRevision uint64
	// gatewayCount is the number of gateways that share limits; 0 while unknown.
	gatewayCount int
	// clockOffset is the true time minus sqclock.Now.
	clockOffset time.Duration
	leaseHolder string
	// suspects are the parts of prompts about whose answers the gateway reports, and
	// quarantines those with which it sends no request, with the end of the term.
	suspects    []sqquarantine.Part
	quarantines map[sqquarantine.Part]time.Time
}

// fresh reports whether the gateway may act on the view: there is a routing table
// and the freshness lease has not expired.
func (v *view) fresh(now time.Time) bool { return v.table != nil && now.Before(v.freshUntil) }

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
	return !g.shuttingDown.Load() && v.fresh(sqclock.Now()) && v.fleetRevision != 0
}

// triggerHeartbeat makes runHeartbeats send a heartbeat at once.
func (g *gateway) triggerHeartbeat() {
	select {
	case g.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// heartbeatInterval returns the time between two heartbeats of a gateway.
func heartbeatInterval(gatewayCount int) time.Duration {
	return min(max(time.Duration(gatewayCount)*heartbeatIntervalPerGateway, minHeartbeatInterval), maxHeartbeatInterval)
}

// runHeartbeats sends heartbeats to the lease holder until ctx ends.
func (g *gateway) runHeartbeats(ctx context.Context) {
	lastSuccessAt := sqclock.Now()
	for {
		interval := heartbeatInterval(g.view.Load().gatewayCount)
		address := g.locator.Holder()
		transferCtx, transfer := sqhttp.WithTransfer(ctx)
		if err := g.sendHeartbeat(transferCtx, address, transfer); err != nil {
			interval = heartbeatRetryInterval
			sqrpc.ReportFailure(sqclock.Now(), g.locator, address, err)
			g.logHeartbeatFailure(address, lastSuccessAt, transfer, err)
		} else {
			lastSuccessAt = sqclock.Now()
			if g.view.Load().fleetRevision == 0 {
				// A new lease holder has read the list of endpoints within moments.
				interval = heartbeatRetryInterval
			}
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.heartbeatTrigger:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// logHeartbeatFailure logs failed heartbeats until the freshness lease expires, and
// then the expiry, once.
func (g *gateway) logHeartbeatFailure(address string, lastSuccessAt time.Time, transfer *sqhttp.Transfer, err error) {
	now := sqclock.Now()
	v := g.view.Load()
	if v.leaseHolder != "" {
		g.log.Event(sqevent.HolderPollFailed, address, err.Error(), transfer.Elapsed(now).Milliseconds(), transfer.FirstByte().Milliseconds(),
			transfer.Bytes())
	}
	if v.leaseHolder == "" || v.fresh(now) {
		return
	}
	updated := *v
	updated.leaseHolder = ""
	g.view.Store(&updated)
	g.log.Event(sqevent.GatewayLeaseLost, now.Sub(lastSuccessAt).Milliseconds(), err.Error())
}

// sendHeartbeat reports the gateway's state to the lease holder and applies the
// response.
func (g *gateway) sendHeartbeat(ctx context.Context, address string, transfer *sqhttp.Transfer) error {
	sentAt := sqclock.Now()
	g.updateAvailability(sentAt)
	client := sqrpc.NewCoordinatorProtobufClient("http://"+address, g.coordinatorClient)
	res, err := client.Beat(ctx, g.heartbeatRequest())
	if err != nil {
		return sqrpc.FromTwirp(err)
	}
	g.applyResponse(sentAt, sqclock.Now(), transfer, res)
	g.applyCacheUpdates(res)
	return nil
}

// heartbeatRequest returns the state that is reported to the lease holder.
func (g *gateway) heartbeatRequest() *sqrpc.BeatRequest {
	v := g.view.Load()
	req := &sqrpc.BeatRequest{
		Gateway: g.cfg.Name, Run: g.runID, Zone: g.cfg.Zone, Region: g.cfg.Region, Address: g.cfg.CallerAddress,
		Leaving: g.shuttingDown.Load(), FleetRevision: v.fleetRevision, WallUnixNano: sqclock.Wall().UnixNano(),
		DirectoryRevision: v.directoryRevision,
	}
	if v.table != nil {
		req.TableVersion = v.table.Version()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, count := range g.billingCounter.Counts() {
		req.Counts = append(req.Counts, &sqrpc.WindowCounts{Window: count.Window, Team: count.Team, Requests: count.Requests})
	}
	for id, load := range g.placer.OwnLoads() {
		req.Loads = append(req.Loads, &sqrpc.InFlight{Id: id, Running: uint32(load.Running), UnreadTokens: uint64(load.PrefillTokens)})
	}
	for _, update := range g.placer.TakeCacheUpdates() {
		g.unsentCacheUpdates = append(g.unsentCacheUpdates, &sqrpc.PromptRead{Endpoint: update.Endpoint,
			Beginning: update.PrefixHash, Tokens: uint32(update.Tokens), Own: uint32(update.SuffixTokens)})
	}
	g.unsentCacheUpdates = g.unsentCacheUpdates[max(0, len(g.unsentCacheUpdates)-maxUnsentCacheUpdates):]
	req.Reads, req.ReadsSeen = g.unsentCacheUpdates, g.lastSeenCacheUpdate
	req.LeavingEndpoints = g.placer.UnlistedDepartures()
	g.addEvidence(sqclock.Now(), v, req)
	for service, d := range g.demandByService {
		req.Demand = append(req.Demand, d.toProto(service))
	}
	return req
}

// applyResponse replaces the view by one with the state in the lease holder's
// response. The freshness lease starts at sentAt, because the lease holder read
// its state after that.
func (g *gateway) applyResponse(sentAt, receivedAt time.Time, transfer *sqhttp.Transfer, res *sqrpc.BeatResponse) {
	old := g.view.Load()
	v := *old
	if old.table != nil && res.GetTableVersion() < old.table.Version() {
		// Table versions only increase, so the response is outdated.
		g.log.Event(sqevent.TableUnreadable, res.GetTableVersion(), "older than the one in force")
		return
	}
	if !g.applyTable(&v, receivedAt, transfer, res) {
		return
	}
	g.applyFleet(&v, res)
	g.applyQuarantines(receivedAt, &v, res)
	v.freshUntil = sentAt.Add(time.Duration(res.GetFreshMillis()) * time.Millisecond)
	v.lastHeardAt = receivedAt
	if r := res.GetDirectoryRevision(); r == 0 || r != v.directoryRevision {
		v.gateways, v.directoryRevision = res.GetGateways(), r
	}
	v.clockOffset = time.Duration(res.GetTrueUnixNano() - sentAt.Add(receivedAt.Sub(sentAt)/2).UnixNano())
	if n := int(res.GetGatewayCount()); n > 0 {
		v.gatewayCount = n
	}
	if v.leaseHolder != res.GetHolder() {
		g.log.Event(sqevent.GatewayLeaseGained, res.GetHolder(), res.GetTableVersion(), res.GetFleetRevision())
	}
	v.leaseHolder = res.GetHolder()
	g.locator.SetAddresses(res.GetControls())
	g.mu.Lock()
	g.retryBudget.SetGateways(v.gatewayCount)
	g.placer.SetPeerLoads(loadsByEndpoint(res.GetOthers()))
	g.evidence.Acknowledge(receivedAt, old.leaseHolder, res.GetHolder())
	g.mu.Unlock()
	g.view.Store(&v)
	if v.table != nil && v.fleetRevision != 0 {
		g.firstViewOnce.Do(func() { close(g.firstViewReceived) })
	}
}

// applyTable decodes a new routing table into v, if there is one. It returns false
// if the table is invalid.
func (g *gateway) applyTable(v *view, receivedAt time.Time, transfer *sqhttp.Transfer, res *sqrpc.BeatResponse) bool {
	if len(res.GetTableDocument()) == 0 {
		return true
	}
	table, err := g.cfg.Wire.ParseTable(res.GetTableDocument())
	if err != nil {
		g.log.Event(sqevent.TableUnreadable, res.GetTableVersion(), err.Error())
		return false
	}
	v.table = table
	g.mu.Lock()
	g.placer.SetServices(table.Services())
	g.mu.Unlock()
	g.log.Event(sqevent.TableInForce, table.Version(), transfer.Bytes(), transfer.FirstByte().Milliseconds(),
		transfer.Elapsed(receivedAt).Milliseconds(), sqclock.Now().Sub(receivedAt).Milliseconds())
	return true
}

// applyFleet copies a new list of endpoints into v, if there is one.
func (g *gateway) applyFleet(v *view, res *sqrpc.BeatResponse) {
	if res.GetFleetRevision() == 0 || res.GetFleetRevision() == v.fleetRevision {
		return
	}
	fleet := make([]sqplace.Endpoint, 0, len(res.GetEndpoints()))
	v.endpointIDs = make(map[string]bool, len(res.GetEndpoints()))
	for _, endpoint := range res.GetEndpoints() {
		fleet = append(fleet, sqrpc.ToEndpoint(endpoint))
		v.endpointIDs[endpoint.GetId()] = true
	}
	v.fleetRevision = res.GetFleetRevision()
	g.mu.Lock()
	g.placer.SetEndpoints(fleet)
	g.mu.Unlock()
	g.log.Event(sqevent.EndpointListInForce, v.fleetRevision, len(fleet))
}

// applyCacheUpdates applies the cache updates of other gateways, and drops this
// gateway's own updates, which the lease holder has acknowledged.
func (g *gateway) applyCacheUpdates(res *sqrpc.BeatResponse) {
	updates := make([]sqplace.CacheUpdate, 0, len(res.GetReads()))
	for _, r := range res.GetReads() {
		updates = append(updates, sqplace.CacheUpdate{Endpoint: r.GetEndpoint(), PrefixHash: r.GetBeginning(),
			Tokens: int(r.GetTokens()), SuffixTokens: int(r.GetOwn())})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.ApplyCacheUpdates(sqclock.Now(), updates)
	g.unsentCacheUpdates, g.lastSeenCacheUpdate = nil, res.GetReadsSeen()
}

func loadsByEndpoint(inFlight []*sqrpc.InFlight) map[string]sqplace.Load {
	loads := make(map[string]sqplace.Load, len(inFlight))
	for _, load := range inFlight {
		loads[load.GetId()] = sqplace.Load{Running: int(load.GetRunning()), PrefillTokens: int(load.GetUnreadTokens())}
	}
	return loads
}
