package sqcontrol

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqrole"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqstock"
	"sequoiadock/io/sqclock"
)

// plan asks the policies and commits the orders that they want. Roles follow as
// soon as everybody there has reported in this tenure. Loads and endpoints, which
// cost more than a role when they are wrong, wait until the platform's list and
// the entries have had their time, and so does all when somebody is silent.
func (h *holder) plan(ctx context.Context, t *tenure) {
	now := sqclock.Now()
	waited := h.wasListed(t) && now.Sub(t.since) >= h.cfg.Timings.FreshnessLease
	if !waited && !h.allReported(now, t) {
		return
	}
	in := h.planInput(now, t)
	if in.cfg.GetFleet() == nil {
		return
	}
	t.planned = !in.inherited(t.term)
	h.planRoles(ctx, t, in)
	if !waited {
		return
	}
	h.planModels(ctx, t, in)
	h.planStock(ctx, t, in)
}

// allReported returns whether the platform's list, every engine on it and every
// entry that may act on an earlier holder's word have reported in this tenure.
func (h *holder) allReported(now time.Time, t *tenure) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !t.listed || now.Sub(t.since) < planWarmUp || !t.entries.Complete(now) {
		return false
	}
	for _, e := range t.fleet.All() {
		if e.IsEngine() && e.State() != sqfleet.Leaving && !e.Reported() {
			return false
		}
	}
	return true
}

// inherited returns whether orders of earlier holders are open. Their engines
// can't be planned for yet.
func (in *planInput) inherited(term uint64) bool {
	for _, o := range in.open {
		if !strings.HasPrefix(o.GetId(), orderPrefix(term)) {
			return true
		}
	}
	return false
}

// planInput is what both planners decide on.
type planInput struct {
	now       time.Time
	cfg       *sqcommand.Configuration
	endpoints []sqfleet.Endpoint
	// open are the open orders, by target.
	open map[string]*sqcommand.Order
	// arriving are the accepted orders to add whose VM is not listed.
	arriving  []*sqcommand.Order
	demands   []sqrole.DemandConfig
	changedAt map[string]time.Time
	// dear is the part of the work, from 0 to 1, that may not run on cheap
	// endpoints.
	dear float64
}

