package sqmodel

import (
	"math"
	"strconv"
	"time"
)

// Defaults of Config.
const (
	DefaultModelSlots         = 2
	DefaultMaxConcurrentLoads = 2
	DefaultMaxLoadTime        = 5 * time.Minute
	DefaultDemandTimeConstant = time.Minute
	DefaultMinLoadInterval    = 3 * time.Minute
	DefaultInitialBackoff     = 30 * time.Second
	DefaultMaxBackoff         = 15 * time.Minute
	DefaultMaxReportDelay     = 5 * time.Second
	DefaultHeadroomFactor     = 1.25
	DefaultSlackFactor        = 1.5
	DefaultRolloutDivisor     = 4
)

// Config configures a Planner. Zero fields take the defaults.
type Config struct {
	// ModelSlots is the number of models that an engine is assumed to hold until
	// its reports show the actual number.
	ModelSlots int
	// MaxConcurrentLoads limits the loads in progress on all engines.
	MaxConcurrentLoads int
	// MaxLoadTime is the time that one load may take. No further load starts
	// while those in progress need longer at the weight store's rate.
	MaxLoadTime time.Duration
	// DemandTimeConstant is the time constant of the exponential smoothing of
	// demand.
	DemandTimeConstant time.Duration
	// MinLoadInterval is the minimum time between a load on an engine and the next
	// one that only follows demand.
	MinLoadInterval time.Duration
	// InitialBackoff is the pause before an engine is given another load after a
	// failed one. It doubles with each further failure, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxReportDelay is the time after the end of a load order within which the
	// engine's report has to show the model; after it the load counts as failed.
	MaxReportDelay time.Duration
	// HeadroomFactor times RequiredEngines is the number of engines that a model
	// should have. A model gives an engine to the demand of another model only if
	// it keeps SlackFactor times that number.
	HeadroomFactor float64
	SlackFactor    float64
	// RolloutDivisor limits a rollout: at most 1 in RolloutDivisor of the model's
	// engines, and at least one engine, load the new version at once.
	RolloutDivisor int
}

func (cfg Config) withDefaults() Config {
	setDefaultInt(&cfg.ModelSlots, DefaultModelSlots)
	setDefaultInt(&cfg.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	setDefaultInt(&cfg.RolloutDivisor, DefaultRolloutDivisor)
	setDefaultDuration(&cfg.MaxLoadTime, DefaultMaxLoadTime)
	setDefaultDuration(&cfg.DemandTimeConstant, DefaultDemandTimeConstant)
	setDefaultDuration(&cfg.MinLoadInterval, DefaultMinLoadInterval)
	setDefaultDuration(&cfg.InitialBackoff, DefaultInitialBackoff)
	setDefaultDuration(&cfg.MaxBackoff, DefaultMaxBackoff)
	setDefaultDuration(&cfg.MaxReportDelay, DefaultMaxReportDelay)
	if cfg.HeadroomFactor <= 0 {
		cfg.HeadroomFactor = DefaultHeadroomFactor
	}
	if cfg.SlackFactor <= 0 {
		cfg.SlackFactor = DefaultSlackFactor
	}
	return cfg
}

// backoff returns the pause before the next load on an engine after a number of
// consecutive failures.
func (cfg Config) backoff(failures int) time.Duration {
	d := cfg.InitialBackoff
	for i := 1; i < failures && d < cfg.MaxBackoff; i++ {
		d *= 2
	}
	return min(d, cfg.MaxBackoff)
}

func setDefaultInt(n *int, defaultValue int) {
	if *n <= 0 {
		*n = defaultValue
	}
}

func setDefaultDuration(d *time.Duration, defaultValue time.Duration) {
	if *d <= 0 {
		*d = defaultValue
	}
}

// Planner orders loads of missing models first, then rollouts of new versions,
// then loads that follow demand. It is not safe for concurrent use.
type Planner struct {
	cfg       Config
	demands   map[string]smoothedDemand
	histories map[string]*history
}

// smoothedDemand is the exponentially smoothed demand for a model: level is in
// engines.
type smoothedDemand struct {
	level     float64
	updatedAt time.Time
}

// history is what earlier plans observed of one engine.
type history struct {
	loaded []string
	// loading is the model that the engine was loading in the last plan, or "";
	// loadingSeenAt is when a load was last seen in progress.
	loading       string
	loadingSeenAt time.Time
	// loadingSince is when loading last changed.
	loadingSince time.Time
	// orderEndedAt is when the load order was first seen closed while the engine
	// did not report the model yet.
	orderEndedAt time.Time
	failedAt     time.Time
	// consecutiveFailures is the number of failed loads since the last success.
	consecutiveFailures int
	// modelSlots is the number of models that the engine can hold, 0 if unknown.
	modelSlots int
}

// NewPlanner returns a planner without any history.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), demands: make(map[string]smoothedDemand), histories: make(map[string]*history)}
}

