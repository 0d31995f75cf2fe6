package sqstock

import (
	"math"
	"sort"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqtrend"
)

// Defaults of Config.
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
	// HeadroomFactor multiplies the need.
	HeadroomFactor float64
	// ReleaseDelay is how long an endpoint must have been spare, in arrival
	// delays, where cost does not count.
	ReleaseDelay float64
	// MinBackoff and MaxBackOff bound the pause after a kind was out of stock,
	// in arrival delays.
	MinBackoff float64
	MaxBackoff float64
	// MaxOrdersPerPlan bounds the orders of one plan.
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

// stock names a kind of endpoint in a zone.
type stock struct {
	zone  string
	cheap bool
}

// pause is how long a kind isn't asked for after it was out.
type pause struct {
	until  time.Time
	length time.Duration
}

// Balanced carries the need at the least price, outlives the loss of a zone's
// cheap endpoints, and gives back what was spare for a while. It is not safe
// for concurrent use.
type Balanced struct {
	cfg Config
	// arrival is the delay between an order and an endpoint.
	arrival time.Duration
	total   sqtrend.Trend
	dear    sqtrend.Trend
	peak    peak
	pauses  map[stock]*pause
	// cheap holds the zones of the cheap endpoints of the last plan, released
	// those that the planner itself gave back.
	cheap    map[string]string
	released map[string]bool
	// since is when the planner made its first plan.
	since time.Time
}

// NewBalanced returns a planner that has seen nothing.
func NewBalanced(cfg Config) *Balanced {
	return &Balanced{cfg: cfg.withDefaults(), arrival: DefaultArrivalDelay, pauses: make(map[stock]*pause), released: make(map[string]bool)}
}

// OutOfStock notes that the platform had none of the kind in the zone.
func (b *Balanced) OutOfStock(now time.Time, zone string, cheap bool) {
	k := stock{zone: zone, cheap: cheap}
	p, ok := b.pauses[k]
	if !ok {
		p = &pause{}
		b.pauses[k] = p
	}
	longest := b.arrivals(b.cfg.MaxBackoff)
	if now.Sub(p.until) > longest {
		p.length = 0
	}
	p.length = min(max(2*p.length, b.arrivals(b.cfg.MinBackoff)), longest)
	p.until = now.Add(p.length)
}

// arrivals returns a time given in arrival delays.
func (b *Balanced) arrivals(n float64) time.Duration {
	return time.Duration(n * float64(b.arrival))
}

func (b *Balanced) inStock(now time.Time, zone string, cheap bool) bool {
	p, ok := b.pauses[stock{zone: zone, cheap: cheap}]
	return !ok || !p.until.After(now)
}

// Plan returns the orders to give now.
func (b *Balanced) Plan(now time.Time, view View) Plan {
	fleet := view.cfg.Fleet
	if b.since.IsZero() {
		b.since = now
	}
	if s := fleet.GetArrivalSeconds(); s > 0 {
		b.arrival = time.Duration(s) * time.Second
	}
	b.noteReclaimed(now, &view)
	b.total.Add(now, view.cfg.NeededEngines, b.arrival, &needMemory)
	b.dear.Add(now, view.cfg.NeededOnDemand, b.arrival, &needMemory)
	c := newCensus(&view)
	n := b.need(now, &view, c)
	keep := n
	keep.carry = b.peak.hold(now, b.releaseDelay(&view), n.withSlack())
	want := n.solve()
	var plan Plan
	plan.lines = append(plan.lines, n.summary(want, c))
	if !fleet.GetOrdersEnabled() {
		return plan
	}
	switch {
	case !c.carries(n):
		b.add(now, c, fleet, want, n, &plan)
	case recomposes(c, keep):
		b.addKind(now, c, fleet, true, keep.solve().cheap, &plan)
	}
	if len(plan.orders) == 0 && b.mayRelease(now, &view) {
		b.release(&view, c, keep, &plan)
	}
	return plan
}

// releaseDelay is shorter the more the cost counts: an endpoint that was given
// back too early is an arrival delay away, and until then answers may be late.
// It is an arrival delay at least.
func (b *Balanced) releaseDelay(view *View) time.Duration {
	return b.arrivals(max(1, b.cfg.ReleaseDelay*(1-costShare(view.cfg.Weights))))
}

// costShare returns from 0 to 1 how much the cost counts.
func costShare(w *sqcommand.Weights) float64 {
	service := w.GetGoodput() + w.GetWorstTeam()
	if service+w.GetCost() <= 0 {
		return 0
	}
	return w.GetCost() / (service + w.GetCost())
}

// mayRelease returns whether the planner has watched for a whole release delay
// and nothing that was ordered is still on its way. A new holder starts with no
// memory of the need, and would otherwise release at its first look; and what
// is ordered carries no work yet, so it can't replace what is released.
func (b *Balanced) mayRelease(now time.Time, view *View) bool {
	return now.Sub(b.since) >= b.releaseDelay(view) && len(view.cfg.Pending) == 0
}