func (h *holder) planInput(now time.Time, t *tenure) planInput {
	in := planInput{now: now, endpoints: h.endpoints(t), open: make(map[string]*sqcommand.Order)}
	h.machine.Read(func(s *sqstate.State) {
		in.cfg = s.Configuration()
		for _, o := range s.OpenOrders() {
			in.open[o.GetTarget()] = o
		}
		in.arriving = arriving(s.Orders(), in.endpoints, sqclock.Wall(), s.Configuration().GetFleet())
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	in.changedAt = make(map[string]time.Time, len(t.changedAt))
	for id, at := range t.changedAt {
		in.changedAt[id] = at
	}
	in.demands, in.dear = sumDemands(now, t.demand)
	return in
}

// sumDemands adds up what the entries saw of each model.
func sumDemands(now time.Time, d *demandTable) (demands []sqrole.DemandConfig, dear float64) {
	byModel := make(map[string]*sqrole.DemandConfig)
	var all, dearOnly float64
	d.fresh(now, func(_ string, rep *demandReport) {
		for name, m := range rep.models {
			sum := byModel[name]
			if sum == nil {
				sum = &sqrole.DemandConfig{Model: name}
				byModel[name] = sum
			}
			sum.PrefillArrivalRate += m.prefill.rate
			sum.DecodeArrivalRate += m.decode.rate
			sum.PrefillOutstanding += m.prefillOpen
			sum.DecodeOutstanding += m.decodeOpen
			sum.EnginePrefillRate = max(sum.EnginePrefillRate, m.prefillSpeed)
			sum.EngineDecodeRate = max(sum.EngineDecodeRate, m.decodeSpeed)
			all += m.prefill.rate + m.decode.rate
			dearOnly += m.dear.rate
		}
	})
	for _, sum := range byModel {
		demands = append(demands, *sum)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Model < demands[j].Model })
	if all > 0 {
		dear = min(1, dearOnly/all)
	}
	return demands, dear
}

func (h *holder) planRoles(ctx context.Context, t *tenure, in planInput) {
	view := sqrole.ViewConfig{
		RoleChangeTime: time.Duration(in.cfg.GetFleet().GetRoleChangeSeconds()) * time.Second,
		Weights:        in.cfg.GetWeights(),
	}
	for _, e := range in.endpoints {
		if e.IsEngine() && e.Reported() {
			view.Engines = append(view.Engines, in.roleEngine(e))
		}
	}
	for _, d := range in.demands {
		view.Demands = append(view.Demands, sqrole.NewDemand(d))
	}
	plan := h.plans.roles.Plan(in.now, sqrole.NewView(view))
	for _, c := range plan.Changes() {
		h.openEngineOrder(ctx, t, in, &sqcommand.Order{
			Kind: sqcommand.OrderKind_ORDER_KIND_ROLE, Target: c.Engine(), Argument: roleWord(c.To()), Reason: c.Reason(),
		})
	}
}

// openEngineOrder opens an order of this round, so that the planners after it
// count its target as taken.
func (h *holder) openEngineOrder(ctx context.Context, t *tenure, in planInput, o *sqcommand.Order) {
	in.open[o.GetTarget()] = o
	h.openOrder(ctx, t, o)
}

func (in *planInput) roleEngine(e sqfleet.Endpoint) sqrole.Engine {
	role, _ := sqroute.ParseRole(e.Role())
	o := in.open[e.ID()]
	target := role
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ROLE {
		target, _ = sqroute.ParseRole(o.GetArgument())
	}
	return sqrole.NewEngine(sqrole.EngineConfig{
		ID: e.ID(), Model: in.busiestModel(e.Models()), Role: role,
		ChangingRole: o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ROLE, TargetRole: target, HasOpenOrder: o != nil, Unschedulable: e.State() != sqfleet.Live,
		RunningRequests: int(e.Load().Running), RoleChangedAt: in.changedAt[e.ID()],
	})
}

// busiestModel returns the name of the model with the most work among those of
// an engine: its role is planned for that one.
func (in *planInput) busiestModel(models []string) string {
	best, most := firstModel(models), 0.0
	for _, full := range models {
		name, _, _ := strings.Cut(full, "@")
		for i := range in.demands {
			if work := engineWork(&in.demands[i]); in.demands[i].Model == name && work > most {
				best, most = name, work
			}
		}
	}
	return best
}

// firstModel returns the name of the first "model@version".
func firstModel(models []string) string {
	if len(models) == 0 {
		return ""
	}
	name, _, _ := strings.Cut(models[0], "@")
	return name
}

func roleWord(r sqroute.Role) string {
	switch r {
	case sqroute.RolePrefill:
		return "prefill"
	case sqroute.RoleDecode:
		return "decode"
	default:
		return "both"
	}
}

func (h *holder) planStock(ctx context.Context, t *tenure, in planInput) {
	if !in.cfg.GetFleet().GetOrdersEnabled() {
		return
	}
	for i, o := range h.plans.planStock(in.now, sqstock.NewView(in.stockView())) {
		h.openOrder(ctx, t, stockOrder(o, in.now, i))
	}
}

func (in *planInput) stockView() sqstock.ViewConfig {
	view := sqstock.ViewConfig{Fleet: in.cfg.GetFleet(), Weights: in.cfg.GetWeights()}
	for _, e := range in.endpoints {
		if !e.IsEngine() {
			continue
		}
		role, _ := sqroute.ParseRole(e.Role())
		view.Endpoints = append(view.Endpoints, sqstock.NewEndpoint(sqstock.EndpointConfig{
			ID: e.ID(), Zone: e.Zone(), Cheap: e.Cheap(), Unschedulable: e.State() != sqfleet.Live,
			Model: firstModel(e.Models()), Role: role,
			RunningRequests: int(e.Load().Running), Protected: in.open[e.ID()] != nil,
		}))
	}
	for _, o := range in.open {
		if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT {
			view.Pending = append(view.Pending, in.pending(o))
		}
	}
	for _, o := range in.arriving {
		view.Pending = append(view.Pending, in.pending(o))
	}
	view.NeededEngines = in.enginesNeeded()
	view.NeededOnDemand = view.NeededEngines * in.dear
	return view
}

func (in *planInput) pending(o *sqcommand.Order) sqstock.PendingEndpoint {
	zone, cheap := addTarget(o)
	return sqstock.NewPendingEndpoint(sqstock.PendingEndpointConfig{Zone: zone, Cheap: cheap, OrderedAt: in.now})
}

// Bounds on how long an accepted order counts as arriving.
const (
	// arrivalFactor is in usual arrival delays.
	arrivalFactor = 3
	minArrival    = 30 * time.Second
)

// arriving returns the accepted orders to add whose VM is not listed yet. It
// reads them from the log, so that a new holder does not order them again.
func arriving(orders []*sqcommand.OrderRecord, endpoints []sqfleet.Endpoint, wall time.Time, fleet *sqcommand.Fleet) []*sqcommand.Order {
	listed := make(map[string]bool)
	for _, e := range endpoints {
		listed[e.ID()] = true
	}
	limit := max(minArrival, arrivalFactor*time.Duration(fleet.GetArrivalSeconds())*time.Second)
	var out []*sqcommand.Order
	for _, rec := range orders {
		o := rec.GetOrder()
		if o.GetKind() != sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT || !rec.GetDone() || listed[rec.GetResult()] {
			continue
		}
		if wall.Sub(time.Unix(0, o.GetOpenedUnixNano())) < limit {
			out = append(out, o)
		}
	}
	return out
}

// enginesNeeded is the work of all models in engines.
func (in *planInput) enginesNeeded() float64 {
	var n float64
	for i := range in.demands {
		n += engineWork(&in.demands[i])
	}
	return n
}

// stockOrder returns the order in the form of the log. The target of an order
// to add has a number, so that several may be open for one zone.
func stockOrder(o sqstock.Order, now time.Time, i int) *sqcommand.Order {
	out := &sqcommand.Order{Reason: o.Reason()}
	if o.Action() == sqstock.Release {
		out.Kind = sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT
		out.Target = o.VM()
		out.Argument = string(sqstock.Release)
		return out
	}
	out.Kind = sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT
	out.Target = o.Zone() + "/" + strconv.FormatInt(now.UnixNano(), 36) + strconv.Itoa(i)
	out.Argument = argumentDear
	if o.Cheap() {
		out.Argument = argumentCheap
	}
	return out
}
