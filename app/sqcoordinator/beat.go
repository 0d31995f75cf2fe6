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
	// gatewayListed is for how long after its last beat callers are sent to a
	// gateway.
	gatewayListed = 1500 * time.Millisecond
	// gatewayCounted is for how long a silent gateway counts among those that share
	// limits: it may still have spent its part.
	gatewayCounted = 12 * time.Second
	// countSettled is how long a new holder hears gateways before it says how many
	// there are.
	countSettled = 2 * time.Second
)

var _ sqrpc.Coordinator = (*coordinator)(nil)

// gateway is what the holder last heard of a gateway.
type gateway struct {
	address *sqrpc.GatewayAddress
	run     string
	leaving bool
	heardAt time.Time
	loads   []*sqrpc.InFlight
	demand  map[string]*sqrpc.ServiceDemand
}

// Identify implements sqrpc.Coordinator.
func (c *coordinator) Identify(context.Context, *sqrpc.IdentityRequest) (*sqrpc.IdentityResponse, error) {
	id := c.replica.Identity()
	return &sqrpc.IdentityResponse{
		Id: id.ID(), Name: id.Name(), Zone: id.Zone(), Address: id.Address(), Cluster: id.Cluster(), Deployment: deployment,
	}, nil
}

// Announce implements sqrpc.Coordinator.
func (c *coordinator) Announce(_ context.Context, req *sqrpc.AnnounceRequest) (*sqrpc.AnnounceResponse, error) {
	now := sqclock.Now()
	t, err := c.current(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.announced[req.GetId()] = sqquorum.Candidate{
		ID: req.GetId(), Name: req.GetName(), Address: req.GetAddress(), Zone: req.GetZone(), LastSeen: now,
	}
	t.clocks.Record(now, req.GetName(), time.Unix(0, req.GetWallUnixNano()))
	return &sqrpc.AnnounceResponse{Controls: c.controls(now, t)}, nil
}

// controls returns the addresses of the members and of the replicas that were
// lately heard of; mu must be held.
func (c *coordinator) controls(now time.Time, t *tenure) []string {
	var list []string
	for _, m := range c.replica.Members() {
		list = append(list, m.Address())
	}
	for id, a := range t.announced {
		if now.Sub(a.LastSeen) > gatewayCounted {
			delete(t.announced, id)
			continue
		}
		list = append(list, a.Address)
	}
	return union(list, nil)
}

// Beat implements sqrpc.Coordinator.
func (c *coordinator) Beat(_ context.Context, req *sqrpc.BeatRequest) (*sqrpc.BeatResponse, error) {
	now := sqclock.Now()
	t, err := c.current(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	if req.GetGateway() == "" || req.GetAddress() == "" {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "a beat without a name or an address"}))
	}
	res := &sqrpc.BeatResponse{FreshMillis: uint32(c.cfg.FreshnessLease.Milliseconds()), Holder: c.cfg.InternalAddress}
	c.machine.Read(func(s *sqstate.State) {
		version, document := s.RoutingTable()
		res.TableVersion = version
		if version != req.GetTableVersion() {
			res.TableDocument = document
		}
	})
	c.mu.Lock()
	c.hear(now, t, req)
	c.tell(now, t, req, res)
	t.reads.exchange(req, res)
	c.mu.Unlock()
	if err := c.stillHolds(t); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return res, nil
}

// hear takes what a gateway reports; mu must be held.
func (c *coordinator) hear(now time.Time, t *tenure, req *sqrpc.BeatRequest) {
	g := t.gateways[req.GetGateway()]
	if g == nil || g.run != req.GetRun() {
		g = &gateway{run: req.GetRun()}
		t.gateways[req.GetGateway()] = g
		c.log.Event(sqevent.GatewayFound, req.GetGateway(), req.GetRun(), req.GetZone())
	}
	if req.GetLeaving() && !g.leaving {
		c.log.Event(sqevent.GatewayLeaves, req.GetGateway())
	}
	g.leaving, g.heardAt, g.loads = req.GetLeaving(), now, req.GetLoads()
	g.address = &sqrpc.GatewayAddress{Address: req.GetAddress(), Zone: req.GetZone(), Region: req.GetRegion()}
	demand := map[string]*sqrpc.ServiceDemand{}
	for _, d := range req.GetDemand() {
		demand[d.GetService()] = d
	}
	t.orders.addDemand(g.demand, demand)
	g.demand = demand
	t.clocks.Record(now, req.GetGateway(), time.Unix(0, req.GetWallUnixNano()))
	counts := make([]sqwindow.Count, 0, len(req.GetCounts()))
	for _, n := range req.GetCounts() {
		counts = append(counts, sqwindow.Count{Window: n.GetWindow(), Team: n.GetTeam(), Requests: n.GetRequests()})
	}
	t.usage.RecordCounts(now, t.clocks.Time(now), req.GetGateway()+"/"+req.GetRun(), req.GetLeaving(), counts)
}

// tell fills in what the gateway has to know; mu must be held.
func (c *coordinator) tell(now time.Time, t *tenure, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	res.TrueUnixNano = t.clocks.Time(now).UnixNano()
	res.Controls = c.controls(now, t)
	if t.fleet != nil {
		res.FleetRevision = t.revision
		if req.GetFleetRevision() != t.revision {
			res.Endpoints = listed(t.inForce())
		}
	}
	others := map[string]*sqrpc.InFlight{}
	counted := uint32(0)
	for name, g := range t.gateways {
		if now.Sub(g.heardAt) > gatewayCounted {
			c.log.Event(sqevent.GatewayLost, name)
			delete(t.gateways, name)
			continue
		}
		counted++
		if now.Sub(g.heardAt) > gatewayListed {
			continue
		}
		if !g.leaving {
			res.Gateways = append(res.Gateways, g.address)
		}
		if name != req.GetGateway() {
			addLoads(others, g.loads)
		}
	}
	for _, l := range others {
		res.Others = append(res.Others, l)
	}
	if now.Sub(t.since) >= countSettled {
		res.GatewayCount = counted
	}
}

func addLoads(sums map[string]*sqrpc.InFlight, loads []*sqrpc.InFlight) {
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

// listed returns the list of endpoints in its form between processes.
func listed(fleet []sqplace.Endpoint) []*sqrpc.ListedEndpoint {
	list := make([]*sqrpc.ListedEndpoint, 0, len(fleet))
	for i := range fleet {
		list = append(list, sqrpc.FromEndpoint(&fleet[i]))
	}
	return list
}