// need works out what the fleet has to carry when orders of now arrive.
func (b *Balanced) need(now time.Time, view *View, c *census) need {
	fleet := view.cfg.Fleet
	n := need{
		carry: carry{
			total: b.cfg.HeadroomFactor*ahead(&b.total, b.arrival) + b.total.Deviation(),
			dear:  b.cfg.HeadroomFactor*ahead(&b.dear, b.arrival) + b.dear.Deviation(),
		},
		min:        int(fleet.GetMinEngines()),
		max:        int(fleet.GetMaxEngines()),
		dearPrice:  float64(fleet.GetDearPrice()),
		cheapPrice: float64(fleet.GetCheapPrice()),
	}
	if n.max == 0 {
		n.max = math.MaxInt32
	}
	n.total = max(n.total, n.dear)
	n.survive = n.dear + (n.total-n.dear)*surviveShare(view.cfg.Weights)
	for _, z := range fleet.GetZones() {
		if b.inStock(now, z, true) || c.count(z, true) > 0 {
			n.zones++
		}
	}
	return n
}

// surviveShare is the part of the work on cheap endpoints that must go on at
// once when a zone's cheap ones vanish; the rest may wait for new ones. A
// deployment that values goodput keeps more.
func surviveShare(w *sqcommand.Weights) float64 {
	sum := w.GetGoodput() + w.GetWorstTeam() + w.GetCost() + w.GetReports()
	if sum <= 0 {
		return 0.75
	}
	return 0.5 + 0.5*(w.GetGoodput()+w.GetWorstTeam())/sum
}

func (n need) summary(want target, c *census) string {
	return "The work expected takes " + number(n.total) + " engines, " + number(n.dear) + " of them dear, and " + number(n.survive) +
		" must be left without any one zone's cheap ones: " + strconv.Itoa(want.dear) + " dear and " + strconv.Itoa(want.cheap) +
		" cheap are wanted; " + strconv.Itoa(c.dear) + " and " + strconv.Itoa(c.cheap) + " are here or ordered."
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// recomposeGain is the part of the price that must be saved before cheap
// endpoints are ordered to replace dear ones that do their work.
const recomposeGain = 0.15

// recomposes returns whether cheap endpoints in place of dear ones would save
// much, for instance since stock that was out has come back.
func recomposes(c *census, keep need) bool {
	best := keep.solve()
	now := keep.price(target{dear: c.dear, cheap: c.cheap})
	return c.dear > best.dear && c.cheap < best.cheap && keep.price(best) < (1-recomposeGain)*now
}

// add orders what is missing, in the zones with the fewest of the kind.
func (b *Balanced) add(now time.Time, c *census, fleet *sqcommand.Fleet, want target, n need, plan *Plan) {
	b.addKind(now, c, fleet, false, want.dear, plan)
	b.addKind(now, c, fleet, true, want.cheap, plan)
	// What cheap stock can't give for now, dear endpoints do; also when zones
	// that are out leave the cheap ones crowded in the others.
	for !c.carries(n) && b.addOne(now, c, fleet, false, c.dear+1, plan) {
	}
}

func (b *Balanced) addKind(now time.Time, c *census, fleet *sqcommand.Fleet, cheap bool, want int, plan *Plan) {
	for c.kind(cheap) < want && b.addOne(now, c, fleet, cheap, want, plan) {
	}
}

func (b *Balanced) addOne(now time.Time, c *census, fleet *sqcommand.Fleet, cheap bool, want int, plan *Plan) bool {
	if m := int(fleet.GetMaxEngines()); len(plan.orders) >= b.cfg.MaxOrdersPerPlan || m > 0 && c.total() >= m {
		return false
	}
	zone, ok := c.emptiest(fleet.GetZones(), cheap, func(z string) bool { return b.inStock(now, z, cheap) })
	if !ok {
		return false
	}
	have := c.count(zone, cheap)
	c.change(zone, cheap, 1)
	plan.orders = append(plan.orders, Order{
		action: Add, zone: zone, cheap: cheap,
		reason: "A " + word(cheap) + " endpoint is ordered in zone " + zone + ": " + strconv.Itoa(want) + " are wanted over all zones, and the zone has " +
			strconv.Itoa(have) + ", the fewest of those in stock and of the kind.",
	})
	return true
}

func word(cheap bool) string {
	if cheap {
		return "cheap"
	}
	return "dear"
}

// release gives back one endpoint that was spare for the whole delay, of the
// dearest kind first. One at a time: the next plan sees what it changed.
func (b *Balanced) release(view *View, c *census, keep need, plan *Plan) {
	first := keep.dearPrice < keep.cheapPrice
	if !b.releaseOne(view, c, first, keep, plan) {
		b.releaseOne(view, c, !first, keep, plan)
	}
}

func (b *Balanced) releaseOne(view *View, c *census, cheap bool, keep need, plan *Plan) bool {
	e, ok := c.idlest(cheap)
	if !ok {
		return false
	}
	c.change(e.Zone, cheap, -1)
	if !c.carries(keep) {
		c.change(e.Zone, cheap, 1)
		return false
	}
	b.released[e.ID] = true
	plan.orders = append(plan.orders, Order{
		action: Release, zone: e.Zone, cheap: cheap, vm: e.ID,
		reason: "The " + word(cheap) + " endpoint " + e.ID + " in zone " + e.Zone + " is given back: without it " + strconv.Itoa(c.dear) + " dear and " +
			strconv.Itoa(c.cheap) + " cheap ones are left, and in the last " + b.releaseDelay(view).String() + " no more than " + number(keep.total) +
			" were needed, " + number(keep.dear) + " of them dear, with some slack.",
	})
	return true
}

// sortedZones returns the zones in a fixed order.
func sortedZones(zones []string) []string {
	sorted := append([]string(nil), zones...)
	sort.Strings(sorted)
	return sorted
}
