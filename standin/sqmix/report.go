package sqmix

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiadock/standin/sqcaller"
)

// Range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// windowCount is the number of equal time windows per run whose goodput is
// reported.
const windowCount = 10

// Report holds the measurements of a run.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"durationSeconds"`
	Arrived         int     `json:"arrived"`
	Finished        int     `json:"finished"`
	OnTime          int     `json:"onTime"`
	// Goodput is the number of on-time requests per second, over the period in
	// which requests were sent.
	Goodput float64 `json:"goodput"`
	// GoodTokens is the number of prompt and answer tokens of on-time requests
	// per second.
	GoodTokens float64 `json:"goodTokens"`
	// WindowGoodput is the goodput of each tenth of the run.
	WindowGoodput []float64 `json:"windowGoodput"`
	// WorstFairRatio is the lowest FairRatio of all teams, at most 1.
	WorstFairRatio float64      `json:"worstTeam"`
	Teams          []TeamReport `json:"teams"`
	// Outcomes counts the requests by class and outcome, such as "chat cut".
	Outcomes []Count `json:"outcomes"`
	// Refusals counts the final refusals by their kind and run fields.
	Refusals           []Count `json:"refusals"`
	UnansweredAttempts int     `json:"resent"`
	Dropped            int     `json:"dropped"`
	FirstToken         Latency `json:"firstToken"`
	TokenInterval      Latency `json:"between"`
	Total              Latency `json:"total"`
	RefusalLatency     Latency `json:"refused"`
	CachedShare        float64 `json:"cachedShare"`
	// AnswerTokens is the number of tokens that the callers received.
	AnswerTokens       int             `json:"answerTokens"`
	Failures           []Failure       `json:"failures"`
	Bookings           []BookingResult `json:"-"`
	MaxSendDelayMillis float64         `json:"latestSendMillis"`
}

// TeamReport holds the results of one team.
type TeamReport struct {
	Name        string  `json:"name"`
	Arrived     int     `json:"arrived"`
	OnTime      int     `json:"onTime"`
	OnTimeShare float64 `json:"onTimeShare"`
	// FairRatio is the team's on-time tokens divided by its fair share of the
	// on-time tokens of all teams. Fair shares are proportional to weight, and
	// the part of a share that exceeds a team's demand goes to the other teams.
	FairRatio float64 `json:"fairRatio"`

	demandTokens, onTimeTokens, weight float64
}

// Count is a number of requests of a kind.
type Count struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Failure describes a request that was neither answered completely nor refused
// before it ran.
type Failure struct {
	Outcome  sqcaller.Outcome `json:"outcome"`
	Detail   string           `json:"detail"`
	Decision string           `json:"decision"`
	Address  string           `json:"address"`
	Tokens   int              `json:"tokens"`
}

// BookingResult is the result of a booking, a call that is not idempotent.
type BookingResult struct {
	Identity string
	Outcome  sqcaller.Outcome
	Refusal  *sqcaller.Refusal
	Detail   string
	Body     []byte
	Attempts int
}

// Latency holds the quantiles of a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// collector aggregates the results of a run into a report.
type collector struct {
	cfg             Config
	report          *Report
	outcomes        map[string]int
	refusals        map[string]int
	onTimePerWindow []int

	firstToken, tokenInterval, total, refusal *hdrhistogram.Histogram
	promptTokens, cachedTokens                int
}

// maxFailures bounds the number of failures that a report lists.
const maxFailures = 20

