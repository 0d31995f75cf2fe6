package sqgateway

import (
	"context"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

const (
	// shortestBeat and longestBeat bound the time between two beats, and
	// beatPerGateway is what each gateway adds to it: the holder hears 400 beats a
	// second at most as long as the longest pause allows it.
	shortestBeat   = 100 * time.Millisecond
	longestBeat    = 600 * time.Millisecond
	beatPerGateway = 2500 * time.Microsecond
	// retryEvery is the time after a beat without an answer; beatTimeout bounds one.
	retryEvery  = 50 * time.Millisecond
	beatTimeout = 400 * time.Millisecond
	// maxUnsent bounds the reads that wait for a holder.
	maxUnsent = 1024
)

// view is what the gateway knows from the holder. It never changes.
type view struct {
	table *sqtable.Table
	// freshUntil is the end of the freshness lease on sqclock's clock.
	freshUntil time.Time
	// heardAt is when the holder last answered, or when the process started.
	heardAt  time.Time
	revision uint64
	// listed has the identities of all endpoints.
	listed   map[string]bool
	gateways []*sqrpc.GatewayAddress
	// count is how many gateways share limits, 0 while unknown.
	count int
	// offset is the true time less sqclock's.
	offset time.Duration
	holder string
}

// fresh reports whether the gateway may act on the view.
func (v *view) fresh(now time.Time) bool { return v.table != nil && now.Before(v.freshUntil) }

// retryAfter returns when a caller may come back that was refused for want of a
// holder: a silence that has lasted for some time probably lasts as long again.
func (v *view) retryAfter(now time.Time) time.Duration {
	return min(max(now.Sub(v.heardAt), refusedRetry), longestStaleRetry)
}

// date returns the true time.
func (v *view) date(now time.Time) time.Time { return now.Add(v.offset) }

// ready reports whether callers should come here.
func (g *gateway) ready() bool {
	v := g.view.Load()
	return !g.leaving.Load() && v.fresh(sqclock.Now()) && v.revision != 0
}

func (g *gateway) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// beatPause returns the time between two beats of one of so many gateways.
func beatPause(gateways int) time.Duration {
	return min(max(time.Duration(gateways)*beatPerGateway, shortestBeat), longestBeat)
}

// beats exchanges beats with the holder until ctx ends.
func (g *gateway) beats(ctx context.Context) {
	silentSince := sqclock.Now()
	for {
		pause := beatPause(g.view.Load().count)
		address := g.locator.Holder()
		if err := g.beat(ctx, address); err != nil {
			pause = retryEvery
			sqrpc.MoveOn(sqclock.Now(), g.locator, address, err)
			g.noteSilence(address, silentSince, err)
		} else {
			silentSince = sqclock.Now()
			if g.view.Load().revision == 0 {
				// A new holder has its list within moments.
				pause = retryEvery
			}
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-g.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// noteSilence logs the end of the freshness lease, once, and its causes.
func (g *gateway) noteSilence(address string, since time.Time, err error) {
	now := sqclock.Now()
	v := g.view.Load()
	if v.holder != "" {
		g.log.Event(sqevent.HolderSilent, address, err.Error())
	}
	if v.holder == "" || v.fresh(now) {
		return
	}
	lost := *v
	lost.holder = ""
	g.view.Store(&lost)
	g.log.Event(sqevent.LeaseLost, now.Sub(since).Milliseconds(), err.Error())
}

// beat tells the holder what happened here and takes what is new.
func (g *gateway) beat(ctx context.Context, address string) error {
	sent := sqclock.Now()
	client := sqrpc.NewCoordinatorProtobufClient("http://"+address, g.client)
	res, err := client.Beat(ctx, g.report())
	if err != nil {
		return sqrpc.FromTwirp(err)
	}
	g.accept(sent, sqclock.Now(), res)
	g.acceptReads(res)
	return nil
}

// report returns what the holder has to know.
func (g *gateway) report() *sqrpc.BeatRequest {
	v := g.view.Load()
	req := &sqrpc.BeatRequest{
		Gateway: g.cfg.Name, Run: g.run, Zone: g.cfg.Zone, Region: g.cfg.Region, Address: g.cfg.CallerAddress,
		Leaving: g.leaving.Load(), FleetRevision: v.revision, WallUnixNano: sqclock.Wall().UnixNano(),
	}
	if v.table != nil {
		req.TableVersion = v.table.Version()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.counter.Counts() {
		req.Counts = append(req.Counts, &sqrpc.WindowCounts{Window: n.Window, Team: n.Team, Requests: n.Requests})
	}
	for id, l := range g.placer.LocalLoads() {
		req.Loads = append(req.Loads, &sqrpc.InFlight{Id: id, Running: uint32(l.Running), UnreadTokens: uint64(l.PendingPrefillTokens)})
	}
	for _, r := range g.placer.TakeCacheUpdates() {
		g.unsent = append(g.unsent, &sqrpc.PromptRead{Endpoint: r.Endpoint, Beginning: r.PrefixHash, Tokens: uint32(r.Tokens), Own: uint32(r.SuffixTokens)})
	}
	g.unsent = g.unsent[max(0, len(g.unsent)-maxUnsent):]
	req.Reads, req.ReadsSeen = g.unsent, g.readsSeen
	for service, d := range g.demand {
		req.Demand = append(req.Demand, d.message(service))
	}
	return req
}

// accept takes the holder's answer to a beat that was sent at sent. The lease is
// counted from there: the holder read its state later.
func (g *gateway) accept(sent, received time.Time, res *sqrpc.BeatResponse) {
	old := g.view.Load()
	v := *old
	if old.table != nil && res.GetTableVersion() < old.table.Version() {
		// The state never goes back; an answer that does is not to be acted on.
		g.log.Event(sqevent.TableUnreadable, res.GetTableVersion(), "older than the one in force")
		return
	}
	if !g.acceptTable(&v, res) {
		return
	}
	g.acceptFleet(&v, res)
	v.freshUntil = sent.Add(time.Duration(res.GetFreshMillis()) * time.Millisecond)
	v.heardAt = received
	v.gateways = res.GetGateways()
	v.offset = time.Duration(res.GetTrueUnixNano() - sent.Add(received.Sub(sent)/2).UnixNano())
	if n := int(res.GetGatewayCount()); n > 0 {
		v.count = n
	}
	if v.holder != res.GetHolder() {
		g.log.Event(sqevent.LeaseGained, res.GetHolder(), res.GetTableVersion(), res.GetFleetRevision())
	}
	v.holder = res.GetHolder()
	g.locator.Set(res.GetControls())
	g.mu.Lock()
	g.retry.SetGateways(v.count)
	g.placer.SetRemoteLoads(loadsOf(res.GetOthers()))
	g.mu.Unlock()
	g.view.Store(&v)
	if v.table != nil && v.revision != 0 {
		g.firstView.Do(func() { close(g.viewed) })
	}
}

// acceptTable takes a new routing table; false means that it cannot be used.
func (g *gateway) acceptTable(v *view, res *sqrpc.BeatResponse) bool {
	if len(res.GetTableDocument()) == 0 {
		return true
	}
	table, err := g.cfg.Wire.Table(res.GetTableDocument())
	if err != nil {
		g.log.Event(sqevent.TableUnreadable, res.GetTableVersion(), err.Error())
		return false
	}
	v.table = table
	g.mu.Lock()
	g.placer.SetServices(table.Services())
	g.mu.Unlock()
	g.log.Event(sqevent.TableInForce, table.Version())
	return true
}

func (g *gateway) acceptFleet(v *view, res *sqrpc.BeatResponse) {
	if res.GetFleetRevision() == 0 || res.GetFleetRevision() == v.revision {
		return
	}
	fleet := make([]sqplace.Endpoint, 0, len(res.GetEndpoints()))
	v.listed = make(map[string]bool, len(res.GetEndpoints()))
	for _, l := range res.GetEndpoints() {
		fleet = append(fleet, sqrpc.ToEndpoint(l))
		v.listed[l.GetId()] = true
	}
	v.revision = res.GetFleetRevision()
	g.mu.Lock()
	g.placer.SetFleet(fleet)
	g.mu.Unlock()
	g.log.Event(sqevent.FleetInForce, v.revision, len(fleet))
}

// acceptReads takes what other gateways had read, and forgets what the holder now
// knows of this one.
func (g *gateway) acceptReads(res *sqrpc.BeatResponse) {
	reads := make([]sqplace.CacheUpdate, 0, len(res.GetReads()))
	for _, r := range res.GetReads() {
		reads = append(reads, sqplace.CacheUpdate{Endpoint: r.GetEndpoint(), PrefixHash: r.GetBeginning(), Tokens: int(r.GetTokens()), SuffixTokens: int(r.GetOwn())})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.ApplyCacheUpdates(sqclock.Now(), reads)
	g.unsent, g.readsSeen = nil, res.GetReadsSeen()
}

func loadsOf(list []*sqrpc.InFlight) map[string]sqplace.Load {
	loads := make(map[string]sqplace.Load, len(list))
	for _, l := range list {
		loads[l.GetId()] = sqplace.Load{Running: int(l.GetRunning()), PendingPrefillTokens: int(l.GetUnreadTokens())}
	}
	return loads
}
