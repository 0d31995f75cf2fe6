// Package sqcore declares the interfaces of what varies: the policies that
// decide. Implementations stand in the packages below it, each beside the naive
// baseline that it is measured against.
//
// Policies are pure: they start no goroutine, take no lock, read no clock and
// do no I/O. The present time is an argument, and callers take care that no two
// calls overlap. The same calls give the same answers.
package sqcore

import (
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqmodel"
	"sequoiadock/core/sqrole"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstock"
)

// Router chooses the endpoint of a request.
type Router interface {
	// Route returns where the request goes; the choice is not OK when no open
	// endpoint can take it.
	Route(now time.Time, q *sqroute.Query) sqroute.Choice
	// Explain returns why, in sentences with the figures and the alternatives.
	// It changes nothing and is called right after Route.
	Explain(now time.Time, q *sqroute.Query, c sqroute.Choice) []string
}

// Admitter decides which requests run, which wait and which are refused.
type Admitter interface {
	// SetTeams replaces the teams and their limits at this entry.
	SetTeams(now time.Time, teams []sqadmit.Team)
	// SetWeights takes what the deployment values.
	SetWeights(now time.Time, w *sqcommand.Weights)
	// SetPoolLimits bounds what may be in flight in a pool.
	SetPoolLimits(now time.Time, pool string, room sqadmit.PoolLimits)
	// Offer decides on a new request.
	Offer(now time.Time, w *sqadmit.Request) sqadmit.Decision
	// Next returns a verdict on a queued request that may run now or has to be
	// refused; false when there is none. Call it until it returns false after
	// Prefilled, Finish, Cancel, SetRoom, SetTeams and at the time of Wake.
	Next(now time.Time) (sqadmit.Decision, bool)
	// Prefilled notes the first token of a running request.
	Prefilled(now time.Time, id uint64)
	// Finish notes the end of a running request.
	Finish(now time.Time, id uint64, used sqadmit.Usage)
	// Cancel takes back a queued request; true when it was queued.
	Cancel(now time.Time, id uint64) bool
	// WakeTime returns when Next should be called again though nothing else
	// happens; the zero time means never.
	WakeTime(now time.Time) time.Time
}

// RolePlanner plans how many engines prefill, decode or do both.
type RolePlanner interface {
	Plan(now time.Time, view sqrole.View) sqrole.Plan
}

// ModelPlanner plans which model and version is loaded on which engine.
type ModelPlanner interface {
	Plan(now time.Time, view sqmodel.View) sqmodel.Plan
}

// StockPlanner plans which endpoints are ordered and released.
type StockPlanner interface {
	// OutOfStock notes that the platform had none of the kind in the zone.
	OutOfStock(now time.Time, zone string, cheap bool)
	Plan(now time.Time, view sqstock.View) sqstock.Plan
}

var (
	_ Router       = (*sqroute.CacheAware)(nil)
	_ Router       = (*sqroute.RoundRobin)(nil)
	_ Router       = (*sqroute.LeastLoaded)(nil)
	_ Admitter     = (*sqadmit.FairQueue)(nil)
	_ Admitter     = (*sqadmit.FIFO)(nil)
	_ RolePlanner  = (*sqrole.Planned)(nil)
	_ RolePlanner  = (*sqrole.Static)(nil)
	_ RolePlanner  = (*sqrole.Reactive)(nil)
	_ ModelPlanner = (*sqmodel.Planner)(nil)
	_ ModelPlanner = (*sqmodel.Fixed)(nil)
	_ StockPlanner = (*sqstock.Balanced)(nil)
	_ StockPlanner = (*sqstock.AllOnDemand)(nil)
	_ StockPlanner = (*sqstock.GreedyCheap)(nil)
)