func newReport(cfg Config, arrivals []arrival, results []result, maxDelay time.Duration) *Report {
	c := &collector{
		cfg: cfg, outcomes: map[string]int{}, refusals: map[string]int{}, onTimePerWindow: make([]int, windowCount),
		firstToken: histogram(), tokenInterval: histogram(), total: histogram(), refusal: histogram(),
		report: &Report{
			Seed: cfg.Seed, DurationSeconds: cfg.Duration.Seconds(), Arrived: len(arrivals), Finished: len(results),
			MaxSendDelayMillis: millis(maxDelay), Failures: []Failure{},
		},
	}
	for _, t := range cfg.Teams {
		c.report.Teams = append(c.report.Teams, TeamReport{Name: t.Name, weight: t.Share})
	}
	for _, a := range arrivals {
		c.report.Teams[a.team].Arrived++
		c.report.Teams[a.team].demandTokens += float64(a.sizeTokens)
	}
	for _, v := range results {
		c.addResult(v)
	}
	return c.finish()
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func (c *collector) addResult(v result) {
	r := c.report
	if v.dropped {
		r.Dropped++
		return
	}
	if v.onTime {
		r.OnTime++
		t := &r.Teams[v.arrival.team]
		t.OnTime++
		t.onTimeTokens += float64(v.arrival.sizeTokens)
		r.GoodTokens += float64(v.arrival.sizeTokens) / c.cfg.Duration.Seconds()
		c.onTimePerWindow[min(windowCount-1, int(v.arrival.offset*windowCount/c.cfg.Duration))]++
	}
	if v.arrival.class == classBooking {
		c.addBooking(v)
		return
	}
	c.addChat(v.chat)
}

func (c *collector) addBooking(v result) {
	a := v.booking
	c.outcomes["call "+string(a.Outcome)]++
	c.report.UnansweredAttempts += a.UnansweredAttempts
	c.countRefusal(a.Refusal)
	c.report.Bookings = append(c.report.Bookings, BookingResult{
		Identity: v.arrival.identity, Outcome: a.Outcome, Refusal: a.Refusal, Detail: a.Detail, Body: a.Body, Attempts: a.Attempts,
	})
}

func (c *collector) addChat(a sqcaller.ChatResult) {
	c.outcomes["chat "+string(a.Outcome)]++
	c.report.UnansweredAttempts += a.UnansweredAttempts
	c.report.AnswerTokens += a.Tokens
	c.promptTokens += a.PromptTokens
	c.cachedTokens += a.CachedTokens
	c.countRefusal(a.Refusal)
	switch a.Outcome {
	case sqcaller.Complete:
		record(c.firstToken, a.FirstToken)
		record(c.total, a.Total)
		for _, g := range a.TokenIntervals {
			record(c.tokenInterval, g)
		}
	case sqcaller.NotRun:
		record(c.refusal, a.Total)
	default:
		if len(c.report.Failures) < maxFailures {
			c.report.Failures = append(c.report.Failures, Failure{
				Outcome: a.Outcome, Detail: a.Detail, Decision: a.Decision, Address: a.Address, Tokens: a.Tokens,
			})
		}
	}
}

func (c *collector) countRefusal(f *sqcaller.Refusal) {
	if f != nil {
		c.refusals[f.Kind+" "+f.Run]++
	}
}

func (c *collector) finish() *Report {
	r := c.report
	seconds := c.cfg.Duration.Seconds()
	r.Goodput = float64(r.OnTime) / seconds
	for _, n := range c.onTimePerWindow {
		r.WindowGoodput = append(r.WindowGoodput, float64(n)*windowCount/seconds)
	}
	r.Outcomes = counts(c.outcomes)
	r.Refusals = counts(c.refusals)
	r.FirstToken, r.TokenInterval = latency(c.firstToken), latency(c.tokenInterval)
	r.Total, r.RefusalLatency = latency(c.total), latency(c.refusal)
	if c.promptTokens > 0 {
		r.CachedShare = float64(c.cachedTokens) / float64(c.promptTokens)
	}
	setFairRatios(r.Teams)
	r.WorstFairRatio = 1
	for i := range r.Teams {
		t := &r.Teams[i]
		if t.Arrived > 0 {
			t.OnTimeShare = float64(t.OnTime) / float64(t.Arrived)
		}
		r.WorstFairRatio = min(r.WorstFairRatio, t.FairRatio)
	}
	return r
}

// Count returns the number of requests with a class and outcome, such as
// "chat cut".
func (r *Report) Count(kind string) int {
	for _, c := range r.Outcomes {
		if c.Kind == kind {
			return c.Count
		}
	}
	return 0
}

func counts(m map[string]int) []Count {
	all := []Count{}
	for k, n := range m {
		all = append(all, Count{Kind: k, Count: n})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Compare(a.Kind, b.Kind) })
	return all
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds())))
}

func latency(h *hdrhistogram.Histogram) Latency {
	quantileMillis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: quantileMillis(50), P90: quantileMillis(90), P99: quantileMillis(99), Max: float64(h.Max()) / 1000}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
