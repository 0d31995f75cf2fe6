package sqcontrol

import (
	"sync"
	"time"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqmodel"
	"sequoiadock/core/sqrole"
	"sequoiadock/core/sqstock"
)

// Policy names in the settings.
const (
	rolesStatic      = "static"
	rolesReactive    = "reactive"
	stockAllOnDemand = "allDear"
	stockGreedyCheap = "greedyCheap"
	stockOff         = "off"
	modelsFixed      = "fixed"
	modelsOff        = "off"
)

// planners holds the planning policies that the settings name. Only the planning
// loop uses those of roles and models.
type planners struct {
	roles sqcore.RolePlanner
	// stock is nil if the fleet is fixed. The sending loop also reports rejected
	// orders to it, so stockMu guards it.
	stockMu sync.Mutex
	stock   sqcore.EndpointPlanner
	// models is nil if the holder orders no model loads.
	models sqcore.ModelPlanner
}

func newPlanners(p Policies) *planners {
	return &planners{roles: rolePlanner(p.Roles), stock: stockPlanner(p.EndpointOrders), models: modelPlanner(p.Models)}
}

// planEndpoints plans endpoint orders. It returns none if the fleet is fixed.
func (p *planners) planEndpoints(now time.Time, view sqstock.View) []sqstock.Order {
	if p.stock == nil {
		return nil
	}
	p.stockMu.Lock()
	defer p.stockMu.Unlock()
	plan := p.stock.Plan(now, view)
	return plan.Orders()
}

// outOfStock tells the planner that the platform had no such endpoint in a zone.
func (p *planners) outOfStock(now time.Time, zone string, cheap bool) {
	if p.stock == nil {
		return
	}
	p.stockMu.Lock()
	defer p.stockMu.Unlock()
	p.stock.RecordOutOfStock(now, zone, cheap)
}

func rolePlanner(name string) sqcore.RolePlanner {
	switch name {
	case rolesStatic:
		return sqrole.NewStatic()
	case rolesReactive:
		return sqrole.NewReactive()
	default:
		return sqrole.NewPlanner(sqrole.Config{})
	}
}

func stockPlanner(name string) sqcore.EndpointPlanner {
	switch name {
	case stockOff:
		return nil
	case stockAllOnDemand:
		return sqstock.NewAllOnDemand()
	case stockGreedyCheap:
		return sqstock.NewGreedySpot()
	default:
		return sqstock.NewPlanner(sqstock.Config{})
	}
}

func modelPlanner(name string) sqcore.ModelPlanner {
	switch name {
	case modelsOff:
		return nil
	case modelsFixed:
		return sqmodel.NewFixed()
	default:
		return sqmodel.NewPlanner(sqmodel.Config{})
	}
}
