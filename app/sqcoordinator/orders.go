package sqcoordinator

import (
	"context"
	"time"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqcapacity"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// capacityInterval is the period of planning the endpoints and their stages.
const capacityInterval = 500 * time.Millisecond

// orderState is what the lease holder plans orders by and has ordered in its term.
// The coordinator's mu guards it.
type orderState struct {
	planner *sqcapacity.Planner
	demand  map[string]*sqcapacity.Demand
	// changingStage holds the IDs of the engines whose stage is being changed. Gateways
	// are told to send them no requests.
	changingStage map[string]bool
	// stageOverrides holds the new stages of engines, by ID, that the platform's list
	// may not show yet.
	stageOverrides map[string]sqplace.Stage
	// table is the routing table by which orders are planned.
	table *sqtable.Table
}

func newOrderState() orderState {
	return orderState{planner: sqcapacity.New(), demand: map[string]*sqcapacity.Demand{}, changingStage: map[string]bool{}, stageOverrides: map[string]sqplace.Stage{}}
}

// pruneStageOverrides deletes the overrides of engines that the platform lists with the
// new stage, or no longer lists.
func (o *orderState) pruneStageOverrides(endpoints []sqplace.Endpoint) {
	listedStages := make(map[string]sqplace.Stage, len(endpoints))
	for i := range endpoints {
		listedStages[endpoints[i].ID()] = endpoints[i].Stage()
	}
	for id, stage := range o.stageOverrides {
		if listedStage, ok := listedStages[id]; !ok || listedStage == stage {
			delete(o.stageOverrides, id)
		}
	}
}

// stageSwitchTime returns how long an engine of the service is unavailable while its
// stage changes, or 0 if the table no longer has the service.
func (o *orderState) stageSwitchTime(service string) time.Duration {
	s := o.table.Service(service)
	if s == nil || s.Engine() == nil {
		return 0
	}
	return s.Engine().StageSwitchTime
}

// addDemand adds the increase of a gateway's cumulative demand, by service, since its
// previous heartbeat. Previous is nil if the gateway has just started.
func (o *orderState) addDemand(previous, current map[string]*sqrpc.ServiceDemand) {
	for service, d := range current {
		sum := o.demand[service]
		if sum == nil {
			sum = &sqcapacity.Demand{}
			o.demand[service] = sum
		}
		p := previous[service]
		sum.PrefillTokens += float64(d.GetUncachedTokens() - p.GetUncachedTokens())
		sum.Requests += float64(d.GetRequests() - p.GetRequests())
		sum.DecodeTime += time.Duration(d.GetBusyMillis()-p.GetBusyMillis()) * time.Millisecond
	}
}

// manageCapacity keeps the endpoints and their stages in line with demand while
// this process holds the lease.
func (c *coordinator) manageCapacity(ctx context.Context) {
	every(ctx, capacityInterval, func() {
		now := sqclock.Now()
		t, err := c.currentTerm(now)
		if err != nil || !c.mayCallPlatform(now, t) {
			return
		}
		orders, stageChanges := c.planCapacity(now, t)
		if c.commitInitialEndpoints(ctx, now, t) != nil {
			// Without this commit, the next lease holder would count endpoints that are
			// ordered now among the initial endpoints.
			return
		}
		for _, o := range orders {
			c.sendOrder(ctx, t, o)
		}
		for _, change := range stageChanges {
			go c.changeStage(ctx, t, change)
		}
	})
}

// planCapacity returns the orders and the stage changes to send now. It marks the
// engines whose stage is to be changed, so that gateways send them no requests.
func (c *coordinator) planCapacity(now time.Time, t *termState) ([]sqcapacity.Order, []sqcapacity.StageChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.fleet == nil || !c.refreshTable(t) {
		return nil, nil
	}
	var orders []sqcapacity.Order
	var stageChanges []sqcapacity.StageChange
	for _, s := range t.orders.table.Services() {
		v := serviceView(s, t)
		v.InitialEndpoints = c.committedInitialEndpoints(s.Name())
		v.WorkFactors = t.workFactors(now, v.Endpoints)
		v.ReplacesReclaimed = c.cfg.LimitedMemory || len(v.WorkFactors) > 0
		t.orders.planner.Observe(now, v)
		orders = append(orders, t.orders.planner.Orders(now, v)...)
		stageChanges = append(stageChanges, t.orders.planner.StageChanges(now, v)...)
	}
	for _, change := range stageChanges {
		t.orders.changingStage[change.Endpoint.ID()] = true
	}
	t.updateListing()
	return orders, stageChanges
}

// commitInitialEndpoints commits how many endpoints each service had before any were
// ordered, so that all later lease holders plan with the same numbers.
func (c *coordinator) commitInitialEndpoints(ctx context.Context, now time.Time, t *termState) error {
	c.mu.Lock()
	var initial []*sqcommand.FirstFleet
	if t.orders.table != nil {
		for _, s := range t.orders.table.Services() {
			if n := t.orders.planner.InitialEndpoints(now, s.Name()); n > 0 && c.committedInitialEndpoints(s.Name()) == 0 {
				initial = append(initial, &sqcommand.FirstFleet{Service: s.Name(), Endpoints: uint32(n)})
			}
		}
	}
	c.mu.Unlock()
	for _, f := range initial {
		cmd := &sqcommand.Command{Body: &sqcommand.Command_FixFirstFleet{FixFirstFleet: &sqcommand.FixFirstFleet{Fleet: f}}}
		if _, err := c.propose(ctx, cmd); err != nil {
			c.log.Event(sqevent.ProposalFailed, "first fleet", err.Error())
			return err
		}
		c.log.Event(sqevent.InitialEndpointsCommitted, f.GetService(), f.GetEndpoints())
	}
	return nil
}

// committedInitialEndpoints returns how many endpoints the service had before any were
// ordered, or 0 if that number is not committed.
func (c *coordinator) committedInitialEndpoints(service string) (n int) {
	c.stateMachine.Read(func(s *sqstate.State) { n = s.InitialEndpoints(service) })
	return n
}

// refreshTable sets the table by which orders are planned to the one in force. It
// returns false if there is no table, or if the one in force cannot be decoded.
func (c *coordinator) refreshTable(t *termState) bool {
	var document []byte
	c.stateMachine.Read(func(s *sqstate.State) {
		version, d := s.RoutingTable()
		if t.orders.table == nil || t.orders.table.Version() != version {
			document = d
		}
	})
	if document != nil {
		table, err := c.cfg.Wire.ParseTable(document)
		if err != nil {
			c.log.Event(sqevent.TableRefused, len(document), err.Error())
			return false
		}
		t.orders.table = table
	}
	return t.orders.table != nil
}

func serviceView(s *sqtable.Service, t *termState) *sqcapacity.Service {
	v := &sqcapacity.Service{Name: s.Name(), Scaling: s.Scaling(), Engine: s.Engine(), Limited: t.limitedEndpoints()}
	if d := t.orders.demand[s.Name()]; d != nil {
		v.Demand = *d
	}
	for _, e := range t.endpointsForGateways() {
		if e.Service() == s.Name() {
			v.Endpoints = append(v.Endpoints, e)
		}
	}
	return v
}

// sendOrder sends one order to the platform.
func (c *coordinator) sendOrder(ctx context.Context, t *termState, o sqcapacity.Order) {
	err := c.platform.Order(ctx, c.platformLease(t), sqcore.EndpointOrder{Service: o.Service, Zone: o.Zone, Spot: o.Spot, Count: o.Count})
	now := sqclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.log.Event(sqevent.EndpointsRefused, o.Service, o.Zone, o.Spot, o.Count, err.Error())
		if sqerror.KindOf(err) == sqerror.Refused {
			t.orders.planner.RecordRefusal(now, o)
		}
		return
	}
	t.orders.planner.RecordOrder(now, o)
	c.log.Event(sqevent.EndpointsOrdered, o.Service, o.Zone, o.Spot, o.Count, o.Listed, o.Reason)
}

// endpointsForGateways returns the endpoints as gateways see them: with the stages that
// the platform's list may not show yet, and with the engines whose stage is being changed
// and the endpoints that are about to stop as draining, so that they get no new requests.
// The caller must hold the coordinator's mu.
func (t *termState) endpointsForGateways() []sqplace.Endpoint {
	list := make([]sqplace.Endpoint, 0, len(t.fleet))
	for _, e := range t.fleet {
		if stage, ok := t.orders.stageOverrides[e.ID()]; ok {
			e = e.WithStage(stage)
		}
		if t.orders.changingStage[e.ID()] || t.departures.Contains(e.ID()) {
			e = e.WithDraining()
		}
		list = append(list, e)
	}
	return list
}
