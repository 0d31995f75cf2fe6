package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquorum"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// gatewayCountDelay is how long a new lease holder collects heartbeats before it tells
// gateways how many of them there are.
const gatewayCountDelay = 2 * time.Second

var _ sqrpc.Coordinator = (*coordinator)(nil)

// Identify implements sqrpc.Coordinator.
func (c *coordinator) Identify(context.Context, *sqrpc.IdentityRequest) (*sqrpc.IdentityResponse, error) {
	id := c.replica.Identity()
	return &sqrpc.IdentityResponse{
		Id: id.ID(), Name: id.Name(), Zone: id.Zone(), Address: id.Address(), Cluster: id.Cluster(), Deployment: deploymentName,
	}, nil
}

// Announce implements sqrpc.Coordinator.
func (c *coordinator) Announce(_ context.Context, req *sqrpc.AnnounceRequest) (*sqrpc.AnnounceResponse, error) {
	now := sqclock.Now()
	t, err := c.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.announcements[req.GetId()] = sqquorum.Candidate{
		ID: req.GetId(), Name: req.GetName(), Address: req.GetAddress(), Zone: req.GetZone(), LastSeen: now,
	}
	t.clockOffsets.Record(now, req.GetName(), time.Unix(0, req.GetWallUnixNano()))
	return &sqrpc.AnnounceResponse{Controls: c.coordinatorAddresses(now, t)}, nil
}

// coordinatorAddresses returns the addresses of the group's members and of the
// replicas that announced themselves within gatewayLostTimeout. The caller must
// hold mu.
func (c *coordinator) coordinatorAddresses(now time.Time, t *termState) []string {
	var addresses []string
	for _, m := range c.replica.Members() {
		addresses = append(addresses, m.Address())
	}
	for id, a := range t.announcements {
		if now.Sub(a.LastSeen) > gatewayLostTimeout {
			delete(t.announcements, id)
			continue
		}
		addresses = append(addresses, a.Address)
	}
	return mergeAddresses(addresses, nil)
}

// Beat implements sqrpc.Coordinator.
func (c *coordinator) Beat(_ context.Context, req *sqrpc.BeatRequest) (*sqrpc.BeatResponse, error) {
	now := sqclock.Now()
	t, err := c.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	if req.GetGateway() == "" || req.GetAddress() == "" {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "a beat without a name or an address"}))
	}
	res := &sqrpc.BeatResponse{Term: t.term, FreshMillis: uint32(c.cfg.FreshnessLease.Milliseconds()), Holder: c.cfg.InternalAddress}
	c.stateMachine.Read(func(s *sqstate.State) {
		version, document := s.RoutingTable()
		res.TableVersion = version
		if version != req.GetTableVersion() && !req.GetFetchesTable() {
			res.TableDocument = document
		}
	})
	c.mu.Lock()
	c.recordBeat(now, t, req)
	c.recordDepartures(now, t, req)
	t.recordOrigins(now, req)
	c.exchangeLimits(now, t, req, res)
	c.exchangeQuotas(now, t, req, res)
	c.fillBeatResponse(now, t, req, res)
	if err := t.cacheUpdates.exchange(now, req, res); err != nil {
		c.log.Event(sqevent.BeatNotEncoded, "cache updates", err.Error())
	}
	c.exchangeEvidence(now, t, req, res)
	c.mu.Unlock()
	if err := c.checkLease(t); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return res, nil
}

// recordBeat records what a gateway reports in a heartbeat. The caller must hold mu.
func (c *coordinator) recordBeat(now time.Time, t *termState, req *sqrpc.BeatRequest) {
	demand := map[string]*sqrpc.ServiceDemand{}
	for _, d := range req.GetDemand() {
		demand[d.GetService()] = d
	}
	t.orders.addDemand(t.gateways.record(now, req, demand), demand)
	t.clockOffsets.Record(now, req.GetGateway(), time.Unix(0, req.GetWallUnixNano()))
	counts := make([]sqwindow.Count, 0, len(req.GetCounts()))
	for _, n := range req.GetCounts() {
		counts = append(counts, sqwindow.Count{Window: n.GetWindow(), Team: n.GetTeam(), Requests: n.GetRequests()})
	}
	t.requestCounts.RecordCounts(now, t.clockOffsets.Time(now), req.GetGateway()+"/"+req.GetRun(), req.GetLeaving(), counts)
}

// fillBeatResponse sets the fields of the response that come from the term's state.
// The caller must hold mu.
func (c *coordinator) fillBeatResponse(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	res.TrueUnixNano = t.clockOffsets.Time(now).UnixNano()
	res.Controls = c.coordinatorAddresses(now, t)
	if t.fleet != nil {
		res.FleetRevision = t.listing.Revision()
		res.FleetAgeMillis = uint32(t.listAgeForGateways(now).Milliseconds())
		c.fillListing(now, t, req, res)
	}
	t.gateways.checkSilence(now)
	res.DirectoryRevision = t.gateways.directoryRevision
	if req.GetDirectoryRevision() != res.DirectoryRevision {
		res.Gateways = t.gateways.directory
	}
	c.fillLoads(now, t, req, res)
	res.BeatingGateways = uint32(len(t.gateways.byName))
	if now.Sub(t.startedAt) >= gatewayCountDelay {
		res.GatewayCount = uint32(len(t.gateways.byName))
	}
}

// fillLoads sets the loads of other gateways. The caller must hold mu.
func (c *coordinator) fillLoads(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	if req.GetNumber() == 0 {
		res.Others = t.gateways.othersInFlight(req.GetGateway())
		return
	}
	var err error
	if res.LoadSum, res.IncludedBeat, err = t.gateways.encodedLoadSum(now, req.GetGateway()); err != nil {
		c.log.Event(sqevent.BeatNotEncoded, "loads", err.Error())
	}
}
