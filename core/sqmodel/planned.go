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

// Config sets up a planner. Fields left at zero take the defaults.
type Config struct {
	// ModelSlots is the number of models that an engine is taken to hold until it
	// showed that it holds fewer.
	ModelSlots int
	// MaxConcurrentLoads bounds the loads at once.
	MaxConcurrentLoads int
	// MaxLoadTime is how long one load may take at the weight store's rate.
	MaxLoadTime time.Duration
	// DemandTimeConstant is the time constant over which demand is smoothed.
	DemandTimeConstant time.Duration
	// MinLoadInterval is the least time between two loads of one engine for demand alone.
	MinLoadInterval time.Duration
	// InitialBackoff is the pause of an engine after a load that failed; it doubles with
	// each further one, up to MaxRetry.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxReportDelay is how late an engine's report of a load may be seen after the order's
	// end.
	MaxReportDelay time.Duration
	// HeadroomFactor is what a model should have beyond its work, and Slack what it
	// must have beyond that before an engine of it goes to another.
	HeadroomFactor float64
	SlackFactor    float64
	// RolloutDivisor bounds a rollout: one of so many engines of the model at once.
	RolloutDivisor int
}

func (cfg Config) withDefaults() Config {
	setInt(&cfg.ModelSlots, DefaultModelSlots)
	setInt(&cfg.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	setInt(&cfg.RolloutDivisor, DefaultRolloutDivisor)
	setDuration(&cfg.MaxLoadTime, DefaultMaxLoadTime)
	setDuration(&cfg.DemandTimeConstant, DefaultDemandTimeConstant)
	setDuration(&cfg.MinLoadInterval, DefaultMinLoadInterval)
	setDuration(&cfg.InitialBackoff, DefaultInitialBackoff)
	setDuration(&cfg.MaxBackoff, DefaultMaxBackoff)
	setDuration(&cfg.MaxReportDelay, DefaultMaxReportDelay)
	if cfg.HeadroomFactor <= 0 {
		cfg.HeadroomFactor = DefaultHeadroomFactor
	}
	if cfg.SlackFactor <= 0 {
		cfg.SlackFactor = DefaultSlackFactor
	}
	return cfg
}

// pause returns how long an engine is left alone after so many failed loads.
func (cfg Config) pause(failures int) time.Duration {
	d := cfg.InitialBackoff
	for i := 1; i < failures && d < cfg.MaxBackoff; i++ {
		d *= 2
	}
	return min(d, cfg.MaxBackoff)
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Planner loads what is missing first, then rolls out new versions, then
// follows demand. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	needs   map[string]need
	engines map[string]*history
}

// need is a model's smoothed work in engines.
type need struct {
	level float64
	at    time.Time
}

// history is what was seen of one engine.
type history struct {
	loaded []string
	// loading is the load that was last seen under way, and loadedAt when it
	// was.
	loading  string
	loadedAt time.Time
	// loadingSince is when that load was first seen.
	loadingSince time.Time
	// endedAt is when its order had ended though the model was not there yet.
	endedAt  time.Time
	failedAt time.Time
	// failures are the loads that failed since one succeeded.
	failures int
	// slots is the number of models that it holds, 0 when unknown.
	slots int
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), needs: make(map[string]need), engines: make(map[string]*history)}
}

// Plan returns the loads to order now.
func (p *Planner) Plan(now time.Time, view View) Plan {
	engines := view.engines()
	p.see(now, engines)
	s := newSituation(now, p, p.smooth(now, view.models()), engines)
	s.storeRate = view.cfg.WeightStoreBytesPerSecond
	for s.room() {
		l, found := s.next()
		if !found {
			break
		}
		s.begin(l)
	}
	return s.plan
}

// smooth replaces each model's work by its smoothed level. Models that are no
// longer declared are forgotten.
func (p *Planner) smooth(now time.Time, models []ModelConfig) []ModelConfig {
	needs := make(map[string]need, len(models))
	for i := range models {
		m := &models[i]
		n, known := p.needs[m.Name]
		if !known {
			n = need{level: m.RequiredEngines, at: now}
		}
		if dt := now.Sub(n.at); dt > 0 {
			n.level += (1 - math.Exp(-dt.Seconds()/p.cfg.DemandTimeConstant.Seconds())) * (m.RequiredEngines - n.level)
			n.at = now
		}
		needs[m.Name] = n
		m.RequiredEngines = n.level
	}
	p.needs = needs
	return models
}

// see notes what became of loads. An engine that takes a model in and drops
// another has shown how many it holds.
func (p *Planner) see(now time.Time, engines []EngineConfig) {
	seen := make(map[string]*history, len(engines))
	for i := range engines {
		e := &engines[i]
		h := p.engines[e.ID]
		if h == nil {
			h = &history{loaded: e.Loaded}
		}
		gained, lost := differences(h.loaded, e.Loaded)
		switch {
		case gained && lost:
			h.slots = len(e.Loaded)
		case len(e.Loaded) > h.slots && h.slots > 0:
			h.slots = len(e.Loaded)
		}
		h.end(now, e, p.cfg.MaxReportDelay)
		if e.Loading != "" {
			h.loadedAt = now
		}
		if e.Loading != h.loading {
			h.loadingSince = now
		}
		h.loading = e.Loading
		h.loaded = e.Loaded
		seen[e.ID] = h
	}
	p.engines = seen
}

// end follows a load whose order has ended. The report that shows the model comes
// after the order's end: until then the load counts as under way, else it would
// be taken for failed and given to another engine.
func (h *history) end(now time.Time, e *EngineConfig, lag time.Duration) {
	if h.loading != "" && e.hasFull(h.loading) {
		h.failures = 0
	}
	if h.loading == "" || e.Loading != "" || e.hasFull(h.loading) {
		h.endedAt = time.Time{}
		return
	}
	if h.endedAt.IsZero() {
		h.endedAt = now
	}
	if now.Sub(h.endedAt) >= lag {
		h.failedAt = now
		h.failures++
		h.endedAt = time.Time{}
		return
	}
	e.Loading = h.loading
	e.OrderOpen = true
}

// differences returns whether after has names that before lacks, and the other
// way round.
func differences(before, after []string) (gained, lost bool) {
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

// number prints a figure for a reason.
func number(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }
