package sqstock

import (
	"math"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqtrend"
)

// Defaults of Config, in the units of its fields. DefaultArrivalDelay applies
// until the fleet settings give an arrival time.
const (
	DefaultHeadroomFactor   = 1.1
	DefaultReleaseDelay     = 3
	DefaultMinBackoff       = 0.5
	DefaultMaxBackoff       = 10
	DefaultMaxOrdersPerPlan = 4
	DefaultArrivalDelay     = 60 * time.Second
)

// Config sets up a planner. Fields left at zero take the defaults.
type Config struct {
	// HeadroomFactor is the factor by which the predicted demand is multiplied.
	HeadroomFactor float64
	// ReleaseDelay is how long an endpoint must be spare before it is released,
	// in arrival delays. It holds where cost has no weight; the higher the weight
	// of cost, the shorter the delay.
	ReleaseDelay float64
	// MinBackoff and MaxBackoff bound the time without orders for a kind of
	// endpoint in a zone after the platform was out of stock, in arrival delays.
	MinBackoff float64
	MaxBackoff float64
	// MaxOrdersPerPlan limits the number of orders in one plan.
	MaxOrdersPerPlan int
}

func (cfg Config) withDefaults() Config {
	if cfg.HeadroomFactor <= 0 {
		cfg.HeadroomFactor = DefaultHeadroomFactor
	}
	if cfg.ReleaseDelay <= 0 {
		cfg.ReleaseDelay = DefaultReleaseDelay
	}
	if cfg.MinBackoff <= 0 {
		cfg.MinBackoff = DefaultMinBackoff
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	if cfg.MaxOrdersPerPlan <= 0 {
		cfg.MaxOrdersPerPlan = DefaultMaxOrdersPerPlan
	}
	return cfg
}

// pool identifies a capacity pool: one kind of endpoint in one zone. Pools run
// out of stock independently.
type pool struct {
	zone string
	spot bool
}

// backoff suspends orders from a capacity pool that was out of stock.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Planner plans the cheapest fleet that has capacity for the predicted demand
// and keeps a sufficient part of it when a zone loses all its spot endpoints.
// It releases endpoints that were spare for the release delay. It is not safe
// for concurrent use.
type Planner struct {
	cfg Config
	// arrivalDelay is the time from an order until its endpoint is ready.
	arrivalDelay  time.Duration
	totalTrend    sqtrend.Trend
	onDemandTrend sqtrend.Trend
	recentMax     slidingMax
	backoffs      map[pool]*backoff
	// lastSpotZones holds, by ID, the zones of the spot endpoints in the last
	// plan; releasedIDs holds the endpoints that the planner itself released.
	lastSpotZones map[string]string
	releasedIDs   map[string]bool
	// firstPlanAt is when the planner made its first plan.
	firstPlanAt time.Time
}

// NewPlanner returns a planner without any history of the demand.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), arrivalDelay: DefaultArrivalDelay, backoffs: make(map[pool]*backoff), releasedIDs: make(map[string]bool)}
}

// RecordOutOfStock records that the platform had no endpoint of the kind in the zone.
// It doubles the backoff of the pool, or starts again with the shortest one if
// the last backoff ended more than the maximum delay ago.
func (p *Planner) RecordOutOfStock(now time.Time, zone string, spot bool) {
	key := pool{zone: zone, spot: spot}
	bo, ok := p.backoffs[key]
	if !ok {
		bo = &backoff{}
		p.backoffs[key] = bo
	}
	maxDelay := p.arrivalDelays(p.cfg.MaxBackoff)
	if now.Sub(bo.until) > maxDelay {
		bo.delay = 0
	}
	bo.delay = min(max(2*bo.delay, p.arrivalDelays(p.cfg.MinBackoff)), maxDelay)
	bo.until = now.Add(bo.delay)
}

// arrivalDelays returns the duration of n arrival delays.
func (p *Planner) arrivalDelays(n float64) time.Duration {
	return time.Duration(n * float64(p.arrivalDelay))
}

// inStock returns whether orders from the pool are not suspended by a backoff.
func (p *Planner) inStock(now time.Time, zone string, spot bool) bool {
	bo, ok := p.backoffs[pool{zone: zone, spot: spot}]
	return !ok || !bo.until.After(now)
}

