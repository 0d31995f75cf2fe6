package sqcontrol

import (
	"context"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqmodel"
	"sequoiadock/core/sqrole"
	"sequoiadock/core/sqroute"
)

// planModels orders engines to load the models that the planner assigns to them. An
// engine keeps serving while it loads a model, so it is not drained.
func (h *holder) planModels(ctx context.Context, t *termState, in planInput) {
	if h.planners.models == nil {
		return
	}
	plan := h.planners.models.Plan(in.now, sqmodel.NewView(in.modelView()))
	for _, l := range plan.LoadOrders() {
		h.openEngineOrder(ctx, t, in, &sqcommand.Order{
			Kind: sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL, Target: l.Engine(), Argument: l.Model(), Reason: l.Reason(),
		})
	}
}

func (in *planInput) modelView() sqmodel.ViewConfig {
	needed := make(map[string]float64, len(in.demands))
	for i := range in.demands {
		needed[in.demands[i].Model] = requiredEngines(&in.demands[i])
	}
	view := sqmodel.ViewConfig{WeightStoreBytesPerSecond: float64(in.cfg.GetFleet().GetWeightStoreBytesPerSecond())}
	for _, m := range in.cfg.GetModels() {
		view.Models = append(view.Models, sqmodel.NewModel(sqmodel.ModelConfig{
			Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters(),
			WeightBytes: m.GetWeightBytes(), RequiredEngines: needed[m.GetName()],
		}))
	}
	for _, e := range in.endpoints {
		if e.IsEngine() && e.Reported() {
			view.Engines = append(view.Engines, in.modelPlannerEngine(e))
		}
	}
	return view
}

func (in *planInput) modelPlannerEngine(e sqfleet.Endpoint) sqmodel.Engine {
	role, _ := sqroute.ParseRole(e.Role())
	cfg := sqmodel.EngineConfig{
		ID: e.ID(), Zone: e.Zone(), Role: role, Loaded: e.Models(), RunningRequests: int(e.Load().Running),
	}
	o := in.openOrders[e.ID()]
	cfg.HasOpenOrder = o != nil
	if o.GetKind() == sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL {
		cfg.Loading = o.GetArgument()
	}
	// An engine that drains for a role change returns to service; any other drain
	// is permanent.
	willReturn := o.GetKind() == sqcommand.OrderKind_ORDER_KIND_ROLE
	cfg.Leaving = e.State() == sqfleet.Leaving || (e.State() == sqfleet.Draining && !willReturn)
	return sqmodel.NewEngine(cfg)
}

// requiredEngines returns how many engines the current demand for one model
// requires: to keep up with the arriving work, or to finish the outstanding work
// within the planner's backlog drain time if that takes more engines.
func requiredEngines(d *sqrole.DemandConfig) float64 {
	prefill, decode := d.EnginePrefillRate, d.EngineDecodeRate
	if prefill <= 0 {
		prefill = sqrole.DefaultPrefillRate
	}
	if decode <= 0 {
		decode = sqrole.DefaultDecodeRate
	}
	backlog := sqrole.DefaultBacklogDrainTime.Seconds()
	return max(d.PrefillArrivalRate, d.PrefillOutstanding/backlog)/prefill + max(d.DecodeArrivalRate, d.DecodeOutstanding/backlog)/decode
}
