// Package sqburn tracks how fast teams consume the error budget of their
// services, over several windows at once: a short window shows a sudden fault,
// a long one a slow loss of budget.
package sqburn

import (
	"sort"
	"time"
)

// DefaultBucketWidth is the default time resolution of the counts.
const DefaultBucketWidth = 10 * time.Second

// DefaultWindows returns the usual windows of a multi-window burn rate alert.
func DefaultWindows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}
}

// Config sets up a Tracker. Fields left at zero take the defaults.
type Config struct {
	Windows []time.Duration
	// BucketWidth is the time that one bucket of counts covers.
	BucketWidth time.Duration
}

// Key identifies the service level of one service for one team.
type Key struct {
	cfg KeyConfig
}

// KeyConfig holds the parts of a Key.
type KeyConfig struct {
	Team    string
	Service string
}

// NewKey returns the key that cfg describes.
func NewKey(cfg KeyConfig) Key { return Key{cfg: cfg} }

// Team returns the team.
func (k Key) Team() string { return k.cfg.Team }

// Service returns the service.
func (k Key) Service() string { return k.cfg.Service }

// bucket holds the counts of one bucket width. The index is the number of bucket
// widths since the Unix epoch.
type bucket struct {
	index int64
	good  uint64
	bad   uint64
}

// series holds the counts of one key, the oldest bucket first.
type series struct {
	buckets          []bucket
	objectivePercent float64
}

// Tracker holds the counts of all keys. It is not safe for concurrent use.
type Tracker struct {
	cfg              Config
	series           map[Key]*series
	bucketsPerSeries int
}

// New returns an empty tracker.
func New(cfg Config) *Tracker {
	if len(cfg.Windows) == 0 {
		cfg.Windows = DefaultWindows()
	}
	if cfg.BucketWidth <= 0 {
		cfg.BucketWidth = DefaultBucketWidth
	}
	longest := cfg.Windows[0]
	for _, w := range cfg.Windows {
		longest = max(longest, w)
	}
	return &Tracker{cfg: cfg, series: make(map[Key]*series), bucketsPerSeries: int(longest/cfg.BucketWidth) + 1}
}

// Add adds the numbers of requests since the last call that were on time (good)
// or not (bad). objectivePercent is the share of requests that must be good.
func (t *Tracker) Add(now time.Time, k Key, objectivePercent float64, good, bad uint64) {
	s, ok := t.series[k]
	if !ok {
		s = &series{}
		t.series[k] = s
	}
	s.objectivePercent = objectivePercent
	index := now.UnixNano() / int64(t.cfg.BucketWidth)
	if n := len(s.buckets); n > 0 && s.buckets[n-1].index >= index {
		s.buckets[n-1].good += good
		s.buckets[n-1].bad += bad
		return
	}
	s.buckets = append(s.buckets, bucket{index: index, good: good, bad: bad})
	s.trim(index - int64(t.bucketsPerSeries))
}

// trim drops the buckets up to the index lastDropped once they are more than half
// of the series, so that the copying is rare.
func (s *series) trim(lastDropped int64) {
	n := sort.Search(len(s.buckets), func(i int) bool { return s.buckets[i].index > lastDropped })
	if n > len(s.buckets)/2 {
		s.buckets = append(s.buckets[:0], s.buckets[n:]...)
	}
}

// Burn is the consumption of the error budget of one key in one window.
type Burn struct {
	key              Key
	window           time.Duration
	good             uint64
	bad              uint64
	objectivePercent float64
	rate             float64
}

// Key returns the key whose budget is consumed.
func (b Burn) Key() Key { return b.key }

// Window returns the length of the window.
func (b Burn) Window() time.Duration { return b.window }

// Good returns the number of requests that were on time.
func (b Burn) Good() uint64 { return b.good }

// Bad returns the number of requests that were late, failed or refused.
func (b Burn) Bad() uint64 { return b.bad }

// ObjectivePercent returns the share of requests that must be good, in percent.
func (b Burn) ObjectivePercent() float64 { return b.objectivePercent }

// Rate returns the burn rate: 1 means that bad requests are exactly as frequent
// as the objective permits. It is 0 when the objective leaves no error budget.
func (b Burn) Rate() float64 { return b.rate }

// Burns returns the budget consumption of each key in each window, sorted by
// team, service and window.
func (t *Tracker) Burns(now time.Time) []Burn {
	burns := make([]Burn, 0, len(t.series)*len(t.cfg.Windows))
	for k, s := range t.series {
		for _, w := range t.cfg.Windows {
			burns = append(burns, t.burn(now, k, s, w))
		}
	}
	sort.Slice(burns, func(i, j int) bool { return burnLess(burns[i], burns[j]) })
	return burns
}

func (t *Tracker) burn(now time.Time, k Key, s *series, w time.Duration) Burn {
	b := Burn{key: k, window: w, objectivePercent: s.objectivePercent}
	lastExcluded := (now.UnixNano() - int64(w)) / int64(t.cfg.BucketWidth)
	for i := len(s.buckets) - 1; i >= 0 && s.buckets[i].index > lastExcluded; i-- {
		b.good += s.buckets[i].good
		b.bad += s.buckets[i].bad
	}
	total := b.good + b.bad
	budget := 1 - s.objectivePercent/100
	if total > 0 && budget > 0 {
		b.rate = float64(b.bad) / float64(total) / budget
	}
	return b
}

func burnLess(a, b Burn) bool {
	if a.key.Team() != b.key.Team() {
		return a.key.Team() < b.key.Team()
	}
	if a.key.Service() != b.key.Service() {
		return a.key.Service() < b.key.Service()
	}
	return a.window < b.window
}
