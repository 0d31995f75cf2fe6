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

const (
	// ordersEvery is the period of planning endpoints and stages.
	ordersEvery = 500 * time.Millisecond
	// stageNotice is how long gateways have to stop sending to an engine before its
	// stage is changed.
	stageNotice = 600 * time.Millisecond
	// stagePoll and stagePolls bound the looking whether a change is complete.
	stagePoll  = 200 * time.Millisecond
	stagePolls = 10
)

// orderBook is what the holder has ordered in its term. The coordinator's mu
// guards it.
type orderBook struct {
	planner *sqcapacity.Planner
	demand  map[string]*sqcapacity.Demand
	// away are the engines whose stage changes: gateways are told to send nothing
	// there.
	away map[string]bool
	// changed are the stages that engines have and the platform's list may not show
	// yet.
	changed map[string]sqplace.Stage
	// table is the routing table that orders are planned by.
	table *sqtable.Table
}

func newOrderBook() orderBook {
	return orderBook{planner: sqcapacity.New(), demand: map[string]*sqcapacity.Demand{}, away: map[string]bool{}, changed: map[string]sqplace.Stage{}}
}

// forgetListed forgets the changed stages of engines that the platform's list now
// shows, or that are gone.
func (b *orderBook) forgetListed(list []sqplace.Endpoint) {
	stages := make(map[string]sqplace.Stage, len(list))
	for i := range list {
		stages[list[i].ID()] = list[i].Stage()
	}
	for id, stage := range b.changed {
		if is, ok := stages[id]; !ok || is == stage {
			delete(b.changed, id)
		}
	}
}

// switchTime returns how long a change of the stage takes an engine of the service
// away; 0 if the table no longer has the service.
func (b *orderBook) switchTime(service string) time.Duration {
	s := b.table.Service(service)
	if s == nil || s.Engine() == nil {
		return 0
	}
	return s.Engine().StageSwitchTime
}

// addDemand adds what a gateway was asked for since its last beat.
func (b *orderBook) addDemand(was, is map[string]*sqrpc.ServiceDemand) {
	for service, d := range is {
		sum := b.demand[service]
		if sum == nil {
			sum = &sqcapacity.Demand{}
			b.demand[service] = sum
		}
		before := was[service]
		sum.PrefillTokens += float64(d.GetUnreadTokens() - before.GetUnreadTokens())
		sum.Requests += float64(d.GetRequests() - before.GetRequests())
		sum.DecodeTime += time.Duration(d.GetBusyMillis()-before.GetBusyMillis()) * time.Millisecond
	}
}

// orderEndpoints keeps the endpoints and their stages in line with demand while
// this process holds the lease.
func (c *coordinator) orderEndpoints(ctx context.Context) {
	every(ctx, ordersEvery, func() {
		now := sqclock.Now()
		t, err := c.current(now)
		if err != nil || !c.mayCall(now, t) {
			return
		}
		orders, changes := c.planOrders(now, t)
		if c.fixFirstFleets(ctx, now, t) != nil {
			// The next holder would take what is ordered now for the first fleet.
			return
		}
		for _, o := range orders {
			c.order(ctx, t, o)
		}
		for _, change := range changes {
			go c.changeStage(ctx, t, change)
		}
	})
}

// planOrders returns what is to be ordered.
func (c *coordinator) planOrders(now time.Time, t *tenure) ([]sqcapacity.Order, []sqcapacity.StageChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.fleet == nil || !c.readTable(t) {
		return nil, nil
	}
	var orders []sqcapacity.Order
	var changes []sqcapacity.StageChange
	for _, s := range t.orders.table.Services() {
		v := serviceView(s, t)
		v.FirstFleet = c.firstFleet(s.Name())
		t.orders.planner.Observe(now, v)
		orders = append(orders, t.orders.planner.Orders(now, v)...)
		changes = append(changes, t.orders.planner.StageChanges(now, v)...)
	}
	for _, change := range changes {
		t.orders.away[change.Endpoint.ID()] = true
		t.revision++
	}
	return orders, changes
}

