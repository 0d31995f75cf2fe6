package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquorum"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

const (
	// gatewayListedTimeout is how long after its last heartbeat a gateway stays in the
	// directory for callers and its in-flight requests are passed on to other gateways.
	gatewayListedTimeout = 1500 * time.Millisecond
	// gatewayLostTimeout is how long a silent gateway still counts among the gateways
	// that share limits, since it may have spent its share. It is also how long the
	// announcement of a coordinator stays valid.
	gatewayLostTimeout = 12 * time.Second
	// gatewayCountDelay is how long a new lease holder collects heartbeats before it
	// tells gateways how many of them there are.
	gatewayCountDelay = 2 * time.Second
)

var _ sqrpc.Coordinator = (*coordinator)(nil)

// gateway is the state of a gateway as of its last heartbeat.
type gateway struct {
	address    *sqrpc.GatewayAddress
	runID      string
	leaving    bool
	lastBeatAt time.Time
	inFlight   []*sqrpc.InFlight
	// demand is cumulative since the gateway started, by service.
	demand map[string]*sqrpc.ServiceDemand
}

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
	res := &sqrpc.BeatResponse{FreshMillis: uint32(c.cfg.FreshnessLease.Milliseconds()), Holder: c.cfg.InternalAddress}
	c.stateMachine.Read(func(s *sqstate.State) {
		version, document := s.RoutingTable()
		res.TableVersion = version
		if version != req.GetTableVersion() {
			res.TableDocument = document
		}
	})
	c.mu.Lock()
	c.recordBeat(now, t, req)
	c.recordDepartures(now, t, req)
	c.fillBeatResponse(now, t, req, res)
	t.promptReads.exchange(req, res)
	c.exchangeEvidence(now, t, req, res)
	c.mu.Unlock()
	if err := c.checkLease(t); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return res, nil
}

// recordBeat records what a gateway reports in a heartbeat. The caller must hold mu.
func (c *coordinator) recordBeat(now time.Time, t *termState, req *sqrpc.BeatRequest) {
	gw := t.gateways[req.GetGateway()]
	if gw == nil || gw.runID != req.GetRun() {
		gw = &gateway{runID: req.GetRun()}
		t.gateways[req.GetGateway()] = gw
		c.log.Event(sqevent.GatewayFound, req.GetGateway(), req.GetRun(), req.GetZone())
	}
	if req.GetLeaving() && !gw.leaving {
		c.log.Event(sqevent.GatewayLeaving, req.GetGateway())
	}
	gw.leaving, gw.lastBeatAt, gw.inFlight = req.GetLeaving(), now, req.GetLoads()
	gw.address = &sqrpc.GatewayAddress{Address: req.GetAddress(), Zone: req.GetZone(), Region: req.GetRegion()}
	demand := map[string]*sqrpc.ServiceDemand{}
	for _, d := range req.GetDemand() {
		demand[d.GetService()] = d
	}
	t.orders.addDemand(gw.demand, demand)
	gw.demand = demand
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
		res.FleetRevision = t.fleetRevision
		if req.GetFleetRevision() != t.fleetRevision {
			res.Endpoints = toListedEndpoints(t.endpointsForGateways())
		}
	}
	otherLoads := map[string]*sqrpc.InFlight{}
	gatewayCount := uint32(0)
	for name, gw := range t.gateways {
		if now.Sub(gw.lastBeatAt) > gatewayLostTimeout {
			c.log.Event(sqevent.GatewayLost, name)
			delete(t.gateways, name)
			continue
		}
		gatewayCount++
		if now.Sub(gw.lastBeatAt) > gatewayListedTimeout {
			continue
		}
		if !gw.leaving {
			res.Gateways = append(res.Gateways, gw.address)
		}
		if name != req.GetGateway() {
			addInFlight(otherLoads, gw.inFlight)
		}
	}
	for _, l := range otherLoads {
		res.Others = append(res.Others, l)
	}
	if now.Sub(t.startedAt) >= gatewayCountDelay {
		res.GatewayCount = gatewayCount
	}
}

// addInFlight adds the loads of one gateway to the sums by endpoint ID.
func addInFlight(sums map[string]*sqrpc.InFlight, loads []*sqrpc.InFlight) {
	for _, l := range loads {
		sum := sums[l.GetId()]
		if sum == nil {
			sum = &sqrpc.InFlight{Id: l.GetId()}
			sums[l.GetId()] = sum
		}
		sum.Running += l.GetRunning()
		sum.UnreadTokens += l.GetUnreadTokens()
	}
}

// toListedEndpoints converts endpoints to protocol messages.
func toListedEndpoints(fleet []sqplace.Endpoint) []*sqrpc.ListedEndpoint {
	list := make([]*sqrpc.ListedEndpoint, 0, len(fleet))
	for i := range fleet {
		list = append(list, sqrpc.FromEndpoint(&fleet[i]))
	}
	return list
}
