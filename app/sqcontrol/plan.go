package sqcontrol

import (
	"context"
	"sort"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqrole"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
)

// planAll runs the planners and commits the orders that they return. Roles are
// planned as soon as the platform's list and all engines and entries have reported
// in this term. Models and endpoints cost more than a role when they are planned
// wrongly, so they wait until the platform's list is complete and a freshness lease
// has passed. If an engine or an entry does not report, roles wait as long.
func (h *holder) planAll(ctx context.Context, t *termState) {
	now := sqclock.Now()
	settled := h.fleetKnown(t) && now.Sub(t.startedAt) >= h.cfg.Timings.FreshnessLease
	if !settled && !h.hasAllReports(now, t) {
		return
	}
	in := h.planInput(now, t)
	if in.cfg.GetFleet() == nil {
		return
	}
	t.rolesPlanned = !in.hasInheritedOrders(t.term)
	h.planRoles(ctx, t, in)
	if !settled {
		return
	}
	h.planModels(ctx, t, in)
	h.planEndpoints(ctx, t, in)
}

// hasAllReports returns whether the platform's list, every engine on it and every
// entry that may still act on an answer of an earlier holder have reported in this
// term.
func (h *holder) hasAllReports(now time.Time, t *termState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !t.listRead || now.Sub(t.startedAt) < planWarmUp || !t.entries.Complete(now) {
		return false
	}
	for _, e := range t.fleet.All() {
		if e.IsEngine() && e.State() != sqfleet.Leaving && !e.Reported() {
			return false
		}
	}
	return true
}

// hasInheritedOrders returns whether orders of earlier holders are open. The
// engines of such orders cannot be planned for yet.
func (in *planInput) hasInheritedOrders(term uint64) bool {
	for _, o := range in.openOrders {
		if !strings.HasPrefix(o.GetId(), orderPrefix(term)) {
			return true
		}
	}
	return false
}

// planInput is the input of all planners.
type planInput struct {
	now       time.Time
	cfg       *sqcommand.Configuration
	endpoints []sqfleet.Endpoint
	// openOrders are the open orders by target.
	openOrders map[string]*sqcommand.Order
	// arriving are the accepted orders to add an endpoint whose VM is not listed
	// yet.
	arriving      []*sqcommand.Order
	demands       []sqrole.DemandConfig
	roleChangedAt map[string]time.Time
	// onDemandShare is the fraction of the work, from 0 to 1, that may not run on
	// spot endpoints.
	onDemandShare float64
}

func (h *holder) planInput(now time.Time, t *termState) planInput {
	in := planInput{now: now, endpoints: h.endpoints(t), openOrders: make(map[string]*sqcommand.Order)}
	h.machine.Read(func(s *sqstate.State) {
		in.cfg = s.Configuration()
		for _, o := range s.OpenOrders() {
			in.openOrders[o.GetTarget()] = o
		}
		in.arriving = arrivingOrders(s.Orders(), in.endpoints, sqclock.Wall(), s.Configuration().GetFleet())
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	in.roleChangedAt = make(map[string]time.Time, len(t.roleChangedAt))
	for id, at := range t.roleChangedAt {
		in.roleChangedAt[id] = at
	}
	in.demands, in.onDemandShare = sumDemands(now, t.demand)
	return in
}

// sumDemands sums the demand for each model over all entries. It also returns the
// fraction of the arriving work, from 0 to 1, that may not run on spot endpoints.
func sumDemands(now time.Time, table *demandTable) (demands []sqrole.DemandConfig, onDemandShare float64) {
	byModel := make(map[string]*sqrole.DemandConfig)
	var total, onDemand float64
	table.forEachFresh(now, func(_ string, rep *demandReport) {
		for name, m := range rep.models {
			sum := byModel[name]
			if sum == nil {
				sum = &sqrole.DemandConfig{Model: name}
				byModel[name] = sum
			}
			sum.PrefillArrivalRate += m.prefill.rate
			sum.DecodeArrivalRate += m.decode.rate
			sum.PrefillOutstanding += m.prefillOutstanding
			sum.DecodeOutstanding += m.decodeOutstanding
			sum.EnginePrefillRate = max(sum.EnginePrefillRate, m.enginePrefillRate)
			sum.EngineDecodeRate = max(sum.EngineDecodeRate, m.engineDecodeRate)
			total += m.prefill.rate + m.decode.rate
			onDemand += m.onDemand.rate
		}
	})
	for _, sum := range byModel {
		demands = append(demands, *sum)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Model < demands[j].Model })
	if total > 0 {
		onDemandShare = min(1, onDemand/total)
	}
	return demands, onDemandShare
}

func (h *holder) planRoles(ctx context.Context, t *termState, in planInput) {
	view := sqrole.ViewConfig{
		RoleChangeTime: time.Duration(in.cfg.GetFleet().GetRoleChangeSeconds()) * time.Second,
		Weights:        in.cfg.GetWeights(),
	}
	for _, e := range in.endpoints {
		if e.IsEngine() && e.Reported() {
			view.Engines = append(view.Engines, in.rolePlannerEngine(e))
		}
	}
	for _, d := range in.demands {
		view.Demands = append(view.Demands, sqrole.NewDemand(d))
	}
	plan := h.planners.roles.Plan(in.now, sqrole.NewView(view))
	for _, c := range plan.RoleChanges() {
		h.openEngineOrder(ctx, t, in, &sqcommand.Order{
			Kind: sqcommand.OrderKind_ORDER_KIND_ROLE, Target: c.Engine(), Argument: roleArgument(c.To()), Reason: c.Reason(),
		})
	}
}

// openEngineOrder opens an order and adds it to the planning input, so that the
// planners that follow in this round treat its engine as busy.
func (h *holder) openEngineOrder(ctx context.Context, t *termState, in planInput, o *sqcommand.Order) {
	in.openOrders[o.GetTarget()] = o
	h.openOrder(ctx, t, o)
}

func (in *planInput) rolePlannerEngine(e sqfleet.Endpoint) sqrole.Engine {
	role, _ := sqroute.ParseRole(e.Role())
	o := in.openOrders[e.ID()]
	target := role
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ROLE {
		target, _ = sqroute.ParseRole(o.GetArgument())
	}
	return sqrole.NewEngine(sqrole.EngineConfig{
		ID: e.ID(), Model: in.busiestModel(e.Models()), Role: role,
		ChangingRole: o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ROLE, TargetRole: target, HasOpenOrder: o != nil, Unschedulable: e.State() != sqfleet.Live,
		RunningRequests: int(e.Load().Running), RoleChangedAt: in.roleChangedAt[e.ID()],
	})
}

// busiestModel returns the name of the engine's model with the highest demand. The
// engine's role is planned for that model.
func (in *planInput) busiestModel(models []string) string {
	busiest, maxEngines := firstModelName(models), 0.0
	for _, modelVersion := range models {
		name, _, _ := strings.Cut(modelVersion, "@")
		for i := range in.demands {
			if engines := requiredEngines(&in.demands[i]); in.demands[i].Model == name && engines > maxEngines {
				busiest, maxEngines = name, engines
			}
		}
	}
	return busiest
}

// firstModelName returns the name in the first "model@version", or "" if there are
// no models.
func firstModelName(models []string) string {
	if len(models) == 0 {
		return ""
	}
	name, _, _ := strings.Cut(models[0], "@")
	return name
}

func roleArgument(r sqroute.Role) string {
	switch r {
	case sqroute.RolePrefill:
		return "prefill"
	case sqroute.RoleDecode:
		return "decode"
	default:
		return "both"
	}
}