// fixFirstFleets commits how many endpoints each service had before any were
// ordered, so that all later holders order by the same numbers.
func (c *coordinator) fixFirstFleets(ctx context.Context, now time.Time, t *tenure) error {
	c.mu.Lock()
	var found []*sqcommand.FirstFleet
	if t.orders.table != nil {
		for _, s := range t.orders.table.Services() {
			if n := t.orders.planner.FirstFleet(now, s.Name()); n > 0 && c.firstFleet(s.Name()) == 0 {
				found = append(found, &sqcommand.FirstFleet{Service: s.Name(), Endpoints: uint32(n)})
			}
		}
	}
	c.mu.Unlock()
	for _, f := range found {
		cmd := &sqcommand.Command{Body: &sqcommand.Command_FixFirstFleet{FixFirstFleet: &sqcommand.FixFirstFleet{Fleet: f}}}
		if _, err := c.propose(ctx, cmd); err != nil {
			c.log.Event(sqevent.ProposalFailed, "first fleet", err.Error())
			return err
		}
		c.log.Event(sqevent.FirstFleetFixed, f.GetService(), f.GetEndpoints())
	}
	return nil
}

// firstFleet returns how many endpoints the service had before any were ordered, 0
// if that is not committed.
func (c *coordinator) firstFleet(service string) (n int) {
	c.machine.Read(func(s *sqstate.State) { n = s.InitialEndpoints(service) })
	return n
}

// readTable brings the table that orders are planned by up to date; false means
// that there is none.
func (c *coordinator) readTable(t *tenure) bool {
	var document []byte
	c.machine.Read(func(s *sqstate.State) {
		version, d := s.RoutingTable()
		if t.orders.table == nil || t.orders.table.Version() != version {
			document = d
		}
	})
	if document != nil {
		table, err := c.cfg.Wire.Table(document)
		if err != nil {
			c.log.Event(sqevent.TableRefused, len(document), err.Error())
			return false
		}
		t.orders.table = table
	}
	return t.orders.table != nil
}

func serviceView(s *sqtable.Service, t *tenure) *sqcapacity.Service {
	v := &sqcapacity.Service{Name: s.Name(), Scaling: s.Scaling(), Engine: s.Engine()}
	if d := t.orders.demand[s.Name()]; d != nil {
		v.Demand = *d
	}
	for _, e := range t.inForce() {
		if e.Service() == s.Name() {
			v.Endpoints = append(v.Endpoints, e)
		}
	}
	return v
}

// order sends one order to the platform.
func (c *coordinator) order(ctx context.Context, t *tenure, o sqcapacity.Order) {
	err := c.platform.Order(ctx, c.lease(t), sqcore.EndpointOrder{Service: o.Service, Zone: o.Zone, Spot: o.Spot, Count: o.Count})
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

// changeStage changes the stage of one engine once gateways send nothing there,
// and tells them when it is back.
func (c *coordinator) changeStage(ctx context.Context, t *tenure, change sqcapacity.StageChange) {
	e := &change.Endpoint
	err := c.orderStage(ctx, t, change)
	if err != nil {
		c.log.Event(sqevent.StageRefused, e.ID(), change.Stage.String(), err.Error())
	} else {
		c.log.Event(sqevent.StageOrdered, e.ID(), change.Stage.String(), change.Reason)
		c.awaitStage(ctx, t, e)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(t.orders.away, e.ID())
	if err == nil {
		t.orders.changed[e.ID()] = change.Stage
	}
	t.revision++
}

// orderStage sends the order of a stage.
func (c *coordinator) orderStage(ctx context.Context, t *tenure, change sqcapacity.StageChange) error {
	e := &change.Endpoint
	sqclock.Sleep(ctx, stageNotice)
	accepted, busy, err := c.engines.Sequence(ctx, e)
	if err != nil {
		return err
	}
	if busy {
		return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: "the engine carries out another order"})
	}
	return c.engines.SetStage(ctx, c.lease(t), e, change.Stage, accepted)
}

// awaitStage returns when the engine has carried out its order, or after a bounded
// time.
func (c *coordinator) awaitStage(ctx context.Context, t *tenure, e *sqplace.Endpoint) {
	c.mu.Lock()
	away := t.orders.switchTime(e.Service())
	c.mu.Unlock()
	sqclock.Sleep(ctx, away)
	for range stagePolls {
		_, busy, err := c.engines.Sequence(ctx, e)
		if err == nil && !busy || !sqclock.Sleep(ctx, stagePoll) {
			return
		}
	}
}

// inForce returns the list that gateways get: engines whose stage changes get
// nothing new. The coordinator's mu must be held.
func (t *tenure) inForce() []sqplace.Endpoint {
	list := make([]sqplace.Endpoint, 0, len(t.fleet))
	for _, e := range t.fleet {
		if stage, ok := t.orders.changed[e.ID()]; ok {
			e = e.WithStage(stage)
		}
		if t.orders.away[e.ID()] {
			e = e.WithDraining()
		}
		list = append(list, e)
	}
	return list
}
