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
	stockGreedySpot  = "greedyCheap"
	stockOff         = "off"
	modelsFixed      = "fixed"
	modelsOff        = "off"
)

// planners holds the planning policies that the settings name. Only the planning
// loop uses those of roles and models.
type planners struct {
	roles sqcore.RolePlanner
	// endpoints is nil if the fleet is fixed. The sending loop also reports rejected
	// orders to it, so endpointsMu guards it.
	endpointsMu sync.Mutex
	endpoints   sqcore.EndpointPlanner
	// models is nil if the holder orders no model loads.
	models sqcore.ModelPlanner
}

func newPlanners(p Policies) *planners {
	return &planners{roles: rolePlanner(p.Roles), endpoints: endpointPlanner(p.EndpointOrders), models: modelPlanner(p.Models)}
}

// planEndpoints plans endpoint orders. It returns none if the fleet is fixed.
func (p *planners) planEndpoints(now time.Time, view sqstock.View) []sqstock.Order {
	if p.endpoints == nil {
		return nil
	}
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	plan := p.endpoints.Plan(now, view)
	return plan.Orders()
}

// outOfStock tells the planner that the platform had no such endpoint in a zone.
func (p *planners) outOfStock(now time.Time, zone string, spot bool) {
	if p.endpoints == nil {
		return
	}
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	p.endpoints.RecordOutOfStock(now, zone, spot)
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

func endpointPlanner(name string) sqcore.EndpointPlanner {
	switch name {
	case stockOff:
		return nil
	case stockAllOnDemand:
		return sqstock.NewAllOnDemand()
	case stockGreedySpot:
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
