// Package sqcore declares the interfaces that have several implementations: the
// scheduling policies, the platform, and its protocol. The packages below sqcore
// implement the policies, each beside the naive baseline that it is measured
// against.
//
// Policies are deterministic: they start no goroutine, take no lock, read no
// clock and do no I/O. The present time is an argument, callers must serialize
// their calls, and the same sequence of calls gives the same results.
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
	// Route returns the endpoint for the request. The choice is not OK if no open
	// endpoint can take the request.
	Route(now time.Time, q *sqroute.Query) sqroute.Choice
	// Explain returns the reasons for choice c as sentences that give the figures
	// and the alternatives. It changes no state and must be called directly after
	// the call of Route that returned c.
	Explain(now time.Time, q *sqroute.Query, c sqroute.Choice) []string
}

// Admitter decides which requests run, which are queued and which are refused.
type Admitter interface {
	// SetTeams replaces the teams and their limits at this entry.
	SetTeams(now time.Time, teams []sqadmit.Team)
	// SetWeights sets the weights of the deployment's objectives.
	SetWeights(now time.Time, w *sqcommand.Weights)
	// SetPoolLimits limits the work in flight in a pool.
	SetPoolLimits(now time.Time, pool string, limits sqadmit.PoolLimits)
	// Offer decides on a new request.
	Offer(now time.Time, req *sqadmit.Request) sqadmit.Decision
	// Next returns the decision on a queued request that may run now or must be
	// refused, and false if there is none. Callers must call Next until it returns
	// false after RecordFirstToken, Finish, Cancel, SetPoolLimits and SetTeams, and at the
	// time that WakeTime returned.
	Next(now time.Time) (sqadmit.Decision, bool)
	// RecordFirstToken records that a running request has produced its first token.
	RecordFirstToken(now time.Time, id uint64)
	// Finish records the end and the token usage of a running request.
	Finish(now time.Time, id uint64, usage sqadmit.Usage)
	// Cancel removes a request from its queue and reports whether it was queued.
	Cancel(now time.Time, id uint64) bool
	// WakeTime returns when Next must be called again if no other event causes a
	// call before. The zero time means never.
	WakeTime(now time.Time) time.Time
}

// RolePlanner plans how many engines run prefill, decode or both.
type RolePlanner interface {
	Plan(now time.Time, view sqrole.View) sqrole.Plan
}

// ModelPlanner plans which model and version is loaded on which engine.
type ModelPlanner interface {
	Plan(now time.Time, view sqmodel.View) sqmodel.Plan
}

// EndpointPlanner plans which endpoints are ordered and released.
type EndpointPlanner interface {
	// RecordOutOfStock records that the platform had no endpoint of the kind in the zone.
	RecordOutOfStock(now time.Time, zone string, spot bool)
	Plan(now time.Time, view sqstock.View) sqstock.Plan
}

var (
	_ Router          = (*sqroute.CacheAware)(nil)
	_ Router          = (*sqroute.RoundRobin)(nil)
	_ Router          = (*sqroute.LeastLoaded)(nil)
	_ Admitter        = (*sqadmit.FairQueue)(nil)
	_ Admitter        = (*sqadmit.FIFO)(nil)
	_ RolePlanner     = (*sqrole.Planner)(nil)
	_ RolePlanner     = (*sqrole.Static)(nil)
	_ RolePlanner     = (*sqrole.Reactive)(nil)
	_ ModelPlanner    = (*sqmodel.Planner)(nil)
	_ ModelPlanner    = (*sqmodel.Fixed)(nil)
	_ EndpointPlanner = (*sqstock.Planner)(nil)
	_ EndpointPlanner = (*sqstock.AllOnDemand)(nil)
	_ EndpointPlanner = (*sqstock.GreedySpot)(nil)
)