// Plan returns the loads to order at now.
func (p *Planner) Plan(now time.Time, view View) Plan {
	engines := view.engines()
	p.updateHistories(now, engines)
	state := newPlanState(now, p, p.smoothDemand(now, view.models()), engines)
	state.storeBytesPerSecond = view.cfg.WeightStoreBytesPerSecond
	for state.canStartLoad() {
		order, found := state.nextOrder()
		if !found {
			break
		}
		state.applyOrder(order)
	}
	return state.plan
}

// smoothDemand replaces the RequiredEngines of each model by the smoothed value.
// The state of models that are no longer declared is discarded.
func (p *Planner) smoothDemand(now time.Time, models []ModelConfig) []ModelConfig {
	demands := make(map[string]smoothedDemand, len(models))
	for i := range models {
		m := &models[i]
		demand, known := p.demands[m.Name]
		if !known {
			demand = smoothedDemand{level: m.RequiredEngines, updatedAt: now}
		}
		if dt := now.Sub(demand.updatedAt); dt > 0 {
			demand.level += (1 - math.Exp(-dt.Seconds()/p.cfg.DemandTimeConstant.Seconds())) * (m.RequiredEngines - demand.level)
			demand.updatedAt = now
		}
		demands[m.Name] = demand
		m.RequiredEngines = demand.level
	}
	p.demands = demands
	return models
}

// updateHistories records the progress and outcome of loads. An engine that gained
// a model and lost another one has shown how many models it holds.
func (p *Planner) updateHistories(now time.Time, engines []EngineConfig) {
	histories := make(map[string]*history, len(engines))
	for i := range engines {
		e := &engines[i]
		h := p.histories[e.ID]
		if h == nil {
			h = &history{loaded: e.Loaded}
		}
		gained, lost := diffLoaded(h.loaded, e.Loaded)
		switch {
		case gained && lost:
			h.modelSlots = len(e.Loaded)
		case len(e.Loaded) > h.modelSlots && h.modelSlots > 0:
			h.modelSlots = len(e.Loaded)
		}
		h.updateEndedLoad(now, e, p.cfg.MaxReportDelay)
		if e.Loading != "" {
			h.loadingSeenAt = now
		}
		if e.Loading != h.loading {
			h.loadingSince = now
		}
		h.loading = e.Loading
		h.loaded = e.Loaded
		histories[e.ID] = h
	}
	p.histories = histories
}

// updateEndedLoad handles a load whose order has ended. The engine's report of the
// new model may arrive up to maxReportDelay after the end of the order. Until then
// the load counts as in progress; otherwise it would be taken as failed and
// ordered from another engine.
func (h *history) updateEndedLoad(now time.Time, e *EngineConfig, maxReportDelay time.Duration) {
	if h.loading != "" && e.hasVersion(h.loading) {
		h.consecutiveFailures = 0
	}
	if h.loading == "" || e.Loading != "" || e.hasVersion(h.loading) {
		h.orderEndedAt = time.Time{}
		return
	}
	if h.orderEndedAt.IsZero() {
		h.orderEndedAt = now
	}
	if now.Sub(h.orderEndedAt) >= maxReportDelay {
		h.failedAt = now
		h.consecutiveFailures++
		h.orderEndedAt = time.Time{}
		return
	}
	e.Loading = h.loading
	e.HasOpenOrder = true
}

// diffLoaded returns whether after has names that are not in before (gained), and
// whether before has names that are not in after (lost).
func diffLoaded(before, after []string) (gained, lost bool) {
	count := make(map[string]int)
	for _, l := range before {
		count[l]--
	}
	for _, l := range after {
		count[l]++
	}
	for _, n := range count {
		gained = gained || n > 0
		lost = lost || n < 0
	}
	return gained, lost
}

// decimal formats a number for the text of a reason, with two decimals.
func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }
