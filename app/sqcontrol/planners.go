package sqcontrol

import (
	"sync"
	"time"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqmodel"
	"sequoiadock/core/sqrole"
	"sequoiadock/core/sqstock"
)

// Names of the policies, as in the settings.
const (
	rolesStatic      = "static"
	rolesReactive    = "reactive"
	stockAllDear     = "allDear"
	stockGreedyCheap = "greedyCheap"
	stockOff         = "off"
	modelsFixed      = "fixed"
	modelsOff        = "off"
)

// planners are the policies that the settings chose. Only the loop that plans
// uses those of roles and models.
type planners struct {
	roles sqcore.RolePlanner
	// stock is nil where the fleet is fixed. It also hears of refused orders, from
	// the loop that sends, so it needs a lock.
	stockMu sync.Mutex
	stock   sqcore.StockPlanner
	// models is nil where nothing is loaded.
	models sqcore.ModelPlanner
}

func newPlanners(p Policy) *planners {
	return &planners{roles: rolePlanner(p.Roles), stock: stockPlanner(p.Stock), models: modelPlanner(p.Models)}
}

// planStock plans endpoint orders; it gives none where the fleet is fixed.
func (p *planners) planStock(now time.Time, view sqstock.View) []sqstock.Order {
	if p.stock == nil {
		return nil
	}
	p.stockMu.Lock()
	defer p.stockMu.Unlock()
	plan := p.stock.Plan(now, view)
	return plan.Orders()
}

// outOfStock tells the planner that the platform had none.
func (p *planners) outOfStock(now time.Time, zone string, cheap bool) {
	if p.stock == nil {
		return
	}
	p.stockMu.Lock()
	defer p.stockMu.Unlock()
	p.stock.OutOfStock(now, zone, cheap)
}

func rolePlanner(name string) sqcore.RolePlanner {
	switch name {
	case rolesStatic:
		return sqrole.NewStatic()
	case rolesReactive:
		return sqrole.NewReactive()
	default:
		return sqrole.NewPlanned(sqrole.Config{})
	}
}

func stockPlanner(name string) sqcore.StockPlanner {
	switch name {
	case stockOff:
		return nil
	case stockAllDear:
		return sqstock.NewAllOnDemand()
	case stockGreedyCheap:
		return sqstock.NewGreedyCheap()
	default:
		return sqstock.NewBalanced(sqstock.Config{})
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
