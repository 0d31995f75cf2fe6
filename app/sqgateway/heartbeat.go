package sqgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqheartbeat"
	"sequoiadock/core/sqlimit"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqrpc"
)

const (
	// heartbeatTimeout is the timeout of one heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// maxUnsentCacheUpdates limits the cache updates that are kept while no lease
	// holder acknowledges them. The oldest ones are dropped.
	maxUnsentCacheUpdates = 1024
)

// triggerHeartbeat makes runHeartbeats send a heartbeat at once.
func (g *gateway) triggerHeartbeat() {
	select {
	case g.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// triggerHeartbeatSoon makes runHeartbeats send a heartbeat before the next one is due. It
// leaves as much time between such heartbeats as the lease holder needs for those of all
// gateways.
func (g *gateway) triggerHeartbeatSoon() {
	if g.heartbeatSoon.Swap(true) {
		return
	}
	time.AfterFunc(sqheartbeat.Spread(g.view.Load().gatewayCount), func() {
		g.heartbeatSoon.Store(false)
		g.triggerHeartbeat()
	})
}

// runHeartbeats sends heartbeats to the lease holder until ctx ends.
func (g *gateway) runHeartbeats(ctx context.Context) {
	lastSuccessAt := sqclock.Now()
	failures := 0
	for {
		var interval time.Duration
		address := g.locator.Holder()
		transferCtx, transfer := sqhttp.WithTransfer(ctx)
		if err := g.sendHeartbeat(transferCtx, address); err != nil {
			failures++
			interval = sqheartbeat.RetryInterval(g.view.Load().gatewayCount, failures, rand.Float64())
			sqrpc.ReportFailure(sqclock.Now(), g.locator, address, err)
			g.logHeartbeatFailure(address, lastSuccessAt, transfer, err)
		} else {
			lastSuccessAt, failures = sqclock.Now(), 0
			v := g.view.Load()
			interval = sqheartbeat.Interval(v.gatewayCount)
			if v.fleetRevision == 0 {
				// A new lease holder has read the list of endpoints within moments.
				interval = sqheartbeat.RetryInterval(max(v.gatewayCount, v.beatingGateways), 1, rand.Float64())
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
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	v := g.view.Load()
	if v.leaseHolder != "" {
		g.log.Event(sqevent.HolderPollFailed, address, err.Error(), transfer.Elapsed(now).Milliseconds(), transfer.FirstByte().Milliseconds(),
			transfer.Bytes())
	}
	if v.leaseHolder == "" || v.fresh(now) {
		return
	}
	updated := *v
	updated.leaseHolder, updated.evidenceHolder = "", ""
	g.view.Store(&updated)
	g.log.Event(sqevent.GatewayLeaseLost, now.Sub(lastSuccessAt).Milliseconds(), err.Error())
}

// sendHeartbeat reports the gateway's state to the lease holder and applies the
// response.
func (g *gateway) sendHeartbeat(ctx context.Context, address string) error {
	sentAt := sqclock.Now()
	g.updateAvailability(sentAt)
	client := sqrpc.NewCoordinatorProtobufClient("http://"+address, g.coordinatorClient)
	req, reports := g.heartbeatRequest(sentAt)
	lastOrigin := g.addOrigins(req)
	quotaReports := g.addQuotaReports(req)
	res, err := client.Beat(ctx, req)
	if err != nil {
		return sqrpc.FromTwirp(err)
	}
	g.applyQuotas(sentAt, quotaReports, res)
	g.applyLimits(sentAt, sqclock.Now(), reports, res)
	g.applyResponse(sentAt, sqclock.Now(), res)
	g.applyCacheUpdates(res)
	g.acknowledgeOrigins(res.GetTerm(), lastOrigin)
	return nil
}

// heartbeatRequest returns the state that is reported to the lease holder at now, and the
// reports on limits in it.
func (g *gateway) heartbeatRequest(now time.Time) (*sqrpc.BeatRequest, []sqlimit.Report) {
	v := g.view.Load()
	req := &sqrpc.BeatRequest{
		Gateway: g.cfg.Name, Run: g.runID, Zone: g.cfg.Zone, Region: g.cfg.Region, Address: g.cfg.CallerAddress,
		Leaving: g.shuttingDown.Load(), FleetRevision: v.fleetRevision, WallUnixNano: sqclock.Wall().UnixNano(),
		DirectoryRevision: v.directoryRevision, SuspectRevision: v.suspectRevision, FetchesTable: true, TakesDeltas: true, TakesListings: true, Utilization: g.utilization.toProto(),
	}
	if v.table != nil {
		req.TableVersion = v.table.Version()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beats.number++
	req.Number = g.beats.number
	for _, count := range g.billingCounter.Counts() {
		req.Counts = append(req.Counts, &sqrpc.WindowCounts{Window: count.Window, Team: count.Team, Requests: count.Requests})
	}
	own := g.placer.OwnLoads()
	g.beats.record(req.Number, own)
	for id, load := range own {
		req.Loads = append(req.Loads, &sqrpc.InFlight{
			Id: id, Running: uint32(load.Running), UncachedTokens: uint64(load.PrefillTokens),
			MemoryTokens: uint64(load.MemoryTokens), BodyBytes: uint64(load.BodyBytes),
		})
	}
	for _, update := range g.placer.TakeCacheUpdates() {
		g.unsentCacheUpdates = append(g.unsentCacheUpdates, &sqrpc.CacheUpdate{Endpoint: update.Endpoint,
			PrefixHash: update.PrefixHash, Tokens: uint32(update.Tokens), SuffixTokens: uint32(update.SuffixTokens)})
	}
	g.unsentCacheUpdates = g.unsentCacheUpdates[max(0, len(g.unsentCacheUpdates)-maxUnsentCacheUpdates):]
	req.CacheUpdates, req.LastCacheUpdate = g.unsentCacheUpdates, g.lastSeenCacheUpdate
	req.LeavingEndpoints = g.placer.UnlistedDepartures()
	g.addSpeeds(now, req)
	reports := g.addLimits(now, req)
	g.addEvidence(now, v, req)
	for service, d := range g.demandByService {
		req.Demand = append(req.Demand, d.toProto(service))
	}
	return req, reports
}

// applyCacheUpdates applies the cache updates of other gateways, and drops this
// gateway's own updates, which the lease holder has acknowledged.
func (g *gateway) applyCacheUpdates(res *sqrpc.BeatResponse) {
	received := g.cacheUpdatesOf(res)
	updates := make([]sqplace.CacheUpdate, 0, len(received))
	for _, r := range received {
		updates = append(updates, sqplace.CacheUpdate{Endpoint: r.GetEndpoint(), PrefixHash: r.GetPrefixHash(),
			Tokens: int(r.GetTokens()), SuffixTokens: int(r.GetSuffixTokens())})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.ApplyCacheUpdates(sqclock.Now(), updates)
	g.placer.Speeds().Acknowledge()
	g.unsentCacheUpdates, g.lastSeenCacheUpdate = nil, res.GetLastCacheUpdate()
}