// Plan returns the orders to send now.
func (p *Planner) Plan(now time.Time, view View) Plan {
	fleet := view.cfg.Fleet
	if p.firstPlanAt.IsZero() {
		p.firstPlanAt = now
	}
	if s := fleet.GetArrivalSeconds(); s > 0 {
		p.arrivalDelay = time.Duration(s) * time.Second
	}
	p.backOffReclaimedZones(now, &view)
	p.totalTrend.Add(now, view.cfg.RequiredEngines, p.arrivalDelay, &demandTrendConfig)
	p.onDemandTrend.Add(now, view.cfg.RequiredOnDemand, p.arrivalDelay, &demandTrendConfig)
	c := newCounts(&view)
	r := p.requirement(now, &view, c)
	retained := r
	retained.capacity = p.recentMax.add(now, p.releaseDelay(&view), r.withReleaseSlack())
	wanted := r.cheapestTarget()
	var plan Plan
	plan.explanation = append(plan.explanation, r.summary(wanted, c))
	if !fleet.GetOrdersEnabled() {
		return plan
	}
	switch {
	case !c.satisfies(r):
		p.orderMissing(now, c, fleet, wanted, r, &plan)
	case replacementPays(c, retained):
		p.orderKind(now, c, fleet, true, retained.cheapestTarget().spot, &plan)
	}
	if len(plan.orders) == 0 && p.mayRelease(now, &view) {
		p.releaseSpare(&view, c, retained, &plan)
	}
	return plan
}

// releaseDelay returns how long an endpoint must be spare before it is released.
// The higher the weight of cost, the shorter the delay. It is at least one
// arrival delay: an endpoint that was released too early takes that long to
// replace, and answers may be late until then.
func (p *Planner) releaseDelay(view *View) time.Duration {
	return p.arrivalDelays(max(1, p.cfg.ReleaseDelay*(1-costShare(view.cfg.Weights))))
}

// costShare returns the share of cost, from 0 to 1, in the weights of cost and
// service quality.
func costShare(w *sqcommand.Weights) float64 {
	serviceWeight := w.GetGoodput() + w.GetWorstTeam()
	if serviceWeight+w.GetCost() <= 0 {
		return 0
	}
	return w.GetCost() / (serviceWeight + w.GetCost())
}

// mayRelease returns whether the planner has run for a whole release delay and
// no ordered endpoint is pending. A new lease holder starts without any history
// of the demand and would otherwise release needed endpoints in its first plan. A
// pending endpoint carries no work yet, so it can't replace a released one.
func (p *Planner) mayRelease(now time.Time, view *View) bool {
	return now.Sub(p.firstPlanAt) >= p.releaseDelay(view) && len(view.cfg.Pending) == 0
}

// requirement returns the capacity that the fleet needs once endpoints ordered
// now are ready.
func (p *Planner) requirement(now time.Time, view *View, c *counts) requirement {
	fleet := view.cfg.Fleet
	r := requirement{
		capacity: capacity{
			total:    p.cfg.HeadroomFactor*predictDemand(&p.totalTrend, p.arrivalDelay) + p.totalTrend.Deviation(),
			onDemand: p.cfg.HeadroomFactor*predictDemand(&p.onDemandTrend, p.arrivalDelay) + p.onDemandTrend.Deviation(),
		},
		minEngines:    int(fleet.GetMinEngines()),
		maxEngines:    int(fleet.GetMaxEngines()),
		onDemandPrice: float64(fleet.GetDearPrice()),
		spotPrice:     float64(fleet.GetCheapPrice()),
	}
	if r.maxEngines == 0 {
		r.maxEngines = math.MaxInt32
	}
	r.total = max(r.total, r.onDemand)
	r.afterZoneLoss = r.onDemand + (r.total-r.onDemand)*zoneLossShare(view.cfg.Weights)
	for _, z := range fleet.GetZones() {
		if p.inStock(now, z, true) || c.count(z, true) > 0 {
			r.spotZones++
		}
	}
	return r
}

// zoneLossShare returns the share of the work on spot endpoints that must go on
// at once when a zone loses all its spot endpoints; the rest may wait for
// replacements. The higher the weight of goodput, the larger the share.
func zoneLossShare(w *sqcommand.Weights) float64 {
	sum := w.GetGoodput() + w.GetWorstTeam() + w.GetCost() + w.GetReports()
	if sum <= 0 {
		return 0.75
	}
	return 0.5 + 0.5*(w.GetGoodput()+w.GetWorstTeam())/sum
}

// summary returns a sentence that explains the plan.
func (r requirement) summary(wanted target, c *counts) string {
	return "The work expected takes " + formatFloat(r.total) + " engines, " + formatFloat(r.onDemand) + " of them dear, and " + formatFloat(r.afterZoneLoss) +
		" must be left without any one zone's cheap ones: " + strconv.Itoa(wanted.onDemand) + " dear and " + strconv.Itoa(wanted.spot) +
		" cheap are wanted; " + strconv.Itoa(c.onDemand) + " and " + strconv.Itoa(c.spot) + " are here or ordered."
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// minReplacementSaving is the share of the fleet's price that must be saved
// before spot endpoints are ordered to replace on-demand ones.
const minReplacementSaving = 0.15

// replacementPays returns whether replacing on-demand endpoints by spot ones
// saves at least minReplacementSaving, for instance because spot endpoints are
// in stock again.
func replacementPays(c *counts, retained requirement) bool {
	best := retained.cheapestTarget()
	current := retained.price(target{onDemand: c.onDemand, spot: c.spot})
	return c.onDemand > best.onDemand && c.spot < best.spot && retained.price(best) < (1-minReplacementSaving)*current
}
